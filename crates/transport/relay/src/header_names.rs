//! Names of the headers that callers, this node and back ends exchange. An adapter supplies them.

use http::HeaderName;

/// Names of the headers that the relay reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request; echoed by back ends.
    pub request_id: HeaderName,
    /// Remaining time in milliseconds, from a caller or to a back end.
    pub remaining_ms: HeaderName,
    /// Back-end instance that the request is meant for.
    pub expected_instance: HeaderName,
    /// Tenant, sent to back ends.
    pub tenant: HeaderName,
    /// Priority level, sent to back ends; 0 is the highest priority.
    pub priority: HeaderName,
    /// Set by a back end that has not run the request.
    pub not_run: HeaderName,
    /// Set by a back end that is leaving, in any of its responses.
    pub leaving: HeaderName,
    /// Requests per second that a back end accepts from all nodes together; in each of its
    /// responses while it has such a limit.
    pub rate_limit: HeaderName,
    /// Prompt tokens and maximum output tokens, separated by a comma.
    pub token_usage: HeaderName,
    /// Parts of the prompt as `ID:TOKENS`, separated by commas, with ids in hex.
    pub prompt_parts: HeaderName,
    /// The caller's estimate of the output tokens.
    pub length_hint: HeaderName,
    /// Engine from which the back end copies the prompt parts that it has not cached.
    pub copy_from: HeaderName,
    /// Engine that is to hold a replica of the run.
    pub replica_at: HeaderName,
    /// Replica from which a run is continued: `ADDRESS/REQUEST`.
    pub resume_from: HeaderName,
    /// Event after which a stream is resumed.
    pub last_event_id: HeaderName,
    /// Id of the request that brought the first event of the stream to resume, from a caller.
    pub first_request: HeaderName,
    /// Model that a request asks for.
    pub model: HeaderName,
    /// Further headers with which a router controls back ends. A caller's copy is never forwarded:
    /// a back end would take it for this node's.
    pub control_headers: Vec<HeaderName>,
}

impl HeaderNames {
    /// Headers that only this node sets on a request to a back end.
    pub(crate) fn set_by_node(&self) -> impl Iterator<Item = &HeaderName> {
        let names = [
            &self.tenant,
            &self.remaining_ms,
            &self.expected_instance,
            &self.priority,
            &self.copy_from,
            &self.replica_at,
            &self.resume_from,
        ];
        names.into_iter().chain(&self.control_headers)
    }

    /// Whether a header describes the request itself, and is forwarded even if the caller lists it
    /// in `Connection`.
    pub(crate) fn describes_request(&self, name: &HeaderName) -> bool {
        let names = [
            &self.request_id,
            &self.model,
            &self.token_usage,
            &self.prompt_parts,
            &self.length_hint,
            &self.last_event_id,
            &self.first_request,
        ];
        names.contains(&name)
    }
}
