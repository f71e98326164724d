//! Whether a back end may get a request at all, before what it would cost is looked at.

use crate::Demand;
use crate::load::registry::{BackEndState, Registry};
use crate::placement::view::View;
use eiderferry_types::Reason;

/// Why a back end may not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IneligibilityReason {
    /// It is leaving, or another run has its address.
    Leaving,
    /// It has asked this node for a rest. That is neither a failure nor a cost, which its good
    /// answers would outweigh.
    BackingOff,
    /// All nodes together send it what its rate limit allows, and it is not this node's turn. A
    /// cost would not do: what one node spares, each of the others may send.
    RateLimited,
    /// The request may not run in its region.
    Region,
    /// Its zone is being evacuated.
    Evacuated,
    /// It is cold, and this node may send it nothing now.
    Cold,
}

fn ineligibility_reason(
    state: &BackEndState,
    view: &View<'_>,
    demand: &Demand,
) -> Option<IneligibilityReason> {
    let zone = &state.back_end.zone;
    let cold_start = view.cold_start.as_ref();
    if !state.accepts_work() {
        Some(IneligibilityReason::Leaving)
    } else if state.notice.remaining_backoff(view.now).is_some() {
        Some(IneligibilityReason::BackingOff)
    } else if !state.limiter.may_send_request(view.now) {
        Some(IneligibilityReason::RateLimited)
    } else if !demand.allowed_regions.allows(zone, view.regions) {
        Some(IneligibilityReason::Region)
    } else if view.evacuated_zones.contains(zone) {
        Some(IneligibilityReason::Evacuated)
    } else if cold_start.is_some_and(|start| !state.warmup.may_send_request(start, view.now)) {
        Some(IneligibilityReason::Cold)
    } else {
        None
    }
}

/// Whether a back end may get a request.
pub(crate) fn is_eligible(state: &BackEndState, view: &View<'_>, demand: &Demand) -> bool {
    ineligibility_reason(state, view, demand).is_none()
}

/// Why no back end of a pool gets a request: what stands in the way of most of those that
/// have not failed it and are not leaving.
pub(crate) fn refusal(registry: &Registry, view: &View<'_>, demand: &Demand) -> Reason {
    let allowed = registry
        .pool(&demand.pool)
        .filter(|state| !demand.excluded_back_ends.contains(&state.back_end.instance));
    let reasons: Vec<IneligibilityReason> = allowed
        .filter_map(|state| ineligibility_reason(state, view, demand))
        .collect();
    let count = |reason| reasons.iter().filter(|other| **other == reason).count();
    let counts = [
        (
            count(IneligibilityReason::BackingOff),
            Reason::BackEndsBackingOff,
        ),
        (
            count(IneligibilityReason::RateLimited),
            Reason::BackEndsLimited,
        ),
        (count(IneligibilityReason::Region), Reason::RegionNotAllowed),
        (count(IneligibilityReason::Evacuated), Reason::ZoneEvacuated),
        (count(IneligibilityReason::Cold), Reason::ColdBackEnds),
    ];
    let most_frequent = counts.into_iter().max_by_key(|(count, _)| *count);
    most_frequent
        .filter(|(count, _)| *count > 0)
        .map_or(Reason::NoBackEnd, |(_, reason)| reason)
}
