//! `eiderferry explain-logs`: the timeline of one request from the logs of several nodes.

use crate::error::CommandError;
use crate::output::{OutputTable, print_table};
use clap::ArgMatches;
use serde_json::{Map, Value};
use std::io::Read;
use std::path::{Path, PathBuf};

/// Log lines about the request's back ends are included up to this many seconds
/// before its first line and after its last.
const BACK_END_CONTEXT_SECONDS: f64 = 2.0;
/// Event of a request to resume a stream.
const STREAM_RESUMPTION: &str = "stream_resumption";
/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// One parsed log line.
#[derive(Clone, Debug)]
struct LogEntry {
    node: String,
    timestamp: String,
    seconds: f64,
    event: String,
    fields: Map<String, Value>,
}

impl LogEntry {
    fn field_text(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    /// Ids of the prompt parts that it names.
    fn parts(&self) -> Vec<String> {
        let text = self.field_text("parts");
        let ids = text.split(',').filter(|id| !id.is_empty());
        ids.map(str::to_owned).collect()
    }

    fn has_parts(&self, parts: &[String]) -> bool {
        let own = self.parts();
        parts.iter().all(|part| own.contains(part))
    }

    fn belongs_to(&self, request: &str) -> bool {
        self.field_text("request") == request
    }

    /// The fields of a line, without its request if that is the request to explain.
    fn details(&self, request: &str) -> String {
        let omitted: &[&str] = if self.belongs_to(request) {
            &["event", "request"]
        } else {
            &["event"]
        };
        let fields = self.fields.iter();
        let visible = fields.filter(|(name, _)| !omitted.contains(&name.as_str()));
        let pairs = visible.map(|(name, _)| format!("{name}={}", self.field_text(name)));
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// Prints the timeline of a request and a sentence on how it ended.
pub fn run(arguments: &ArgMatches) -> Result<(), CommandError> {
    let request = arguments.get_one::<String>("request");
    let request = request.map(String::as_str).unwrap_or_default();
    let files = arguments.get_many::<PathBuf>("files").into_iter().flatten();
    let mut entries = Vec::new();
    for file in files {
        entries.extend(read_log(file)?);
    }
    entries.sort_by(|left, right| left.seconds.total_cmp(&right.seconds));
    let timeline = timeline(&entries, request);
    let Some(first) = timeline.first() else {
        let message = format!(
            "no line about request {request} in {} lines; pass the logs of the node that \
             received it, from the time when it ran",
            entries.len()
        );
        return Err(CommandError::NotFound(message));
    };
    let json = arguments.get_one::<String>("format").map(String::as_str) == Some("json");
    let start_seconds = first.seconds;
    let mut table = OutputTable::new(&["at ms", "node", "event", "details"]);
    for entry in &timeline {
        let offset = format!("{:.0}", (entry.seconds - start_seconds) * 1_000.0);
        table.push([&offset, &entry.node, &entry.event, &entry.details(request)]);
    }
    print_table(&table, json);
    if !json {
        println!("\nfirst line at {}", first.timestamp);
        println!("cause: {}", describe_outcome(&timeline, request));
    }
    Ok(())
}

fn read_log(file: &Path) -> Result<Vec<LogEntry>, CommandError> {
    let name = file.display().to_string();
    let mut text = String::new();
    let result = if name == STANDARD_INPUT {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        std::fs::read_to_string(file).map(|contents| text = contents)
    };
    result.map_err(|cause| {
        CommandError::InvalidArgument(format!("{name}: can't be read: {cause}"))
    })?;
    let mut node = file
        .file_stem()
        .map_or(name.clone(), |stem| stem.to_string_lossy().into_owned());
    let mut entries = Vec::new();
    for line in text.lines() {
        let Some(mut parsed) = parse_entry(line) else {
            continue;
        };
        if parsed.event == "started" {
            node = parsed.field_text("node");
        }
        if parsed.node.is_empty() {
            parsed.node.clone_from(&node);
        }
        entries.push(parsed);
    }
    Ok(entries)
}

/// Parses a JSON log line. If there is a prefix before the JSON, its last word is
/// the node's name. Returns `None` for a line that is not a structured log event.
fn parse_entry(line: &str) -> Option<LogEntry> {
    let start = line.find('{')?;
    let value: Value = serde_json::from_str(&line[start..]).ok()?;
    let fields = value.get("kvs")?.as_object()?.clone();
    let timestamp = value.get("timestamp")?.as_str()?.to_owned();
    let event = fields.get("event")?.as_str()?.to_owned();
    let node = line[..start].split_whitespace().last();
    Some(LogEntry {
        node: node.unwrap_or_default().to_owned(),
        seconds: seconds_since_month_start(&timestamp)?,
        timestamp,
        event,
        fields,
    })
}

/// Seconds since the start of the month, which suffice to sort lines because the
/// logs of one request span minutes.
fn seconds_since_month_start(timestamp: &str) -> Option<f64> {
    let (date, time) = timestamp.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let time = time.trim_end_matches('Z');
    let time = time.split(['+']).next()?;
    let mut parts = time.split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    Some(((day * 24.0 + next()?) * 60.0 + next()?) * 60.0 + next()?)
}

/// All requests of a caller for the same stream: the one that brought the first event, and those
/// that resumed the stream.
fn requests_of_stream(entries: &[LogEntry], request: &str) -> Vec<String> {
    let resumptions = entries
        .iter()
        .filter(|entry| entry.event == STREAM_RESUMPTION);
    let mut own = resumptions
        .clone()
        .filter(|entry| entry.belongs_to(request));
    let named = own.next().map(|entry| entry.field_text("first_request"));
    let first = named
        .filter(|first| !first.is_empty())
        .unwrap_or_else(|| request.to_owned());
    let further = resumptions.filter(|entry| entry.field_text("first_request") == first);
    let mut requests = vec![request.to_owned(), first.clone()];
    requests.extend(further.map(|entry| entry.field_text("request")));
    requests
}

/// The lines about a request and the other requests of its stream, those about their back ends at
/// about the same time and on the same nodes, and quarantine events with their digests or the prompt
/// parts for which they were refused.
fn timeline(entries: &[LogEntry], request: &str) -> Vec<LogEntry> {
    let requests = requests_of_stream(entries, request);
    let is_of_stream = |entry: &LogEntry| requests.contains(&entry.field_text("request"));
    let request_entries: Vec<&LogEntry> =
        entries.iter().filter(|entry| is_of_stream(entry)).collect();
    let (Some(first), Some(last)) = (request_entries.first(), request_entries.last()) else {
        return Vec::new();
    };
    let back_ends: Vec<String> = request_entries
        .iter()
        .map(|entry| entry.field_text("back_end"))
        .collect();
    let nodes: Vec<&str> = request_entries
        .iter()
        .map(|entry| entry.node.as_str())
        .collect();
    let time_range =
        first.seconds - BACK_END_CONTEXT_SECONDS..=last.seconds + BACK_END_CONTEXT_SECONDS;
    let is_back_end_entry = |entry: &&LogEntry| {
        let mentions_back_end = back_ends.iter().any(|back_end| {
            !back_end.is_empty()
                && (entry.field_text("back_end") == *back_end
                    || entry.field_text("item") == *back_end)
        });
        entry.field_text("request").is_empty()
            && mentions_back_end
            && nodes.contains(&entry.node.as_str())
            && time_range.contains(&entry.seconds)
    };
    let digests: Vec<String> = request_entries
        .iter()
        .map(|entry| entry.field_text("digest"))
        .collect();
    let is_quarantine_entry = |entry: &&LogEntry| {
        let digest = entry.field_text("digest");
        QUARANTINE_EVENTS.contains(&entry.event.as_str())
            && !digest.is_empty()
            && digests.contains(&digest)
    };
    let refused_parts: Vec<Vec<String>> = request_entries
        .iter()
        .map(|entry| refused_parts(entry))
        .filter(|parts| !parts.is_empty())
        .collect();
    let is_part_entry = |entry: &&LogEntry| {
        let mut refused = refused_parts.iter();
        PART_EVENTS.contains(&entry.event.as_str()) && refused.any(|parts| entry.has_parts(parts))
    };
    let selected = entries.iter().filter(|entry| {
        is_of_stream(entry)
            || is_back_end_entry(entry)
            || is_quarantine_entry(entry)
            || is_part_entry(entry)
    });
    selected.cloned().collect()
}

/// Events that explain why a request is quarantined. They are matched by digest,
/// because the same request may have crashed back ends under other request ids.
const QUARANTINE_EVENTS: [&str; 4] = [
    "crashed_run",
    "request_quarantined",
    "quarantine_cleared",
    "quarantine_expired",
];

/// Events that explain why a prompt part is quarantined.
const PART_EVENTS: [&str; 3] = ["crashed_run", "part_quarantined", "part_released"];

/// Prompt parts for which this line says that its request was refused.
fn refused_parts(entry: &LogEntry) -> Vec<String> {
    if entry.event == "answered_here" {
        entry.parts()
    } else {
        Vec::new()
    }
}

/// The back ends that crashed while running the refused request, or one with the same prompt parts,
/// each with the id under which the request was sent.
fn crash_descriptions(timeline: &[LogEntry], refusal: &LogEntry) -> Vec<String> {
    let (digest, parts) = (refusal.field_text("digest"), refused_parts(refusal));
    let entries = timeline.iter();
    let is_cause = |entry: &&LogEntry| {
        if parts.is_empty() {
            entry.field_text("digest") == digest
        } else {
            entry.has_parts(&parts)
        }
    };
    let crashed = entries
        .filter(|entry| entry.event == "crashed_run")
        .filter(is_cause);
    crashed
        .map(|entry| {
            format!(
                "{} (request {})",
                entry.field_text("back_end"),
                entry.field_text("request")
            )
        })
        .collect()
}

/// Describes a failed attempt or a failover; `None` for any other event.
fn describe_attempt(entry: &LogEntry) -> Option<String> {
    let back_end = entry.field_text("back_end");
    match entry.event.as_str() {
        "attempt_failed" => Some(format!("{back_end} {}", entry.field_text("outcome"))),
        "taken_over" => Some(format!(
            "continued from its replica at {back_end} after event {}",
            entry.field_text("after_event")
        )),
        "replica_refused" => Some(format!(
            "replica at {back_end} refused to continue ({})",
            entry.field_text("reason")
        )),
        STREAM_RESUMPTION => Some(describe_resumption(entry)),
        "resumed" => Some(format!(
            "resumed with a new run at {back_end} after event {}",
            entry.field_text("after_event")
        )),
        _ => None,
    }
}

/// Describes a request to resume a stream, and the source of the stream's version.
fn describe_resumption(entry: &LogEntry) -> String {
    let (first_request, after) = (
        entry.field_text("first_request"),
        entry.field_text("after_event"),
    );
    let stream = if first_request.is_empty() {
        "a stream that it does not name".to_owned()
    } else {
        format!("the stream of {first_request}")
    };
    let source = match entry.field_text("source").as_str() {
        "own_record" => "known from its own record".to_owned(),
        "unknown" => "unknown to all nodes asked".to_owned(),
        "unanswered" => "unknown, as some nodes asked did not answer".to_owned(),
        peer => format!("known from {peer}"),
    };
    let version = entry.field_text("version");
    let version = if version.is_empty() {
        format!("its version is {source}")
    } else {
        format!("its version {version} is {source}")
    };
    format!("taking up {stream} after event {after}; {version}")
}

/// One sentence on how a request ended and which failures came before.
fn describe_outcome(timeline: &[LogEntry], request: &str) -> String {
    let request_entries: Vec<&LogEntry> = timeline
        .iter()
        .filter(|entry| entry.belongs_to(request))
        .collect();
    let failures: Vec<String> = request_entries
        .iter()
        .filter_map(|entry| describe_attempt(entry))
        .collect();
    let last_entry = request_entries
        .iter()
        .rev()
        .find(|entry| matches!(entry.event.as_str(), "answered_here" | "ended"));
    let Some(last_entry) = last_entry else {
        return "these logs don't contain the end of the request: its node may have crashed"
            .to_owned();
    };
    let mut preceding = if failures.is_empty() {
        String::new()
    } else {
        format!(", after: {}", failures.join(", "))
    };
    let parts = refused_parts(last_entry);
    if !parts.is_empty() {
        preceding.push_str(&format!(
            "; prompt part {} is refused",
            parts.join(" with ")
        ));
    }
    let crashes = crash_descriptions(timeline, last_entry);
    if !crashes.is_empty() {
        preceding.push_str("; back ends crashed under it: ");
        preceding.push_str(&crashes.join(", "));
    }
    match last_entry.event.as_str() {
        "answered_here" => format!(
            "answered here with {} because of {}; {}{preceding}",
            last_entry.field_text("status"),
            last_entry.field_text("reason"),
            last_entry.field_text("verdict")
        ),
        _ => format!(
            "ended {} with status {}{preceding}",
            last_entry.field_text("how"),
            last_entry.field_text("status")
        ),
    }
}
