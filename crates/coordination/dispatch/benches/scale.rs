//! Measures the time a node takes for a request, a tick and a change, by the size of the fleet.
//!
//! `cargo bench -p eiderferry-dispatch` prints a table in microseconds; there is no pass or fail
//! threshold.

#[path = "../tests/support/mod.rs"]
mod support;

use eiderferry_dispatch::{Decision, Dispatcher, Outcome, TICK};
use eiderferry_types::{Span, Timestamp};
use std::time::Instant;
use support::{
    START, back_end, back_end_change, demand, dispatcher, node_address, table_change,
    version_vector_up_to,
};

/// Nodes, engines and zones of each fleet.
const FLEET_SIZES: [(usize, usize, usize); 4] = [
    (30, 300, 5),
    (300, 3_000, 5),
    (585, 6_000, 5),
    (1_170, 12_000, 5),
];
const REQUESTS: u64 = 300;
const TICKS: u64 = 50;
const CHANGES: u64 = 100;

/// A node that knows all other nodes and all engines of a fleet.
fn node_in_fleet(nodes: usize, engines: usize, zones: usize) -> Dispatcher {
    let mut subject = dispatcher(0, 0, Vec::new());
    subject.apply(table_change(1), START);
    for number in 0..engines {
        let name = format!("engine-{number}");
        let back_end = back_end(&name, number, number % zones);
        subject.apply(back_end_change(back_end, 2), START);
    }
    subject.record_confirmation(&version_vector_up_to(2), START);
    receive_from_all(&mut subject, nodes, zones, START);
    subject.announce(true, START);
    subject
}

/// Lets the node receive one message from every other node.
fn receive_from_all(subject: &mut Dispatcher, nodes: usize, zones: usize, now: Timestamp) {
    for number in 1..nodes {
        let mut other = dispatcher(number, number % zones, Vec::new());
        let message = other.gossip(false, now);
        subject.receive(node_address(number), &message, now);
    }
}

fn microseconds_per_item(started: Instant, count: u64) -> f64 {
    started.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn time_requests(subject: &mut Dispatcher, now: Timestamp) -> f64 {
    let started = Instant::now();
    for prompt in 1..=REQUESTS {
        if let Decision::Grant(grant) = subject.dispatch(&demand(prompt, 6_000, 500), now) {
            subject.release(grant.lease, Outcome::Completed, now);
        }
    }
    microseconds_per_item(started, REQUESTS)
}

fn time_ticks(subject: &mut Dispatcher, start: Timestamp) -> f64 {
    let started = Instant::now();
    for tick in 1..=TICKS {
        let now = Timestamp(start.0 + tick * TICK.0);
        subject.tick(now);
        subject.cache_calls(now);
    }
    microseconds_per_item(started, TICKS)
}

fn time_changes(subject: &mut Dispatcher, now: Timestamp) -> f64 {
    let started = Instant::now();
    for number in 0..CHANGES {
        let revision = 10 + number;
        let name = format!("engine-{number}");
        let back_end = back_end(&name, number as usize, 0);
        subject.apply(back_end_change(back_end, revision), now);
        subject.record_confirmation(&version_vector_up_to(revision), now);
        subject.announce(false, now);
    }
    microseconds_per_item(started, CHANGES)
}

fn main() {
    println!("nodes engines | microseconds per request, tick and announced change");
    for (nodes, engines, zones) in FLEET_SIZES {
        let mut subject = node_in_fleet(nodes, engines, zones);
        let now = START + Span::from_milliseconds(100);
        let request = time_requests(&mut subject, now);
        let tick = time_ticks(&mut subject, now);
        let change = time_changes(&mut subject, now);
        println!("{nodes:>5} {engines:>7} | {request:>9.1} {tick:>9.1} {change:>9.1}");
    }
}
