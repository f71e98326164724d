//! Event streams, forwarded as they arrive and failed over to another back end when they break.

use crate::event_stream::{EventSplitter, MAX_EVENT_BYTES};
use crate::exchange::{AttemptEnd, Exchange};
use crate::forwarding::response_for_caller;
use crate::lease::Lease;
use crate::memory_budget::{MemoryKind, MemoryReservation};
use crate::response_body::{BrokenResponse, RelayBody};
use crate::upstream::Connection;
use crate::{events, metrics};
use bytes::Bytes;
use eiderferry_dispatch::{Outcome, SOUND_WRITING_TIME, StreamPacing};
use eiderferry_types::Span;
use futures_lite::FutureExt;
use futures_lite::stream::unfold;
use http::response::Parts;
use http::{HeaderMap, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Bytes of an incomplete event that are not counted against the memory budget.
const UNCOUNTED_EVENT_BYTES: usize = 8_192;

/// Next item of a stream.
enum StreamItem {
    Events(Bytes),
    End,
    Broken(Outcome),
    TimedOut,
}

/// The source of a stream: one back end's response.
pub(crate) struct StreamSource {
    pub lease: Lease,
    pub connection: Connection,
    pub headers: HeaderMap,
    pub body: Incoming,
    pub pacing: StreamPacing,
    /// Whether the source has been writing for so long that its prompt can't crash it.
    pub is_proven: bool,
}

/// A stream that is being forwarded to the caller.
pub(crate) struct StreamRelay {
    pub exchange: Exchange,
    pub source: Option<StreamSource>,
    pub splitter: EventSplitter,
    /// Memory for the incomplete event in the splitter.
    pub partial_event: MemoryReservation,
    pub first_events: Option<Bytes>,
}

/// Accounts for this many bytes of an incomplete event. Returns false if it is too long or the
/// memory budget has no room for it.
fn reserve_partial_event(reservation: &mut MemoryReservation, bytes: usize) -> bool {
    if bytes > MAX_EVENT_BYTES {
        return false;
    }
    let counted = bytes.saturating_sub(UNCOUNTED_EVENT_BYTES) as u64;
    let reserved = reservation.bytes();
    if counted <= reserved {
        reservation.shrink(reserved - counted);
        return true;
    }
    reservation.grow(counted - reserved).is_ok()
}

impl StreamRelay {
    /// Waits for the first event, then responds with the stream.
    pub async fn start(
        exchange: Exchange,
        lease: Lease,
        response: Response<Incoming>,
        connection: Connection,
    ) -> (Option<Exchange>, AttemptEnd) {
        let (parts, body) = response.into_parts();
        let resumption = exchange.head.resumption.as_ref();
        let last_id = resumption.and_then(|resumption| resumption.last_event_id);
        let partial_event = exchange.progress.memory.empty(MemoryKind::Events);
        let mut relay = Self {
            exchange,
            source: Some(StreamSource {
                lease,
                connection,
                headers: parts.headers.clone(),
                body,
                pacing: StreamPacing::default(),
                is_proven: false,
            }),
            splitter: EventSplitter::resuming_after(last_id),
            partial_event,
            first_events: None,
        };
        let cancellations = relay.exchange.traffic.cancellations.clone();
        let digest = relay.exchange.digest;
        let shared_parts = relay.exchange.shared_parts();
        let cancellation = async {
            let until = cancellations.wait_for_quarantine(digest, &shared_parts);
            Err(until.await)
        };
        let first_item = async { Ok(relay.next_item(true).await) };
        let first_item = match first_item.or(cancellation).await {
            Ok(item) => item,
            Err(until) => {
                relay.finish_source(Outcome::Cancelled);
                relay.exchange.cancelled_until = Some(until);
                return (
                    Some(relay.exchange),
                    AttemptEnd::NoResponse(Outcome::Cancelled),
                );
            }
        };
        match first_item {
            StreamItem::Events(events) => {
                relay.record_first_event();
                if let Some(source) = &relay.source {
                    relay.exchange.bind_version(&source.lease.grant);
                }
                relay.first_events = Some(events);
                (None, AttemptEnd::Response(relay.into_response(&parts)))
            }
            StreamItem::End => {
                relay.finish_source(Outcome::Completed);
                let response = response_for_caller(&parts, RelayBody::from(Bytes::new()));
                (Some(relay.exchange), AttemptEnd::Response(response))
            }
            StreamItem::Broken(outcome) => {
                relay.finish_source(outcome);
                (Some(relay.exchange), AttemptEnd::NoResponse(outcome))
            }
            StreamItem::TimedOut => {
                relay.finish_source(Outcome::TimedOut);
                (
                    Some(relay.exchange),
                    AttemptEnd::NoResponse(Outcome::TimedOut),
                )
            }
        }
    }

    fn record_first_event(&self) {
        let exchange = &self.exchange;
        let now = exchange.traffic.clock.now();
        let elapsed = now.since(exchange.started);
        metrics::first_event(&exchange.head.route, exchange.head.rank, elapsed);
        if let Some(source) = &self.source {
            source.lease.record_first_stream_event(now);
        }
    }

    fn into_response(mut self, parts: &Parts) -> Response<RelayBody> {
        self.exchange.status = parts.status.as_u16();
        let chunks = unfold(self, |relay| relay.next());
        response_for_caller(parts, RelayBody::Stream(Box::pin(chunks)))
    }

    async fn next(mut self) -> Option<(Result<Bytes, BrokenResponse>, Self)> {
        if let Some(events) = self.first_events.take() {
            return Some((Ok(events), self));
        }
        loop {
            match self.next_item(false).await {
                StreamItem::Events(events) => {
                    self.exchange.refresh_version();
                    return Some((Ok(events), self));
                }
                StreamItem::End => {
                    self.finish_source(Outcome::Completed);
                    self.exchange.finish("whole");
                    return None;
                }
                StreamItem::TimedOut => {
                    self.finish_source(Outcome::Abandoned);
                    self.exchange.finish("timed_out");
                    return Some((Err(BrokenResponse::TimedOut), self));
                }
                StreamItem::Broken(outcome) => {
                    self.record_break(outcome).await;
                    self.finish_source(outcome);
                    if !self.fail_over().await {
                        self.exchange.finish("broken_off");
                        return Some((Err(BrokenResponse::BackEnd), self));
                    }
                }
            }
        }
    }

    /// The next complete events, or how the stream ended. Bytes that complete no new event don't
    /// extend the wait for one.
    async fn next_item(&mut self, is_first: bool) -> StreamItem {
        let mut waiting_since = self.exchange.traffic.clock.now();
        loop {
            let now = self.exchange.traffic.clock.now();
            let remaining = now.until(self.exchange.deadline);
            let waited = now.since(waiting_since);
            let event_timeout = self.response_timeout(is_first);
            let event_timeout = Span(event_timeout.0.saturating_sub(waited.0));
            if remaining == Span::ZERO {
                return StreamItem::TimedOut;
            }
            let Some(source) = &mut self.source else {
                return StreamItem::Broken(Outcome::IncompleteResponse);
            };
            let clock = self.exchange.traffic.clock;
            let timeout = async {
                clock.sleep(event_timeout.min(remaining)).await;
                None
            };
            let frame = async { Some(source.body.frame().await) };
            let frame = if event_timeout == Span::ZERO {
                None
            } else {
                frame.or(timeout).await
            };
            match frame {
                None if event_timeout < remaining => {
                    if self.should_abandon_source().await {
                        return StreamItem::Broken(Outcome::TimedOut);
                    }
                    waiting_since = clock.now();
                }
                None => return StreamItem::TimedOut,
                Some(Some(Err(_))) => return StreamItem::Broken(Outcome::IncompleteResponse),
                Some(None) if self.splitter.has_partial_event() => {
                    return StreamItem::Broken(Outcome::IncompleteResponse);
                }
                Some(None) => {
                    let (grant, headers) = (&source.lease.grant, &source.headers);
                    return if self.exchange.may_be_cut_short(grant, headers).await {
                        StreamItem::Broken(Outcome::IncompleteResponse)
                    } else {
                        StreamItem::End
                    };
                }
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let before = self.splitter.emitted_events();
                    let events = self.splitter.push(&data);
                    if events.is_empty() {
                        let bytes = self.splitter.partial_event_bytes();
                        if !reserve_partial_event(&mut self.partial_event, bytes) {
                            return StreamItem::Broken(Outcome::IncompleteResponse);
                        }
                    } else {
                        self.partial_event.shrink(self.partial_event.bytes());
                        let count = self.splitter.emitted_events() - before;
                        let now = self.exchange.traffic.clock.now();
                        source.pacing.record(count, now);
                        let first_event_at = *self.exchange.first_event_at.get_or_insert(now);
                        if !source.is_proven && now.since(first_event_at) >= SOUND_WRITING_TIME {
                            source.is_proven = true;
                            source.lease.record_writing();
                        }
                        return StreamItem::Events(events);
                    }
                }
            }
        }
    }

    /// Longest wait for the next event before the stream fails over.
    fn response_timeout(&self, is_first: bool) -> Span {
        let may_be_taken_over = !is_first && self.exchange.replica.is_some();
        if !self.exchange.may_retry_elsewhere() && !may_be_taken_over {
            return Span(u64::MAX);
        }
        let expected = self.source.as_ref().map_or(Span::ZERO, |source| {
            source.lease.grant.candidate.time_to_first_event
        });
        if is_first {
            return self.exchange.first_event_timeout(expected);
        }
        self.exchange.event_gap_timeout()
    }

    /// Whether to abandon a source that sends nothing. If its run has a replica but can't be
    /// retried otherwise, it is abandoned only when its back end is presumed down: moving a stream
    /// away from a slow engine does not make it faster.
    async fn should_abandon_source(&self) -> bool {
        if self.exchange.may_retry_elsewhere() {
            return true;
        }
        let Some(source) = &self.source else {
            return true;
        };
        let instance = source.lease.grant.instance.clone();
        self.exchange
            .traffic
            .control
            .is_presumed_down(instance)
            .await
    }

    async fn record_break(&self, outcome: Outcome) {
        let Some(source) = &self.source else {
            return;
        };
        let grant = &source.lease.grant;
        let (back_end, address) = (&grant.instance, grant.address);
        let recorded = self
            .exchange
            .record_failed_attempt(back_end, address, outcome);
        recorded.await;
    }

    fn finish_source(&mut self, outcome: Outcome) {
        let Some(source) = self.source.take() else {
            return;
        };
        metrics::attempt(outcome.as_str());
        if outcome == Outcome::Completed {
            let upstream = &self.exchange.traffic.upstream;
            upstream.return_connection(source.connection, &source.headers);
        }
        let exchange = &self.exchange;
        events::stream_paced(&exchange.head.id, &source.pacing, exchange.started);
        source.lease.release_stream(outcome, source.pacing);
    }
}
