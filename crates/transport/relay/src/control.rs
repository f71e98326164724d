//! The control thread: the only thread that accesses the dispatcher.

mod commands;
mod document_feed;
mod streams;

pub(crate) use commands::{Command, ControlHandle};
pub use document_feed::DocumentFeed;

use crate::cache_follower::CacheFollower;
use crate::cancellation::Cancellations;
use crate::documents::FetchError;
use crate::events;
use crate::gossip::{PeerMessage, PeerSocket};
use crate::metrics;
use crate::notice::{Notice, StatedLimit};
use crate::pending_decision::release_unclaimed;
use arc_swap::ArcSwapOption;
use eiderferry_clock::Clock;
use eiderferry_dispatch::{
    ApplyOutcome, Change, Dispatcher, DueCacheCall, Envelope, Gossip, LookupId, LookupResult,
    MessageKind, NoticeSource, Outcome, QuarantineChanges, ReceivedChange, TICK, VersionVector,
};
use eiderferry_routing::{RoutingTable, ZoneName};
use eiderferry_types::{Span, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// A tick later than planned by more than this shows that the process was paused.
const PAUSE_THRESHOLD: Span = Span::from_milliseconds(700);
/// Ticks between two updates of the gauges.
const GAUGE_INTERVAL_TICKS: u64 = 10;
/// Minimum delay after a fetch that found its sources busy. Up to the same again is added at
/// random, so that nodes that started together don't retry together.
const BUSY_RETRY_DELAY: Span = Span::from_milliseconds(100);
/// Time between two checks whether documents have to be fetched.
const FETCH_CHECK_INTERVAL: Span = Span::from_milliseconds(50);
/// Time between two checks whether this node has to read documents from the source.
const ROLE_CHECK_INTERVAL: Span = Span::from_milliseconds(150);
/// Time between these checks while no document is known yet.
const START_CHECK_INTERVAL: Span = Span::from_milliseconds(20);

/// The routing table in force, readable from every thread.
pub(crate) type SharedTable = Arc<ArcSwapOption<RoutingTable>>;

/// State of the control thread, shared by its tasks.
pub(crate) struct Control {
    pub dispatcher: RefCell<Dispatcher>,
    pub clock: Clock,
    table: SharedTable,
    socket: PeerSocket,
    cancellations: Cancellations,
    /// Address at which other nodes reach this one.
    address: SocketAddr,
    is_fetching: Cell<bool>,
    /// Waiting requests by the lookup that they wait for.
    lookups: RefCell<BTreeMap<LookupId, async_channel::Sender<LookupResult>>>,
}

/// The dispatcher state whose changes are logged.
struct LoggedState {
    is_aggregator: bool,
    silent_zones: BTreeSet<ZoneName>,
}

impl LoggedState {
    fn log_changes(&self, after: &Self) {
        if self.is_aggregator != after.is_aggregator {
            events::aggregating(after.is_aggregator);
        }
        for zone in after.silent_zones.difference(&self.silent_zones) {
            events::zone_reachability(zone.as_str(), true);
        }
        for zone in self.silent_zones.difference(&after.silent_zones) {
            events::zone_reachability(zone.as_str(), false);
        }
    }
}

/// Applies what a response states about its back end.
fn apply_notice(
    dispatcher: &mut Dispatcher,
    source: NoticeSource<'_>,
    notice: Notice,
    now: Timestamp,
) {
    if notice.is_leaving
        && let Some(instance) = dispatcher.record_leaving(source)
    {
        events::back_end_leaving(&instance);
    }
    if let Some(backoff) = notice.backoff {
        dispatcher.record_backoff(source, backoff, now);
    }
    match notice.limit {
        StatedLimit::Stated(limit) => dispatcher.record_limit(source, Some(limit), now),
        StatedLimit::Lifted => dispatcher.record_limit(source, None, now),
        StatedLimit::NotStated | StatedLimit::Malformed => {}
    }
}

impl Control {
    pub fn new(
        dispatcher: Dispatcher,
        clock: Clock,
        table: SharedTable,
        socket: PeerSocket,
        cancellations: Cancellations,
        address: SocketAddr,
    ) -> Self {
        Self {
            dispatcher: RefCell::new(dispatcher),
            clock,
            table,
            socket,
            cancellations,
            address,
            is_fetching: Cell::new(false),
            lookups: RefCell::default(),
        }
    }

    /// Runs commands until all their senders are dropped.
    pub async fn run_commands(&self, commands: async_channel::Receiver<Command>) {
        while let Ok(command) = commands.recv().await {
            self.run_command(command);
        }
    }

    fn run_command(&self, command: Command) {
        let now = self.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        match command {
            Command::Dispatch {
                demand,
                is_first,
                reply,
            } => {
                if is_first {
                    dispatcher.count_request(&demand.pool, now);
                }
                let decision = dispatcher.dispatch(&demand, now);
                if let Err(unsent) = reply.try_send(decision) {
                    release_unclaimed(unsent.into_inner(), |lease| {
                        dispatcher.release(lease, Outcome::NotSent, now);
                    });
                }
            }
            Command::FirstEvent(lease) => dispatcher.record_first_event(lease, now),
            Command::Writing(lease) => {
                let changes = dispatcher.record_writing(lease, now);
                self.record_quarantine_changes(&changes, now);
            }
            Command::Notice(lease, notice) => {
                apply_notice(&mut dispatcher, lease.into(), notice, now);
            }
            Command::Release(lease, outcome, pacing) => {
                dispatcher.record_pacing(lease, &pacing);
                let released = dispatcher.release(lease, outcome, now);
                for (instance, change) in &released.health_changes {
                    events::back_end_health(instance, *change, outcome);
                }
                self.record_quarantine_changes(&released.quarantine_changes, now);
            }
            Command::Crash(run) => {
                self.record_quarantine_changes(&dispatcher.record_crash(&run, now), now);
                let announcement = dispatcher.crash_announcement(now);
                drop(dispatcher);
                if let Some(announcement) = announcement {
                    self.send(&announcement);
                }
            }
            Command::RoundTrip(instance, round_trip) => {
                dispatcher.record_round_trip(&instance, round_trip);
            }
            Command::IsPresumedDown { instance, reply } => {
                let _ = reply.try_send(dispatcher.is_presumed_down(&instance, now));
            }
            Command::AcceptsWork { instance, reply } => {
                let _ = reply.try_send(dispatcher.accepts_work(&instance));
            }
            Command::TunnelPeers { instance, reply } => {
                let _ = reply.try_send(dispatcher.tunnel_peers(&instance));
            }
            Command::TunnelTarget {
                source,
                instance,
                reply,
            } => {
                let _ = reply.try_send(dispatcher.tunnel_target(source, &instance));
            }
            Command::RecordStream(stream, version) => {
                let record = dispatcher.record_stream(stream, version, now);
                drop(dispatcher);
                self.send_stream_message(&record);
            }
            Command::FindStream { streams, reply } => {
                let lookup = dispatcher.find_stream(&streams, now);
                drop(dispatcher);
                self.start_lookup(lookup, reply);
            }
            Command::FewServed(report) => {
                events::few_requests_served(&report, &dispatcher.snapshot(now));
            }
            Command::Stop => dispatcher.stop(),
        }
    }

    /// Ticks the dispatcher; never returns.
    pub async fn run_ticks(self: &Rc<Self>, follower: &Rc<CacheFollower>) {
        let mut previous = self.clock.now();
        let mut count: u64 = 0;
        self.tick(previous);
        loop {
            smol::Timer::after(eiderferry_clock::duration(TICK)).await;
            let now = self.clock.now();
            let gap = now.since(previous);
            previous = now;
            if gap.0 > TICK.0 + PAUSE_THRESHOLD.0 {
                events::paused(gap);
                self.dispatcher.borrow_mut().resume_after_pause(now);
            }
            self.tick(now);
            follower.start_calls(self);
            count += 1;
            if count.is_multiple_of(GAUGE_INTERVAL_TICKS) {
                metrics::update_dispatcher_metrics(&self.dispatcher.borrow().snapshot(now));
            }
        }
    }

    fn tick(&self, now: Timestamp) {
        let before = self.logged_state();
        let output = self.dispatcher.borrow_mut().tick(now);
        before.log_changes(&self.logged_state());
        for change in &output.peer_changes {
            events::peer(change);
        }
        for change in &output.warmup_changes {
            events::warmup_changed(change);
        }
        for change in &output.limit_changes {
            events::rate_limit(change);
        }
        for change in &output.split_changes {
            events::pool_split(change);
        }
        self.record_quarantine_changes(&output.quarantine_changes, now);
        for expired in &output.expired_leases {
            events::lease_expired(expired);
        }
        self.handle_stream_output(&output.streams);
        for envelope in &output.messages {
            self.send(envelope);
        }
    }

    /// Applies what the response to a cache call states about its engine.
    pub fn apply_call_notice(&self, call: &DueCacheCall, notice: Notice, now: Timestamp) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        apply_notice(&mut dispatcher, call.into(), notice, now);
    }

    fn record_quarantine_changes(&self, changes: &QuarantineChanges, now: Timestamp) {
        for change in &changes.requests {
            events::quarantine(change);
        }
        for change in &changes.parts {
            events::part_quarantine(change);
        }
        self.cancellations.record(changes, now);
    }

    fn send(&self, envelope: &Envelope) {
        let dispatcher = self.dispatcher.borrow();
        let distance = |address| dispatcher.distance_to(address);
        self.socket.send(envelope, distance);
    }

    fn logged_state(&self) -> LoggedState {
        let dispatcher = self.dispatcher.borrow();
        LoggedState {
            is_aggregator: dispatcher.is_aggregator(),
            silent_zones: dispatcher.silent_zones().clone(),
        }
    }

    /// Receives messages from other nodes; never returns.
    pub async fn run_messages(self: &Rc<Self>, executor: &smol::LocalExecutor<'static>) {
        loop {
            let Some((from, message)) = self.socket.receive().await else {
                continue;
            };
            match message {
                PeerMessage::Gossip(message) => self.handle_gossip(from, &message, executor),
                PeerMessage::Stream(message) => {
                    let now = self.clock.now();
                    let mut dispatcher = self.dispatcher.borrow_mut();
                    let output = dispatcher.receive_stream_message(from, message, now);
                    drop(dispatcher);
                    self.handle_stream_output(&output);
                }
            }
        }
    }

    fn handle_gossip(
        self: &Rc<Self>,
        from: SocketAddr,
        message: &Gossip,
        executor: &smol::LocalExecutor<'static>,
    ) {
        let now = self.clock.now();
        let received = self.dispatcher.borrow_mut().receive(from, message, now);
        if let Some(change) = &received.change {
            events::peer(change);
        }
        self.handle_received_changes(&received.changes);
        self.record_quarantine_changes(&received.quarantine_changes, now);
        if received.wants_reply {
            let message = self.dispatcher.borrow_mut().reply(from, now);
            self.send(&Envelope {
                kind: MessageKind::Reply,
                to: vec![from],
                message,
            });
        }
        if received.has_newer_documents {
            self.fetch_if_needed(Some(from), executor);
        }
    }

    /// Starts fetches that were delayed at first, because an announcement or a nearer node may have
    /// supplied the documents meanwhile; never returns.
    pub async fn run_fetches(self: &Rc<Self>, executor: &smol::LocalExecutor<'static>) {
        loop {
            smol::Timer::after(eiderferry_clock::duration(FETCH_CHECK_INTERVAL)).await;
            self.fetch_if_needed(None, executor);
        }
    }

    fn fetch_if_needed(
        self: &Rc<Self>,
        announced_by: Option<SocketAddr>,
        executor: &smol::LocalExecutor<'static>,
    ) {
        if self.is_fetching.get() {
            return;
        }
        let now = self.clock.now();
        let Some(source) = self
            .dispatcher
            .borrow_mut()
            .document_source(announced_by, now)
        else {
            return;
        };
        self.is_fetching.set(true);
        let control = Rc::clone(self);
        executor
            .spawn(async move { control.fetch(source).await })
            .detach();
    }

    async fn fetch(&self, from: SocketAddr) {
        let known = self.version_vector();
        let result = crate::documents::fetch(from, &known, self.address, |next| {
            self.is_no_farther(next, from)
        })
        .await;
        if let Err(FetchError::Busy(_)) = &result {
            let jitter = rand::random::<f64>();
            let pause = BUSY_RETRY_DELAY + BUSY_RETRY_DELAY.scaled(jitter);
            smol::Timer::after(eiderferry_clock::duration(pause)).await;
        }
        self.is_fetching.set(false);
        if let Err(error) = &result {
            let is_busy = matches!(error, FetchError::Busy(_));
            let now = self.clock.now();
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.record_failed_fetch(from, is_busy, now);
        }
        match result {
            Ok(package) => {
                let received_at = self.clock.now();
                let age = package.confirmed_ms.map(Span::from_milliseconds);
                self.apply_changes(package.changes, "peer");
                let confirmed_at = age.map(|age| received_at - age);
                self.record_confirmation(
                    &package.version_vector,
                    confirmed_at.unwrap_or_default(),
                    false,
                );
            }
            Err(FetchError::Busy(peer)) => log::debug!("documents not fetched: {peer} is busy"),
            Err(error) => events::fetch_failed(from, &error),
        }
    }

    /// Whether an address is no farther than another: the path to it crosses no zone or region
    /// boundary that the path to the other doesn't.
    fn is_no_farther(&self, address: SocketAddr, other: SocketAddr) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.distance_to(address) <= dispatcher.distance_to(other)
    }

    /// Applies changes, and publishes the new routing table if any of them was new.
    fn apply_changes(&self, changes: Vec<Change>, source: &'static str) {
        let mut has_changes = false;
        for change in changes {
            let now = self.clock.now();
            let received = self.dispatcher.borrow_mut().apply(change, now);
            has_changes |= received.outcome == ApplyOutcome::Applied;
            events::document_received(&received, source);
        }
        if !has_changes {
            return;
        }
        let table = self.dispatcher.borrow().document_store().table().cloned();
        self.table.store(table);
    }

    /// Version vector of the changes that this node knows.
    fn version_vector(&self) -> VersionVector {
        self.dispatcher
            .borrow()
            .document_store()
            .version_vector()
            .clone()
    }

    fn record_confirmation(&self, known: &VersionVector, at: Timestamp, is_from_source: bool) {
        let before = self.version_vector();
        self.dispatcher.borrow_mut().record_confirmation(known, at);
        if !before.includes(known) {
            self.announce(is_from_source);
        }
    }

    /// Logs changes that came with a message, and announces them if any was applied.
    fn handle_received_changes(&self, changes: &[ReceivedChange]) {
        for change in changes {
            events::document_received(change, "peer");
        }
        if changes
            .iter()
            .any(|change| change.outcome == ApplyOutcome::Applied)
        {
            self.announce(false);
        }
    }

    /// Announces newer documents to peers. `is_from_source` says that this node read them from
    /// their source, not from a peer.
    fn announce(&self, is_from_source: bool) {
        let now = self.clock.now();
        let announcement = self.dispatcher.borrow_mut().announce(is_from_source, now);
        self.send(&announcement);
    }
}
