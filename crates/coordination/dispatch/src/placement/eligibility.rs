//! Eligibility of back ends for a request, checked before their costs are compared.

use crate::Demand;
use crate::load::registry::{BackEndState, Registry};
use crate::placement::view::View;
use eiderferry_types::Reason;

/// Why a back end is not eligible for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IneligibilityReason {
    /// It is leaving, or another run has taken its address.
    Leaving,
    /// It does not run the software version that the request requires.
    OtherVersion,
    /// It has asked this node to back off. That is neither a failure nor a cost, since successful
    /// responses would outweigh a cost.
    BackingOff,
    /// The nodes together already use its rate limit, and it is not this node's turn. A cost
    /// would not suffice: the capacity that one node leaves unused would be taken by each of the
    /// others.
    RateLimited,
    /// The request may not run in its region.
    RegionNotAllowed,
    /// Its zone is being evacuated.
    Evacuated,
    /// It is cold, and this node may not send it a request now.
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
    } else if !demand.is_allowed_at(state.back_end.version.as_ref()) {
        Some(IneligibilityReason::OtherVersion)
    } else if state.notice.remaining_backoff(view.now).is_some() {
        Some(IneligibilityReason::BackingOff)
    } else if !state.limiter.may_send_request(view.now) {
        Some(IneligibilityReason::RateLimited)
    } else if !demand.allowed_regions.allows(zone, view.regions) {
        Some(IneligibilityReason::RegionNotAllowed)
    } else if view.evacuated_zones.contains(zone) {
        Some(IneligibilityReason::Evacuated)
    } else if cold_start.is_some_and(|start| !state.warmup.may_send_request(start, view.now)) {
        Some(IneligibilityReason::Cold)
    } else {
        None
    }
}

/// Whether a back end is eligible for a request.
pub(crate) fn is_eligible(state: &BackEndState, view: &View<'_>, demand: &Demand) -> bool {
    ineligibility_reason(state, view, demand).is_none()
}

/// Reason for the refusal if no back end is eligible: the most frequent one among the back ends
/// on which the request has not failed, that run its required version and that are not leaving.
pub(crate) fn refusal_reason(registry: &Registry, view: &View<'_>, demand: &Demand) -> Reason {
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
        (
            count(IneligibilityReason::RegionNotAllowed),
            Reason::RegionNotAllowed,
        ),
        (count(IneligibilityReason::Evacuated), Reason::ZoneEvacuated),
        (count(IneligibilityReason::Cold), Reason::ColdBackEnds),
    ];
    let without_reasons = if demand.required_version.is_some() {
        Reason::NoBackEndOfVersion
    } else {
        Reason::NoBackEnd
    };
    let most_frequent = counts.into_iter().max_by_key(|(count, _)| *count);
    most_frequent
        .filter(|(count, _)| *count > 0)
        .map_or(without_reasons, |(_, reason)| reason)
}
