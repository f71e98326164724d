//! Streams that break off and go on at another back end.

use crate::event_stream::EventSplitter;
use crate::events;
use crate::lease::Lease;
use crate::stream::{Source, StreamRelay};
use crate::upstream::Connection;
use eiderferry_dispatch::{Outcome, StreamPacing};
use http::{Response, StatusCode};
use hyper::body::Incoming;

impl StreamRelay {
    /// Takes the stream up at another back end.
    pub(crate) async fn resume(&mut self) -> bool {
        while self.exchange.may_try_again() {
            let Ok(lease) = self.exchange.ask().await else {
                return false;
            };
            let last_id = self.splitter.last_id();
            let sent = self.exchange.send(&lease, last_id).await;
            match sent {
                Ok((response, connection)) if response.status() == StatusCode::OK => {
                    let back_end = lease.grant.instance.as_str();
                    events::resumed(&self.exchange.head.id, back_end, last_id.unwrap_or(0));
                    self.take_source(lease, response, connection);
                    return true;
                }
                Ok(_) => lease.end(Outcome::Failed),
                Err(outcome) => lease.end(outcome),
            }
        }
        false
    }

    fn take_source(&mut self, lease: Lease, response: Response<Incoming>, connection: Connection) {
        let (parts, body) = response.into_parts();
        self.splitter = EventSplitter::after(self.splitter.last_id());
        self.source = Some(Source {
            lease,
            connection,
            headers: parts.headers,
            body,
            pacing: StreamPacing::default(),
        });
    }
}
