//! What a request, a tick and a change cost a node, by the number of nodes and back ends.
//!
//! `cargo bench -p eiderferry-dispatch` prints a table in microseconds; no verdict hangs on it.

#[path = "../tests/support/mod.rs"]
mod support;

use eiderferry_dispatch::{Decision, Dispatcher, Outcome, TICK};
use eiderferry_types::{Span, Timestamp};
use std::time::Instant;
use support::{
    START, back_end, back_end_change, demand, dispatcher, known, node_address, table_change,
};

/// Nodes, engines and zones of the fleets that are compared.
const SIZES: [(usize, usize, usize); 4] = [
    (30, 300, 5),
    (300, 3_000, 5),
    (585, 6_000, 5),
    (1_170, 12_000, 5),
];
const REQUESTS: u64 = 300;
const TICKS: u64 = 50;
const CHANGES: u64 = 100;

/// A node of such a fleet that knows all others and all engines.
fn node(nodes: usize, engines: usize, zones: usize) -> Dispatcher {
    let mut subject = dispatcher(0, 0, Vec::new());
    subject.apply(table_change(1), START);
    for number in 0..engines {
        let name = format!("engine-{number}");
        let back_end = back_end(&name, number, number % zones);
        subject.apply(back_end_change(back_end, 2), START);
    }
    subject.record_confirmation(&known(2), START);
    meet(&mut subject, nodes, zones, START);
    subject.announce(true, START);
    subject
}

/// All other nodes are heard.
fn meet(subject: &mut Dispatcher, nodes: usize, zones: usize, now: Timestamp) {
    for number in 1..nodes {
        let mut other = dispatcher(number, number % zones, Vec::new());
        let message = other.gossip(false, now);
        subject.receive(node_address(number), &message, now);
    }
}

fn microseconds(begun: Instant, count: u64) -> f64 {
    begun.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn request(subject: &mut Dispatcher, now: Timestamp) -> f64 {
    let begun = Instant::now();
    for prompt in 1..=REQUESTS {
        if let Decision::Grant(grant) = subject.dispatch(&demand(prompt, 6_000, 500), now) {
            subject.release(grant.lease, Outcome::Completed, now);
        }
    }
    microseconds(begun, REQUESTS)
}

fn tick(subject: &mut Dispatcher, first: Timestamp) -> f64 {
    let begun = Instant::now();
    for tick in 1..=TICKS {
        let now = Timestamp(first.0 + tick * TICK.0);
        subject.tick(now);
        subject.cache_calls(now);
    }
    microseconds(begun, TICKS)
}

fn change(subject: &mut Dispatcher, now: Timestamp) -> f64 {
    let begun = Instant::now();
    for number in 0..CHANGES {
        let revision = 10 + number;
        let name = format!("engine-{number}");
        let back_end = back_end(&name, number as usize, 0);
        subject.apply(back_end_change(back_end, revision), now);
        subject.record_confirmation(&known(revision), now);
        subject.announce(false, now);
    }
    microseconds(begun, CHANGES)
}

fn main() {
    println!("nodes engines | us a request, a tick, a change passed on");
    for (nodes, engines, zones) in SIZES {
        let mut subject = node(nodes, engines, zones);
        let now = START + Span::from_milliseconds(100);
        let request = request(&mut subject, now);
        let tick = tick(&mut subject, now);
        let change = change(&mut subject, now);
        println!("{nodes:>5} {engines:>7} | {request:>9.1} {tick:>9.1} {change:>9.1}");
    }
}
