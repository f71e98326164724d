//! Log events: one function per kind of line, so that names stay stable.
//!
//! Every line has an `event` field; docs/operations/LOGS.md explains each field. Keys, bodies and
//! prompts are never logged.

use crate::cache_follower::MalformedResponse;
use crate::connecting::ConnectionCheck;
use crate::documents::FetchError;
use crate::local_reply::LocalReply;
use crate::metrics;
use crate::notice::Notice;
use crate::resumption::{FoundStream, Resumption};
use crate::serving_monitor::ServingReport;
use eiderferry_dispatch::{
    ApplyOutcome, CacheUpdate, ColdRole, CrashedRun, DocumentKey, ExpiredLease, Grant,
    HealthChange, LimitChange, LimitRole, LookupResult, Outcome, PartChange, PeerChange,
    QuarantineChange, ReceivedChange, RetrySource, Revision, Snapshot, SplitChange, StreamPacing,
    UnknownName, VersionSource, WarmupChange,
};
use eiderferry_routing::{InstanceId, SoftwareVersion};
use eiderferry_types::{Reason, RequestDigest, Span, Timestamp};
use http::HeaderValue;
use std::net::{IpAddr, SocketAddr};

/// Maximum prompt parts named in one line.
const MAX_LOGGED_PARTS: usize = 16;

/// This node starts to serve callers.
pub(crate) fn started(node: &str, zone: &str, address: SocketAddr) {
    log::info!(event = "started", node = node, zone = zone, listen:% = address; "started");
}

/// Few of the requests of the last seconds were served: how they ended, and what this node knows of
/// the platform, its peers and the back ends.
pub(crate) fn few_requests_served(report: &ServingReport, state: &Snapshot) {
    let unserved = report.unserved.iter();
    let unserved: Vec<String> = unserved
        .map(|(outcome, count)| format!("{outcome}:{count}"))
        .collect();
    log::warn!(
        event = "few_requests_served", ended = report.ended, served = report.served,
        unserved = unserved.join(",").as_str(),
        table_version = state.table_version,
        confirmation_age_ms = (state.confirmed_age_seconds * 1_000.0) as u64,
        peers = state.live_peers, silent_zones = state.silent_zones,
        back_ends = state.back_ends, ejected = state.ejected_back_ends,
        cold = state.cold_back_ends, limited = state.limited_back_ends,
        evacuated_zones = state.evacuated_zones, leases = state.leases,
        quarantined_requests = state.quarantine.quarantined,
        quarantined_parts = state.part_quarantine.quarantined;
        "few requests were served"
    );
}

/// A planned shutdown has begun or entered its next phase.
pub(crate) fn stopping(phase: &'static str, open_requests: u32) {
    log::info!(event = "stopping", phase = phase, open = open_requests; "stopping");
}

/// The process is about to end.
pub(crate) fn stopped(open_requests: u32) {
    log::info!(event = "stopped", open = open_requests; "stopped");
}

/// The settings were reloaded.
pub fn reloaded(seeds: usize) {
    log::info!(event = "reloaded", seeds = seeds; "settings reloaded");
}

/// The process was paused.
pub(crate) fn paused(gap: Span) {
    log::warn!(event = "paused", gap_ms = gap.milliseconds(); "the process was paused");
}

/// The document source does not respond.
pub fn source_lost(error: &str) {
    log::warn!(event = "source_lost", error = error; "the document source does not respond");
}

/// The document source responds again.
pub fn source_recovered(outage_ms: u64) {
    log::info!(
        event = "source_regained", silent_ms = outage_ms;
        "the document source responds again"
    );
}

/// The document source refused a call because it has compacted its history after the given
/// revision.
pub fn history_compacted(after: Revision) {
    log::warn!(
        event = "history_gone", after:% = after;
        "the document source has compacted its history after this revision"
    );
}

/// The document source was restored from a backup: a listing belongs to a newer epoch.
pub fn source_restored(known_revision: Revision, listed_revision: Revision) {
    log::warn!(
        event = "source_restored", known:% = known_revision, listed:% = listed_revision;
        "the document source was restored from a backup"
    );
}

/// A peer was discovered, recovered or lost.
pub(crate) fn peer(change: &PeerChange) {
    match change {
        // When a fleet of 300 nodes starts, each node would write 300 of these lines.
        PeerChange::Discovered(node) => {
            log::debug!(event = "peer_found", peer = node.as_str(); "peer discovered")
        }
        PeerChange::Recovered(node) => {
            log::info!(event = "peer_regained", peer = node.as_str(); "peer recovered");
        }
        PeerChange::Lost(node) => {
            log::warn!(event = "peer_lost", peer = node.as_str(); "peer lost");
        }
    }
}

/// A back end's rate limit changed, or this node joined or left the nodes that send to it.
pub(crate) fn rate_limit(change: &LimitChange) {
    let back_end = change.instance.as_str();
    let Some((limit, role)) = change.state else {
        log::info!(event = "back_end_unlimited", back_end = back_end; "back-end rate limit lifted");
        return;
    };
    let interval = match role {
        LimitRole::Sender(interval) => Some(interval),
        LimitRole::OtherNodes => None,
    };
    log::info!(
        event = "back_end_limited", back_end = back_end, limit:% = limit, sender = interval.is_some(),
        each_ms = interval.unwrap_or_default().milliseconds();
        "back-end rate limit, or who sends under it, changed"
    );
}

/// A back end became cold or warm, or this node joined or left the few nodes that send to a cold
/// one.
pub(crate) fn warmup_changed(change: &WarmupChange) {
    let event = match change.role {
        ColdRole::Warm => "back_end_warm",
        ColdRole::OtherNodes | ColdRole::Sender | ColdRole::MainSender => "back_end_cold",
    };
    let is_sender = change.role.is_sender();
    log::info!(
        event = event, back_end = change.instance.as_str(), sender = is_sender,
        warm_in_ms = change.warm_in.milliseconds();
        "back-end warm-up state changed"
    );
}

/// The split of a pool's engines changed. At most one line per pool and evaluation, of which there
/// are two a second, and none while the load changes by less than a step.
pub(crate) fn pool_split(change: &SplitChange) {
    let stats = &change.stats;
    log::info!(
        event = "pool_split", pool = change.pool.as_str(),
        prompt_engines = stats.prompt_engines, engines = stats.ranked_engines,
        usable = stats.load.engines, needed_prompts = stats.need.prompts,
        needed_streams = stats.need.streams, running = stats.load.running,
        exposed = stats.load.exposed_streams, long_requests = stats.load.long_prefills,
        placed_per_s = stats.placed_tokens_per_second,
        read_per_s = stats.load.prefill_tokens_per_second;
        "split of engines between long prompts and streams changed"
    );
}

/// A lease was granted to a caller that had disconnected meanwhile, and was released unused.
/// Callers disconnect all the time, so the count in the metrics is more useful than these lines.
pub(crate) fn lease_unclaimed(instance: &InstanceId) {
    metrics::lease_unclaimed();
    log::debug!(
        event = "place_unclaimed", back_end = instance.as_str();
        "unclaimed lease released"
    );
}

/// A lease was not released within its request's time: its holder has lost it.
pub(crate) fn lease_expired(expired: &ExpiredLease) {
    metrics::lease_expired();
    log::warn!(
        event = "place_expired", back_end = expired.instance.as_str();
        "lease expired without being released"
    );
}

/// This node started or stopped aggregating for its zone.
pub(crate) fn aggregating(is_aggregator: bool) {
    log::info!(event = "aggregating", on = is_aggregator; "aggregator role changed");
}

/// No messages arrive from a zone, or they arrive again.
pub(crate) fn zone_reachability(zone: &str, is_silent: bool) {
    if is_silent {
        log::warn!(event = "zone_silent", zone = zone; "no messages arrive from a zone");
    } else {
        log::info!(event = "zone_heard", zone = zone; "messages from a zone arrive again");
    }
}

/// A message between nodes could not be encoded or decoded.
pub(crate) fn message_lost(step: &'static str, error: &str) {
    metrics::message_lost(step);
    log::warn!(event = "message_lost", step = step, error = error; "message between nodes lost");
}

/// Documents could not be fetched from a peer.
pub(crate) fn fetch_failed(peer: SocketAddr, error: &FetchError) {
    log::warn!(
        event = "fetch_failed", peer:% = peer, error:% = error;
        "fetching documents from a peer failed"
    );
}

/// A document has an invalid value; a safe fallback is used.
pub fn document_invalid(key: &str, problem: &str) {
    metrics::document_invalid("value");
    log::warn!(
        event = "document_doubtful", item = key, doubt = problem;
        "document has an invalid value; a fallback is used"
    );
}

/// A document names a zone or region that the settings don't contain.
fn unknown_name(change: &ReceivedChange, unknown: &UnknownName) {
    metrics::document_invalid(unknown.kind());
    log::warn!(
        event = "document_doubtful", item = change.key.kind(), revision:% = change.revision,
        names = unknown.kind(), name = unknown.as_str();
        "document names a zone or region that is not in the settings"
    );
}

/// A document was applied, withheld or rejected.
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
            "document applied"
        ),
        ApplyOutcome::Rejected(error) => log::warn!(
            event = "document_refused", item = item, revision:% = revision, source = source,
            error = error.as_str();
            "document rejected; the previous one stays in force"
        ),
    }
}

/// A back end was ejected or restored.
pub(crate) fn back_end_health(instance: &InstanceId, change: HealthChange, outcome: Outcome) {
    let (event, span) = match change {
        HealthChange::Ejected(span) => ("back_end_ejected", span),
        HealthChange::Restored => ("back_end_restored", Span::ZERO),
    };
    log::warn!(
        event = event, back_end = instance.as_str(), for_ms = span.milliseconds(),
        after = outcome.as_str();
        "back-end health changed"
    );
}

fn percent(fraction: f64) -> u64 {
    (fraction * 100.0) as u64
}

/// An engine's report on its cache corrected the index or has a gap.
pub(crate) fn cache_updated(instance: &InstanceId, update: &CacheUpdate) {
    let counts = &update.counts;
    if update.stale + update.missing == 0 && counts.listings > 0 && counts.responses > 0 {
        return;
    }
    log::info!(
        event = "cache_told", back_end = instance.as_str(), gone = update.stale, kept = update.missing,
        followed_ms = update.followed_for.milliseconds(), listings = counts.listings,
        answers = counts.responses, gaps = counts.gaps, vain = counts.failed_calls;
        "cache index updated by an engine's report"
    );
}

/// A cache call to an engine failed.
pub(crate) fn cache_call_failed(instance: &InstanceId, cause: &str) {
    metrics::cache_call_failed("call");
    log::debug!(
        event = "cache_call_failed", back_end = instance.as_str(), cause = cause;
        "cache call to an engine failed"
    );
}

/// An engine's report on its cache is malformed; it is ignored.
pub(crate) fn malformed_cache_response(instance: &InstanceId, error: &MalformedResponse) {
    metrics::cache_call_failed("shape");
    log::warn!(
        event = "cache_answer_doubtful", back_end = instance.as_str(), doubt:% = error;
        "malformed cache response from an engine ignored"
    );
}

/// A request got a lease on a back end.
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
        back_end = grant.instance.as_str(),
        version = grant.version.as_ref().map_or("", SoftwareVersion::as_str),
        expected_ms = candidate.time_to_first_event.milliseconds(),
        uncached = grant.uncached_tokens, read_again = candidate.recomputed_tokens,
        copied = candidate.copied_tokens, cache = if grant.cache_observation_age.is_some() { "known" } else { "believed" },
        cache_age_ms = grant.cache_observation_age.unwrap_or_default().milliseconds(), is_home = candidate.is_home, cost_ms = candidate.cost().milliseconds(),
        running = candidate.running,
        own_late_percent = percent(candidate.own_delay_probability),
        others_late_percent = percent(candidate.delayed_streams),
        memory_percent = percent(candidate.memory_fraction), revision:% = grant.revision,
        list_age_ms = grant.list_age.milliseconds(),
        replica_at = grant.replica.as_ref().map_or("", |replica| replica.instance.as_str()),
        retry_source = grant.retry_source.map_or("", RetrySource::as_str);
        "granted"
    );
}

/// A request got no lease.
pub(crate) fn not_granted(id: &str, reason: Reason, retry_after: Span) {
    log::warn!(
        event = "not_granted", request = id, reason = reason.as_str(),
        retry_after_ms = retry_after.milliseconds();
        "lease not granted"
    );
}

/// A live back end can't be connected to from this node.
pub(crate) fn path_broken(back_end: &InstanceId, is_cut: bool) {
    log::warn!(
        event = "path_broken", back_end = back_end.as_str(), cut = is_cut;
        "a back end can't be connected to from this node, but from a peer"
    );
}

/// Direct connections to back ends are possible again.
pub(crate) fn paths_restored(back_end: &InstanceId, remaining: usize) {
    log::info!(
        event = "paths_restored", back_end = back_end.as_str(), broken = remaining;
        "a back end is reached directly again"
    );
}

/// A node asked for a tunnel that it may not have.
pub(crate) fn tunnel_refused(source: IpAddr, back_end: &InstanceId, reason: &'static str) {
    log::warn!(
        event = "tunnel_refused", source:% = source, back_end = back_end.as_str(), reason = reason;
        "a tunnel to a back end was refused"
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

/// A response states something about its back end.
pub(crate) fn back_end_notice(id: &str, back_end: &InstanceId, notice: Notice) {
    log::info!(
        event = "back_end_notice", request = id, back_end = back_end.as_str(),
        leaving = notice.is_leaving, rest_ms = notice.backoff.unwrap_or_default().milliseconds(),
        limit:% = notice.limit;
        "a response states something about its back end"
    );
}

/// A back end announced in a response that it is leaving; this node sends it no more requests.
pub(crate) fn back_end_leaving(instance: &InstanceId) {
    log::warn!(
        event = "back_end_leaving", back_end = instance.as_str();
        "a back end announced that it is leaving"
    );
}

/// A back end's rate limit can't be parsed; it is ignored.
pub(crate) fn invalid_limit(value: &HeaderValue) {
    log::warn!(
        event = "limit_unreadable", found:? = value;
        "malformed rate limit from a back end ignored"
    );
}

/// A back end's Retry-After can't be parsed; it is ignored.
pub(crate) fn invalid_backoff(value: &HeaderValue) {
    log::warn!(
        event = "rest_unreadable", found:? = value;
        "malformed Retry-After from a back end ignored"
    );
}

/// Details of a run that was interrupted by the crash of its back end.
pub(crate) struct CrashDetails<'a> {
    pub request_id: &'a str,
    pub run: &'a CrashedRun,
    pub check: ConnectionCheck,
}

/// A back end crashed while running a request: its connection broke and no new one can be
/// established.
pub(crate) fn crashed_run(run: &CrashDetails<'_>) {
    let crashed = run.run;
    let parts = &crashed.shared_parts;
    let ids = parts.keys().take(MAX_LOGGED_PARTS);
    let ids: Vec<String> = ids.map(|part| part.to_string()).collect();
    log::warn!(
        event = "crashed_run", request = run.request_id, back_end = crashed.instance.as_str(),
        digest:% = crashed.request, connection = run.check.as_str(),
        progress = crashed.progress.as_str(),
        progress_ms = crashed.progress.duration().milliseconds(), parts = ids.join(",").as_str(),
        part_count = parts.ids.len();
        "a back end crashed while running a request"
    );
}

/// A request is quarantined because back ends crash while running it, or its quarantine ended.
pub(crate) fn quarantine(change: &QuarantineChange) {
    let details = change.details();
    log::warn!(
        event = details.event, digest:% = details.request, crashes = details.crashes,
        for_ms = details.remaining_ms, source = details.source;
        "quarantine of a request changed"
    );
}

/// Prompt parts are quarantined because back ends crash on them, or their quarantine ended.
pub(crate) fn part_quarantine(change: &PartChange) {
    let details = change.details();
    log::warn!(
        event = details.event, parts = details.parts.as_str(), callers = details.callers,
        crashes = details.crashes, for_ms = details.remaining_ms, source = details.source;
        "quarantine of a prompt part changed"
    );
}

/// A request asks to resume a stream; logs the software version at which the stream started, if it
/// is known.
pub(crate) fn stream_resumption(
    id: &str,
    resumption: &Resumption,
    result: &Result<FoundStream, LookupResult>,
) {
    let found = result.as_ref().ok();
    let source = match result {
        Ok(found) => match found.source {
            VersionSource::OwnRecord => "own_record".to_owned(),
            VersionSource::Peer(address) => address.to_string(),
        },
        Err(LookupResult::Unanswered) => "unanswered".to_owned(),
        Err(_) => "unknown".to_owned(),
    };
    log::info!(
        event = "stream_resumption", request = id,
        first_request = resumption.first_request.as_deref().unwrap_or_default(),
        after_event = resumption.last_event_id.unwrap_or(0),
        pool = found.map_or("", |found| found.pool.as_str()),
        version = found.map_or("", |found| found.version.as_str()), source = source.as_str();
        "request to resume a stream"
    );
}

/// A stream was resumed at another back end.
pub(crate) fn resumed(id: &str, back_end: &str, after_event: u64) {
    log::warn!(
        event = "resumed", request = id, back_end = back_end, after_event = after_event;
        "stream resumed at another back end"
    );
}

/// A lost run continues at the engine that holds its replica.
pub(crate) fn taken_over(id: &str, back_end: &str, after_event: u64, waited: Span) {
    log::warn!(
        event = "taken_over", request = id, back_end = back_end, after_event = after_event,
        waited_ms = waited.milliseconds();
        "run continued from its replica"
    );
}

/// A lost run could not be continued from its replica.
pub(crate) fn replica_refused(id: &str, back_end: &str, reason: &str, waited: Span) {
    log::warn!(
        event = "replica_refused", request = id, back_end = back_end, reason = reason,
        waited_ms = waited.milliseconds();
        "run not continued from its replica"
    );
}

/// A back end's part of a stream has ended; this is the pacing of its events.
pub(crate) fn stream_paced(id: &str, pacing: &StreamPacing, started: Timestamp) {
    let spacing = pacing.spacing().unwrap_or_default();
    let first_at = pacing.first_at().unwrap_or(started);
    log::info!(
        event = "stream_paced", request = id, events = pacing.events(),
        first_event_ms = first_at.since(started).milliseconds(),
        spacing_ms = spacing.milliseconds(), longest_pause_ms = pacing.longest_pause().milliseconds();
        "pacing of a stream's events"
    );
}

/// This node replied to a request itself.
pub(crate) fn replied_locally(id: &str, reply: &LocalReply, elapsed: Span) {
    log::warn!(
        event = "answered_here", request = id, status = reply.status().as_u16(),
        reason = reply.reason(), verdict = reply.verdict().as_str(),
        digest:% = reply.digest().map(|digest| digest.to_string()).unwrap_or_default(),
        parts = reply.quarantined_parts(),
        elapsed_ms = elapsed.milliseconds();
        "replied locally"
    );
}

/// A request ended with a back end's response, complete or not.
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

/// A request was ended because the memory it holds no longer fits the budget.
pub(crate) fn ended_for_memory(id: &str, route: &'static str, held: u64, reason: &'static str) {
    metrics::ended_for_memory(reason, route);
    log::warn!(
        event = "ended_for_memory", request = id, route = route, held_bytes = held, why = reason;
        "request ended for lack of memory"
    );
}
