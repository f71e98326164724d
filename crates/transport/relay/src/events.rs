//! The log: one function for each kind of line, so that names stay stable.
//!
//! Every line names its `event`; docs/operations/LOGS.md explains each field. Keys,
//! bodies and prompts never appear.

use crate::cache_follower::MalformedResponse;
use crate::documents::FetchError;
use crate::local_reply::LocalReply;
use crate::metrics;
use crate::notice::Notice;
use crate::upstream::ConnectionCheck;
use eiderferry_dispatch::{
    ApplyOutcome, CacheUpdate, ColdRole, DocumentKey, ExpiredLease, Grant, HealthChange,
    LimitChange, LimitRole, Outcome, PeerChange, QuarantineChange, ReceivedChange, Revision,
    SplitChange, StreamPacing, UnknownName, WarmupChange,
};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Reason, RequestDigest, Span, Timestamp};
use http::HeaderValue;
use std::net::SocketAddr;

/// A node serves callers from now on.
pub(crate) fn started(node: &str, zone: &str, address: SocketAddr) {
    log::info!(event = "started", node = node, zone = zone, listen:% = address; "started");
}

/// A planned stop has begun, or goes on to its next phase.
pub(crate) fn stopping(phase: &'static str, open_requests: u32) {
    log::info!(event = "stopping", phase = phase, open = open_requests; "stopping");
}

/// The process ends.
pub(crate) fn stopped(open_requests: u32) {
    log::info!(event = "stopped", open = open_requests; "stopped");
}

/// The settings were read again.
pub fn reloaded(seeds: usize) {
    log::info!(event = "reloaded", seeds = seeds; "settings read again");
}

/// The process stood still.
pub(crate) fn paused(gap: Span) {
    log::warn!(event = "paused", gap_ms = gap.milliseconds(); "the process stood still");
}

/// The source of documents gives no answers.
pub fn source_lost(error: &str) {
    log::warn!(event = "source_lost", error = error; "the source of documents gives no answers");
}

/// The source of documents gives answers again.
pub fn source_recovered(silent_ms: u64) {
    log::info!(event = "source_regained", silent_ms = silent_ms; "the source of documents is back");
}

/// The source of documents refused a call because it has no history after the given revision.
pub fn history_compacted(after: Revision) {
    log::warn!(
        event = "history_gone", after:% = after;
        "the source has no history after this revision"
    );
}

/// The source of documents was restored from an older copy: a listing belongs to a newer epoch.
pub fn source_restored(known_revision: Revision, listed_revision: Revision) {
    log::warn!(
        event = "source_restored", known:% = known_revision, listed:% = listed_revision;
        "the source was restored from an older copy"
    );
}

/// A peer was lost or regained.
pub(crate) fn peer(change: &PeerChange) {
    match change {
        // A start of a fleet of 300 would write 300 such lines on each node.
        PeerChange::Discovered(node) => {
            log::debug!(event = "peer_found", peer = node.as_str(); "new peer")
        }
        PeerChange::Recovered(node) => {
            log::info!(event = "peer_regained", peer = node.as_str(); "peer heard");
        }
        PeerChange::Lost(node) => {
            log::warn!(event = "peer_lost", peer = node.as_str(); "peer silent");
        }
    }
}

/// A back end's rate limit changed, or this node became, or no longer is, one of those that send
/// to it.
pub(crate) fn rate_limit(change: &LimitChange) {
    let back_end = change.instance.as_str();
    let Some((limit, role)) = change.state else {
        log::info!(event = "back_end_unlimited", back_end = back_end; "a rate limit is over");
        return;
    };
    let interval = match role {
        LimitRole::Sender(interval) => Some(interval),
        LimitRole::OtherNodes => None,
    };
    log::info!(
        event = "back_end_limited", back_end = back_end, limit:% = limit, sender = interval.is_some(),
        each_ms = interval.unwrap_or_default().milliseconds();
        "a rate limit, or who sends under it, changed"
    );
}

/// A back end turned cold or warm, or this node became, or no longer is, one of the few that
/// send to it.
pub(crate) fn warmup_changed(change: &WarmupChange) {
    let event = match change.role {
        ColdRole::Warm => "back_end_warm",
        ColdRole::OtherNodes | ColdRole::Sender => "back_end_cold",
    };
    let is_sender = change.role == ColdRole::Sender;
    log::info!(
        event = event, back_end = change.instance.as_str(), sender = is_sender,
        warm_in_ms = change.warm_in.milliseconds();
        "warmth changed"
    );
}

/// The engines of a pool are split in another way than before. At most one line a pool and
/// look at it, of two a second, and none while the load stays within a step.
pub(crate) fn pool_split(change: &SplitChange) {
    let stats = &change.stats;
    log::info!(
        event = "pool_split", pool = change.pool.as_str(),
        prompt_engines = stats.prompt_engines, engines = stats.ranked_engines,
        usable = stats.load.engines, needed_prompts = stats.need.prompts,
        needed_streams = stats.need.streams, running = stats.load.running,
        exposed = stats.load.exposed_streams, long_requests = stats.load.long_requests,
        placed_per_s = stats.placed_rate, read_per_s = stats.load.prefill_rate;
        "engines split between long prompts and streams"
    );
}

/// A place was granted to a caller that had left meanwhile, and given back unused. Callers
/// leave all the time: the count in the metrics tells more than the lines.
pub(crate) fn lease_unclaimed(instance: &InstanceId) {
    metrics::lease_unclaimed();
    log::debug!(event = "place_unclaimed", back_end = instance.as_str(); "place given back unused");
}

/// A place was not given back within its request's time: its holder lost it.
pub(crate) fn lease_expired(expired: &ExpiredLease) {
    metrics::lease_expired();
    log::warn!(
        event = "place_expired", back_end = expired.instance.as_str();
        "a place was not given back by its holder"
    );
}

/// This node began to aggregate for its zone, or stopped.
pub(crate) fn aggregating(is_aggregator: bool) {
    log::info!(event = "aggregating", on = is_aggregator; "duty as an aggregator");
}

/// Nothing is heard of a zone, or it is heard again.
pub(crate) fn zone_reachability(zone: &str, is_silent: bool) {
    if is_silent {
        log::warn!(event = "zone_silent", zone = zone; "nothing is heard of a zone");
    } else {
        log::info!(event = "zone_heard", zone = zone; "a zone is heard again");
    }
}

/// A message between nodes could not be encoded or decoded.
pub(crate) fn message_lost(step: &'static str, error: &str) {
    metrics::message_lost(step);
    log::warn!(event = "message_lost", step = step, error = error; "message between nodes lost");
}

/// Documents could not be fetched from a peer.
pub(crate) fn fetch_failed(peer: SocketAddr, error: &FetchError) {
    log::warn!(event = "fetch_failed", peer:% = peer, error:% = error; "documents not fetched");
}

/// A document holds a value that makes no sense; the safe reading of it is in force.
pub fn document_invalid(key: &str, problem: &str) {
    metrics::document_invalid("value");
    log::warn!(event = "document_doubtful", item = key, doubt = problem; "document used with doubt");
}

/// A document names a zone or region that the settings don't know.
fn unknown_name(change: &ReceivedChange, unknown: &UnknownName) {
    metrics::document_invalid(unknown.kind());
    log::warn!(
        event = "document_doubtful", item = change.key.kind(), revision:% = change.revision,
        names = unknown.kind(), name = unknown.as_str();
        "a document names what the settings don't know"
    );
}

/// A document was taken, or refused.
pub(crate) fn document_received(change: &ReceivedChange, source: &'static str) {
    for unknown in &change.unknown_names {
        unknown_name(change, unknown);
    }
    let (kind, revision) = (change.kind, change.revision);
    let item = match &change.key {
        DocumentKey::Table => "table",
        DocumentKey::BackEnd(instance) => instance.as_str(),
        DocumentKey::Evacuation(zone) => zone.as_str(),
    };
    match &change.outcome {
        ApplyOutcome::AlreadyKnown => {}
        ApplyOutcome::Withheld => log::info!(
            event = "document_withheld", item = item, revision:% = revision, source = source;
            "back end removed before a restore is listed again; withheld"
        ),
        ApplyOutcome::Applied => log::info!(
            event = "document_taken", item = item, kind = kind, revision:% = revision, source = source;
            "document in force"
        ),
        ApplyOutcome::Rejected(error) => log::warn!(
            event = "document_refused", item = item, revision:% = revision, source = source,
            error = error.as_str();
            "document refused; the previous one stays"
        ),
    }
}

/// A back end's standing changed.
pub(crate) fn back_end_health(instance: &InstanceId, change: HealthChange, outcome: Outcome) {
    let (event, span) = match change {
        HealthChange::Ejected(span) => ("back_end_ejected", span),
        HealthChange::Restored => ("back_end_restored", Span::ZERO),
    };
    log::warn!(
        event = event, back_end = instance.as_str(), for_ms = span.milliseconds(),
        after = outcome.as_str();
        "standing changed"
    );
}

fn percent(fraction: f64) -> u64 {
    (fraction * 100.0) as u64
}

/// What an engine told of its cache corrected what was believed, or has a gap.
pub(crate) fn cache_updated(instance: &InstanceId, update: &CacheUpdate) {
    let counts = &update.counts;
    if update.stale + update.missing == 0 && counts.listings > 0 && counts.responses > 0 {
        return;
    }
    log::info!(
        event = "cache_told", back_end = instance.as_str(), gone = update.stale, kept = update.missing,
        followed_ms = update.followed_for.milliseconds(), listings = counts.listings,
        answers = counts.responses, gaps = counts.gaps, vain = counts.failed_calls;
        "an engine told what it keeps"
    );
}

/// A call for what an engine keeps gave nothing.
pub(crate) fn cache_call_failed(instance: &InstanceId, cause: &str) {
    metrics::cache_call_failed("call");
    log::debug!(
        event = "cache_call_failed", back_end = instance.as_str(), cause = cause;
        "no word of what an engine keeps"
    );
}

/// An engine's word on what it keeps makes no sense; it is not used.
pub(crate) fn malformed_cache_response(instance: &InstanceId, error: &MalformedResponse) {
    metrics::cache_call_failed("shape");
    log::warn!(
        event = "cache_answer_doubtful", back_end = instance.as_str(), doubt:% = error;
        "what an engine tells of its cache is not used"
    );
}

/// A request got a place on a back end.
pub(crate) fn granted(
    id: &str,
    route: &str,
    rank: u8,
    attempt: u32,
    digest: RequestDigest,
    grant: &Grant,
) {
    let candidate = &grant.candidate;
    log::info!(
        event = "granted", request = id, route = route, rank = rank, attempt = attempt, digest:% = digest,
        back_end = grant.instance.as_str(), expected_ms = candidate.first_event.milliseconds(),
        uncached = grant.uncached_tokens, read_again = candidate.recomputed_tokens,
        copied = candidate.copied_tokens, cache = if grant.cache_observation_age.is_some() { "known" } else { "believed" },
        cache_age_ms = grant.cache_observation_age.unwrap_or_default().milliseconds(), is_home = candidate.is_home, cost_ms = candidate.cost().milliseconds(),
        running = candidate.running,
        own_late_percent = percent(candidate.own_delay_probability),
        others_late_percent = percent(candidate.delayed_streams),
        memory_percent = percent(candidate.memory_fraction), revision:% = grant.revision,
        list_age_ms = grant.list_age.milliseconds(),
        replica_at = grant.replica.as_ref().map_or("", |replica| replica.instance.as_str());
        "granted"
    );
}

/// A request got no place.
pub(crate) fn not_granted(id: &str, reason: Reason, retry_after: Span) {
    log::warn!(
        event = "not_granted", request = id, reason = reason.as_str(),
        retry_after_ms = retry_after.milliseconds();
        "no place"
    );
}

/// An attempt at a back end failed.
pub(crate) fn attempt_failed(
    id: &str,
    attempt: u32,
    back_end: &InstanceId,
    outcome: Outcome,
    digest: RequestDigest,
) {
    log::warn!(
        event = "attempt_failed", request = id, attempt = attempt, back_end = back_end.as_str(),
        outcome = outcome.as_str(), digest:% = digest;
        "attempt failed"
    );
}

/// An answer says something of its back end.
pub(crate) fn back_end_notice(id: &str, back_end: &InstanceId, notice: Notice) {
    log::info!(
        event = "back_end_notice", request = id, back_end = back_end.as_str(),
        leaving = notice.is_leaving, rest_ms = notice.backoff.unwrap_or_default().milliseconds(),
        limit:% = notice.limit;
        "an answer says something of its back end"
    );
}

/// A back end said in an answer that it is leaving; it gets nothing more from this node.
pub(crate) fn back_end_leaving(instance: &InstanceId) {
    log::warn!(
        event = "back_end_leaving", back_end = instance.as_str();
        "a back end says that it is leaving"
    );
}

/// The rate limit that a back end names can't be read; it is not kept.
pub(crate) fn invalid_limit(value: &HeaderValue) {
    log::warn!(
        event = "limit_unreadable", found:? = value;
        "the rate limit that a back end names is not kept"
    );
}

/// The rest that a back end asks for can't be read; it is not kept.
pub(crate) fn invalid_backoff(value: &HeaderValue) {
    log::warn!(
        event = "rest_unreadable", found:? = value;
        "the rest that a back end asks for is not kept"
    );
}

/// A back end crashed under a run: its connection broke and no new one comes up.
pub(crate) fn crashed_run(
    id: &str,
    back_end: &InstanceId,
    digest: RequestDigest,
    check: ConnectionCheck,
) {
    log::warn!(
        event = "crashed_run", request = id, back_end = back_end.as_str(), digest:% = digest,
        connection = check.as_str();
        "a back end crashed under a run"
    );
}

/// A request is refused from now on because back ends crash under it, or no longer.
pub(crate) fn quarantine(change: &QuarantineChange) {
    let details = change.details();
    log::warn!(
        event = details.event, digest:% = details.request, crashes = details.crashes,
        for_ms = details.remaining_ms, source = details.source;
        "quarantine of a request changed"
    );
}

/// A stream goes on at another back end.
pub(crate) fn resumed(id: &str, back_end: &str, after_event: u64) {
    log::warn!(
        event = "resumed", request = id, back_end = back_end, after_event = after_event;
        "stream taken up elsewhere"
    );
}

/// A lost run goes on at the engine that holds its replica.
pub(crate) fn taken_over(id: &str, back_end: &str, after_event: u64, waited: Span) {
    log::warn!(
        event = "taken_over", request = id, back_end = back_end, after_event = after_event,
        waited_ms = waited.milliseconds();
        "run continued from its replica"
    );
}

/// A lost run could not go on from its replica.
pub(crate) fn replica_refused(id: &str, back_end: &str, reason: &str, waited: Span) {
    log::warn!(
        event = "replica_refused", request = id, back_end = back_end, reason = reason,
        waited_ms = waited.milliseconds();
        "replica not used"
    );
}

/// A back end's part of a stream is over.
pub(crate) fn stream_paced(id: &str, pacing: &StreamPacing, started: Timestamp) {
    let spacing = pacing.spacing().unwrap_or_default();
    let first_at = pacing.first_at().unwrap_or(started);
    log::info!(
        event = "stream_paced", request = id, events = pacing.events(),
        first_event_ms = first_at.since(started).milliseconds(),
        spacing_ms = spacing.milliseconds(), longest_pause_ms = pacing.longest_pause().milliseconds();
        "events came"
    );
}

/// A request was answered by this node itself.
pub(crate) fn replied_locally(id: &str, reply: &LocalReply, elapsed: Span) {
    log::warn!(
        event = "answered_here", request = id, status = reply.status().as_u16(),
        reason = reply.reason(), verdict = reply.verdict().as_str(),
        digest:% = reply.digest().map(|digest| digest.to_string()).unwrap_or_default(),
        elapsed_ms = elapsed.milliseconds();
        "answered here"
    );
}

/// A request ended with a back end's answer, whole or not.
pub(crate) fn ended(id: &str, outcome: &'static str, status: u16, attempts: u32, elapsed: Span) {
    if outcome == "whole" {
        log::info!(
            event = "ended", request = id, how = outcome, status = status, attempts = attempts,
            elapsed_ms = elapsed.milliseconds();
            "ended"
        );
        return;
    }
    log::warn!(
        event = "ended", request = id, how = outcome, status = status, attempts = attempts,
        elapsed_ms = elapsed.milliseconds();
        "ended"
    );
}

/// A request was ended because what it held did not fit any longer.
pub(crate) fn ended_for_memory(id: &str, route: &'static str, held: u64, reason: &'static str) {
    metrics::ended_for_memory(reason, route);
    log::warn!(
        event = "ended_for_memory", request = id, route = route, held_bytes = held, why = reason;
        "ended for memory"
    );
}
