//! Which rules a cell applies.

use eiderferry_types::Span;

/// Rules and constants of a cell.
///
/// Everything is on in production. Experiments switch single rules off to
/// measure what each is worth, and tests switch them off to show that the
/// invariant checker notices.
#[derive(Clone, Debug, PartialEq)]
pub struct CellPolicy {
    /// Higher tiers go first.
    pub tier_order: bool,
    /// Classes below their minimum share go before all others.
    pub minimum_shares: bool,
    /// Requests that can't meet their target are refused at once.
    pub early_refusal: bool,
    /// Back ends that hold the prompt's prefix are preferred.
    pub prefix_affinity: bool,
    /// Slow back ends get fewer slots.
    pub slow_detection: bool,
    /// Tenants of a class take turns by tokens served.
    pub tenant_fairness: bool,
    /// Waiting requests at the most.
    pub maximum_waiting: usize,
    /// Part of the time to the target that the estimated wait may fill.
    pub wait_safety_factor: f64,
    /// How long a new holder trusts load reports over its own empty table.
    pub report_wait: Span,
    /// How long a new holder collects asks before it grants any, so that the order of
    /// their arrival does not decide between tiers.
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
