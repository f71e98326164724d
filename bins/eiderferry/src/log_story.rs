//! `eiderferry explain-logs`: the story of one request from the logs of several nodes.

use crate::failure::Failure;
use crate::output::{Rows, print};
use clap::ArgMatches;
use serde_json::{Map, Value};
use std::io::Read;
use std::path::{Path, PathBuf};

/// Lines about back ends that the request touched are shown if this close to it.
const CONTEXT_SECONDS: f64 = 2.0;
/// Name of standard input among the files.
const STANDARD_INPUT: &str = "-";

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    node: String,
    timestamp: String,
    seconds: f64,
    event: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, field: &str) -> String {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        }
    }

    fn is_about(&self, request: &str) -> bool {
        self.text("request") == request
    }

    fn details(&self) -> String {
        let hidden = ["event", "request"];
        let fields = self.fields.iter();
        let shown = fields.filter(|(name, _)| !hidden.contains(&name.as_str()));
        let texts = shown.map(|(name, _)| format!("{name}={}", self.text(name)));
        texts.collect::<Vec<_>>().join(" ")
    }
}

/// Prints the story of a request.
pub fn run(arguments: &ArgMatches) -> Result<(), Failure> {
    let request = arguments.get_one::<String>("request");
    let request = request.map(String::as_str).unwrap_or_default();
    let files = arguments.get_many::<PathBuf>("files").into_iter().flatten();
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by(|one, two| one.seconds.total_cmp(&two.seconds));
    let story = story(&lines, request);
    let Some(first) = story.first() else {
        let message = format!(
            "no line about request {request} in {} lines; name the logs of the node that \
             took it, and of the time in which it ran",
            lines.len()
        );
        return Err(Failure::NotFound(message));
    };
    let json = arguments.get_one::<String>("format").map(String::as_str) == Some("json");
    let begun = first.seconds;
    let mut rows = Rows::new(&["at ms", "node", "event", "details"]);
    for line in &story {
        let offset = format!("{:.0}", (line.seconds - begun) * 1_000.0);
        rows.push([&offset, &line.node, &line.event, &line.details()]);
    }
    print(&rows, json);
    if !json {
        println!("\nfirst line at {}", first.timestamp);
        println!("cause: {}", cause(&story, request));
    }
    Ok(())
}

fn read(file: &Path) -> Result<Vec<Line>, Failure> {
    let name = file.display().to_string();
    let mut text = String::new();
    let result = if name == STANDARD_INPUT {
        std::io::stdin().read_to_string(&mut text).map(|_| ())
    } else {
        std::fs::read_to_string(file).map(|found| text = found)
    };
    result.map_err(|cause| Failure::BadArgument(format!("{name}: can't be read: {cause}")))?;
    let mut node = file
        .file_stem()
        .map_or(name.clone(), |stem| stem.to_string_lossy().into_owned());
    let mut lines = Vec::new();
    for line in text.lines() {
        let Some(mut parsed) = parse(line) else {
            continue;
        };
        if parsed.event == "started" {
            node = parsed.text("node");
        }
        if parsed.node.is_empty() {
            parsed.node.clone_from(&node);
        }
        lines.push(parsed);
    }
    Ok(lines)
}

/// A line of the log; what stands before its JSON ends with the node's name.
fn parse(line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let value: Value = serde_json::from_str(&line[start..]).ok()?;
    let fields = value.get("kvs")?.as_object()?.clone();
    let timestamp = value.get("timestamp")?.as_str()?.to_owned();
    let event = fields.get("event")?.as_str()?.to_owned();
    let node = line[..start].split_whitespace().last();
    Some(Line {
        node: node.unwrap_or_default().to_owned(),
        seconds: seconds_of_day(&timestamp)?,
        timestamp,
        event,
        fields,
    })
}

/// Seconds since the beginning of the month; logs of one request span minutes.
fn seconds_of_day(timestamp: &str) -> Option<f64> {
    let (date, time) = timestamp.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let time = time.trim_end_matches('Z');
    let time = time.split(['+']).next()?;
    let mut parts = time.split(':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    Some(((day * 24.0 + next()?) * 60.0 + next()?) * 60.0 + next()?)
}

/// The lines about a request, and those about the back ends that it touched.
fn story(lines: &[Line], request: &str) -> Vec<Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_about(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let touched: Vec<String> = own.iter().map(|line| line.text("back_end")).collect();
    let nodes: Vec<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let span = first.seconds - CONTEXT_SECONDS..=last.seconds + CONTEXT_SECONDS;
    let is_context = |line: &&Line| {
        let names_back_end = touched.iter().any(|back_end| {
            !back_end.is_empty()
                && (line.text("back_end") == *back_end || line.text("item") == *back_end)
        });
        line.text("request").is_empty()
            && names_back_end
            && nodes.contains(&line.node.as_str())
            && span.contains(&line.seconds)
    };
    let digests: Vec<String> = own.iter().map(|line| line.text("digest")).collect();
    let is_quarantine = |line: &&Line| {
        let digest = line.text("digest");
        QUARANTINE_EVENTS.contains(&line.event.as_str())
            && !digest.is_empty()
            && digests.contains(&digest)
    };
    let chosen = lines
        .iter()
        .filter(|line| line.is_about(request) || is_context(line) || is_quarantine(line));
    chosen.cloned().collect()
}

/// Lines that tell why a request is refused: under whichever id it was sent, back ends crashed.
const QUARANTINE_EVENTS: [&str; 4] = [
    "crashed_run",
    "request_quarantined",
    "quarantine_cleared",
    "quarantine_expired",
];

/// The back ends that crashed under what a request asks, however often it was sent.
fn crashes(story: &[Line], digest: &str) -> Vec<String> {
    let lines = story.iter();
    let crashed = lines.filter(|line| line.event == "crashed_run" && line.text("digest") == digest);
    crashed
        .map(|line| {
            format!(
                "{} (request {})",
                line.text("back_end"),
                line.text("request")
            )
        })
        .collect()
}

/// What a line tells of a request's way over back ends.
fn step(line: &Line) -> Option<String> {
    let back_end = line.text("back_end");
    match line.event.as_str() {
        "attempt_failed" => Some(format!("{back_end} {}", line.text("outcome"))),
        "taken_over" => Some(format!(
            "continued from its replica at {back_end} after event {}",
            line.text("after_event")
        )),
        "replica_refused" => Some(format!(
            "not continued at {back_end} ({})",
            line.text("reason")
        )),
        "resumed" => Some(format!(
            "run anew at {back_end} after event {}",
            line.text("after_event")
        )),
        _ => None,
    }
}

/// One sentence that names why a request ended as it did.
fn cause(story: &[Line], request: &str) -> String {
    let own: Vec<&Line> = story.iter().filter(|line| line.is_about(request)).collect();
    let failures: Vec<String> = own.iter().filter_map(|line| step(line)).collect();
    let end = own
        .iter()
        .rev()
        .find(|line| matches!(line.event.as_str(), "answered_here" | "ended"));
    let Some(end) = end else {
        return "the request has not ended in these logs: its node may have died".to_owned();
    };
    let mut before = if failures.is_empty() {
        String::new()
    } else {
        format!(", after: {}", failures.join(", "))
    };
    let crashes = crashes(story, &end.text("digest"));
    if !crashes.is_empty() {
        before.push_str("; back ends crashed under it: ");
        before.push_str(&crashes.join(", "));
    }
    match end.event.as_str() {
        "answered_here" => format!(
            "answered here with {} because of {}; {}{before}",
            end.text("status"),
            end.text("reason"),
            end.text("verdict")
        ),
        _ => format!(
            "ended {} with status {}{before}",
            end.text("how"),
            end.text("status")
        ),
    }
}
