//! Scheduling rules of a cell.

use eiderferry_types::Span;

/// Scheduling rules and parameters of a cell.
///
/// All rules are on in production. Experiments switch off single rules to measure
/// their effect, and tests do so to show that the invariant checker detects it.
#[derive(Clone, Debug, PartialEq)]
pub struct CellPolicy {
    /// Higher tiers are served first.
    pub tier_order: bool,
    /// Classes below their minimum share are served before all others.
    pub minimum_shares: bool,
    /// Requests that can't meet their deadline are refused on arrival.
    pub early_refusal: bool,
    /// Back ends that have the prompt's prefix in their cache are preferred.
    pub prefix_affinity: bool,
    /// Slow back ends get fewer slots and a higher placement cost.
    pub slow_detection: bool,
    /// Within a class, the tenant with the fewest tokens served goes first.
    pub tenant_fairness: bool,
    /// Maximum number of waiting requests.
    pub maximum_waiting: usize,
    /// Fraction of the remaining wait budget that the estimated wait may fill.
    pub wait_safety_factor: f64,
    /// How long a new holder waits for the load reports of all back ends, because its
    /// own lease table is still empty.
    pub report_wait: Span,
    /// How long a new holder collects requests before it grants any, so that their
    /// order of arrival does not decide between tiers.
    pub collection_wait: Span,
}

impl Default for CellPolicy {
    fn default() -> Self {
        Self {
            tier_order: true,
            minimum_shares: true,
            early_refusal: true,
            prefix_affinity: true,
            slow_detection: true,
            tenant_fairness: true,
            maximum_waiting: 20_000,
            wait_safety_factor: 0.9,
            report_wait: Span::from_milliseconds(1_500),
            collection_wait: Span::from_milliseconds(100),
        }
    }
}
