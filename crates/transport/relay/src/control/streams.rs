//! Lookups of the versions of streams, and the messages to other nodes about them.

use super::Control;
use eiderferry_dispatch::{LookupResult, StreamEnvelope, StreamLookup, StreamOutput};

impl Control {
    pub(super) fn start_lookup(
        &self,
        lookup: StreamLookup,
        reply: async_channel::Sender<LookupResult>,
    ) {
        match lookup {
            StreamLookup::Finished(result) => {
                // Fails if the caller has disconnected.
                let _ = reply.try_send(result);
            }
            StreamLookup::Waiting(id, queries) => {
                self.lookups.borrow_mut().insert(id, reply);
                for query in &queries {
                    self.send_stream_message(query);
                }
            }
        }
    }

    pub(super) fn handle_stream_output(&self, output: &StreamOutput) {
        for message in &output.messages {
            self.send_stream_message(message);
        }
        for finished in &output.finished_lookups {
            let reply = self.lookups.borrow_mut().remove(&finished.id);
            // Sending fails if the caller has disconnected.
            let _ = reply.map(|reply| reply.try_send(finished.result.clone()));
        }
    }

    pub(super) fn send_stream_message(&self, envelope: &StreamEnvelope) {
        let dispatcher = self.dispatcher.borrow();
        let distance = |address| dispatcher.distance_to(address);
        self.socket.send_stream_message(envelope, distance);
    }
}
