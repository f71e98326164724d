//! Counters, gauges and histograms.
//!
//! Label values are kinds of route, ranks and outcomes, so their number does not grow with routes,
//! tenants or requests.

use crate::memory_budget::MemoryBudget;
use eiderferry_dispatch::{Distance, MessageKind, RetrySource, Snapshot, SplitStats};
use eiderferry_routing::{PoolName, Route, RouteKind};
use eiderferry_types::Span;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Bucket bounds of the histograms in seconds.
const BUCKETS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 12.0,
];

/// Installs the process-wide recorder.
pub(crate) fn install() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS_SECONDS)
        .ok()?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).ok()?;
    Some(handle)
}

/// The kind of a route, as a label value.
pub(crate) fn route_kind(route: &Route) -> &'static str {
    match route.kind {
        RouteKind::Repeatable => "repeatable",
        RouteKind::NotRepeatable => "not_repeatable",
        RouteKind::Streaming if route.is_resumable => "resumable_stream",
        RouteKind::Streaming => "stream",
    }
}

/// A request ended.
pub(crate) fn request(route: &Route, rank: u8, outcome: &'static str, elapsed: Span) {
    let rank = rank.to_string();
    metrics::counter!(
        "eiderferry_requests_total",
        "kind" => route_kind(route), "rank" => rank.clone(), "outcome" => outcome
    )
    .increment(1);
    metrics::histogram!("eiderferry_request_seconds", "kind" => route_kind(route), "rank" => rank)
        .record(elapsed.seconds());
}

/// The first event or the whole response of a request arrived.
pub(crate) fn first_event(route: &Route, rank: u8, elapsed: Span) {
    let in_time = if elapsed <= route.target { "yes" } else { "no" };
    let rank = rank.to_string();
    metrics::counter!(
        "eiderferry_first_events_total",
        "kind" => route_kind(route), "rank" => rank.clone(), "in_time" => in_time
    )
    .increment(1);
    metrics::histogram!("eiderferry_first_event_seconds", "kind" => route_kind(route), "rank" => rank)
        .record(elapsed.seconds());
}

/// Difference between the expected and the actual time to the first event of a stream: the error of
/// the model that placement uses.
pub(crate) fn first_event_error(expected: Span, actual: Span) {
    let (direction, error) = if actual > expected {
        ("later", Span(actual.0 - expected.0))
    } else {
        ("earlier", Span(expected.0 - actual.0))
    };
    metrics::histogram!("eiderferry_first_event_error_seconds", "direction" => direction)
        .record(error.seconds());
}

/// A request to resume a stream was served, or a stream could not continue: its software version
/// was not known, or no back end had it.
pub(crate) fn stream_resumption(outcome: &'static str, pool: &PoolName) {
    let pool = pool.as_str().to_owned();
    metrics::counter!(
        "eiderferry_stream_resumptions_total", "outcome" => outcome, "pool" => pool
    )
    .increment(1);
}

/// A retry was granted from the retry budget.
pub(crate) fn retry(source: RetrySource) {
    metrics::counter!("eiderferry_retries_total", "source" => source.as_str()).increment(1);
}

/// An attempt at a back end ended.
pub(crate) fn attempt(outcome: &'static str) {
    metrics::counter!("eiderferry_attempts_total", "outcome" => outcome).increment(1);
}

/// A lease was granted to a caller that had disconnected, and was released unused.
pub(crate) fn lease_unclaimed() {
    metrics::counter!("eiderferry_places_unclaimed_total").increment(1);
}

/// A connection was closed because its incomplete head did not fit in the memory budget.
pub(crate) fn head_dropped() {
    metrics::counter!("eiderferry_heads_dropped_total").increment(1);
}

/// A caller's connection was closed because the limit of connections was reached.
pub(crate) fn caller_evicted() {
    metrics::counter!("eiderferry_callers_evicted_total").increment(1);
}

/// A lease was not released within its request's time.
pub(crate) fn lease_expired() {
    metrics::counter!("eiderferry_places_expired_total").increment(1);
}

/// A request for a tunnel to a back end ended, or this node provided one.
pub(crate) fn tunnel(outcome: &'static str) {
    metrics::counter!("eiderferry_tunnels_total", "outcome" => outcome).increment(1);
}

/// Live back ends that this node can't connect to directly, and whether it is cut from all.
pub(crate) fn set_path_gauges(broken: usize, is_cut: bool) {
    metrics::gauge!("eiderferry_back_end_paths_broken").set(broken as f64);
    metrics::gauge!("eiderferry_cut_from_back_ends").set(f64::from(u8::from(is_cut)));
}

/// A back end crashed while running a request.
pub(crate) fn crashed_run(connection: &'static str) {
    metrics::counter!("eiderferry_crashed_runs_total", "connection" => connection).increment(1);
}

/// A response states something about its back end.
pub(crate) fn notice(statement: &'static str) {
    metrics::counter!("eiderferry_back_end_notices_total", "what" => statement).increment(1);
}

/// A response's statement about its back end can't be parsed.
pub(crate) fn invalid_notice() {
    metrics::counter!("eiderferry_back_end_notices_doubtful_total").increment(1);
}

/// A run was started with a replica.
pub(crate) fn replica_started() {
    metrics::counter!("eiderferry_run_replicas_total").increment(1);
}

/// Whether a lost run was continued from its replica, and how long the replica's holder took to
/// respond.
pub(crate) fn takeover(outcome: &'static str, waited: Span) {
    metrics::counter!("eiderferry_takeovers_total", "outcome" => outcome).increment(1);
    metrics::histogram!("eiderferry_takeover_seconds", "outcome" => outcome)
        .record(waited.seconds());
}

/// A message between nodes was lost on this node.
pub(crate) fn message_lost(step: &'static str) {
    metrics::counter!("eiderferry_messages_lost_total", "step" => step).increment(1);
}

/// Bytes of control traffic sent to another node, without network headers.
pub(crate) fn control_bytes(kind: MessageKind, distance: Distance, bytes: usize) {
    metrics::counter!(
        "eiderferry_control_bytes_total", "kind" => kind.label(), "border" => distance.label()
    )
    .increment(bytes as u64);
}

/// Kind of call to the document source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceCall {
    /// Lists all documents.
    List,
    /// Waits for changes after a revision.
    Watch,
}

/// Counts a finished call to the document source. A listing of several pages counts once.
pub fn source_call(call: SourceCall, outcome: &'static str) {
    let call = match call {
        SourceCall::List => "list",
        SourceCall::Watch => "watch",
    };
    metrics::counter!("eiderferry_source_calls_total", "call" => call, "outcome" => outcome)
        .increment(1);
}

/// A peer that requested documents was redirected to other nodes.
pub(crate) fn documents_redirected() {
    metrics::counter!("eiderferry_documents_sent_on_total").increment(1);
}

/// A document has an invalid value or an unknown name.
pub(crate) fn document_invalid(what: &'static str) {
    metrics::counter!("eiderferry_documents_doubtful_total", "what" => what).increment(1);
}

/// A cache call to an engine failed, or its response is malformed.
pub(crate) fn cache_call_failed(step: &'static str) {
    metrics::counter!("eiderferry_cache_calls_failed_total", "step" => step).increment(1);
}

/// This node replied to a request itself.
pub(crate) fn local_reply(reason: &'static str) {
    metrics::counter!("eiderferry_own_answers_total", "reason" => reason).increment(1);
}

/// Prompt tokens found in the cache, and those still to be computed.
pub(crate) fn prompt_tokens(cached: u32, uncached: u32) {
    metrics::counter!("eiderferry_prompt_tokens_total", "found" => "kept")
        .increment(u64::from(cached));
    metrics::counter!("eiderferry_prompt_tokens_total", "found" => "uncached")
        .increment(u64::from(uncached));
}

/// Memory held for callers and back ends.
pub(crate) fn set_memory_gauges(budget: &MemoryBudget) {
    for (kind, route, bytes) in budget.by_kind_and_route() {
        metrics::gauge!("eiderferry_held_bytes", "kind" => kind.as_str(), "route" => route)
            .set(bytes as f64);
    }
    metrics::gauge!("eiderferry_held_bytes_highest").set(budget.peak_bytes() as f64);
}

/// A request was ended for lack of memory.
pub(crate) fn ended_for_memory(reason: &'static str, route: &'static str) {
    metrics::counter!("eiderferry_ended_for_memory_total", "why" => reason, "route" => route)
        .increment(1);
}

/// Updates the gauges and counters that show the dispatcher's state.
pub(crate) fn update_dispatcher_metrics(snapshot: &Snapshot) {
    metrics::gauge!("eiderferry_living_peers").set(snapshot.live_peers as f64);
    metrics::gauge!("eiderferry_known_nodes").set(f64::from(snapshot.known_nodes));
    metrics::gauge!("eiderferry_back_ends").set(snapshot.back_ends as f64);
    metrics::gauge!("eiderferry_back_ends_ejected").set(snapshot.ejected_back_ends as f64);
    metrics::gauge!("eiderferry_back_ends_cold").set(snapshot.cold_back_ends as f64);
    metrics::gauge!("eiderferry_back_ends_limited").set(snapshot.limited_back_ends as f64);
    metrics::gauge!("eiderferry_back_ends_limited_sender")
        .set(snapshot.limited_back_ends_as_sender as f64);
    metrics::gauge!("eiderferry_back_ends_cold_sender")
        .set(snapshot.cold_back_ends_as_sender as f64);
    let aggregates = f64::from(u8::from(snapshot.is_aggregator));
    metrics::gauge!("eiderferry_aggregates").set(aggregates);
    metrics::gauge!("eiderferry_silent_zones").set(snapshot.silent_zones as f64);
    metrics::gauge!("eiderferry_evacuated_zones").set(snapshot.evacuated_zones as f64);
    metrics::gauge!("eiderferry_places").set(snapshot.leases as f64);
    metrics::gauge!("eiderferry_stream_records").set(snapshot.stream_records as f64);
    metrics::gauge!("eiderferry_software_versions").set(snapshot.software_versions as f64);
    metrics::gauge!("eiderferry_caches_followed").set(snapshot.followed_cache_count as f64);
    let counts = &snapshot.cache_counts;
    metrics::counter!("eiderferry_cache_listings_total").absolute(counts.listings);
    metrics::counter!("eiderferry_cache_answers_total").absolute(counts.responses);
    metrics::counter!("eiderferry_cache_events_total").absolute(counts.events);
    metrics::counter!("eiderferry_cache_gaps_total").absolute(counts.gaps);
    metrics::counter!("eiderferry_cache_corrections_total").absolute(counts.corrections);
    metrics::gauge!("eiderferry_documents_epoch").set(snapshot.newest_revision.epoch as f64);
    metrics::gauge!("eiderferry_documents_revision").set(snapshot.newest_revision.number as f64);
    metrics::gauge!("eiderferry_table_version").set(snapshot.table_version as f64);
    metrics::gauge!("eiderferry_confirmation_age_seconds").set(snapshot.confirmed_age_seconds);
    metrics::counter!("eiderferry_back_ends_looked_at_total").absolute(snapshot.examined_back_ends);
    metrics::counter!("eiderferry_cache_follow_looks_total").absolute(snapshot.follow_evaluations);
    let quarantine = &snapshot.quarantine;
    metrics::gauge!("eiderferry_requests_suspected").set(quarantine.suspected as f64);
    metrics::gauge!("eiderferry_requests_quarantined").set(quarantine.quarantined as f64);
    metrics::counter!("eiderferry_requests_crowded_out_total").absolute(quarantine.evicted);
    let parts = &snapshot.part_quarantine;
    metrics::gauge!("eiderferry_prompt_parts_suspected").set(parts.suspected as f64);
    metrics::gauge!("eiderferry_prompt_parts_quarantined").set(parts.quarantined as f64);
    metrics::counter!("eiderferry_prompt_parts_crowded_out_total").absolute(parts.evicted);
    set_split_gauges(&snapshot.largest_split);
}

/// The split of the largest split pool's engines, and the figures that it is based on.
fn set_split_gauges(split: &SplitStats) {
    let stream_engines = split.ranked_engines.saturating_sub(split.prompt_engines);
    for (side, engines, needed) in [
        ("prompts", split.prompt_engines, split.need.prompts),
        ("streams", stream_engines, split.need.streams),
    ] {
        metrics::gauge!("eiderferry_split_engines", "side" => side).set(f64::from(engines));
        metrics::gauge!("eiderferry_split_needed_engines", "side" => side).set(needed);
    }
    metrics::gauge!("eiderferry_split_exposed_streams").set(split.load.exposed_streams);
    metrics::gauge!("eiderferry_split_long_requests").set(f64::from(split.load.long_prefills));
    metrics::gauge!("eiderferry_split_placed_tokens_per_second")
        .set(split.placed_tokens_per_second);
    metrics::gauge!("eiderferry_split_reading_tokens_per_second")
        .set(split.load.prefill_tokens_per_second);
}
