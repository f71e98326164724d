//! Names of the headers by which callers, this node and back ends understand each
//! other. An adapter supplies them.

use http::HeaderName;

/// Header names.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of a request; echoed by back ends.
    pub request_id: HeaderName,
    /// Milliseconds that remain to the caller, or to the back end.
    pub remaining_ms: HeaderName,
    /// Instance that the request is meant for.
    pub expected_instance: HeaderName,
    /// Tenant, as told to back ends.
    pub tenant: HeaderName,
    /// Level of urgency, as told to back ends; 0 is the most urgent.
    pub priority: HeaderName,
    /// A back end's word that it has not run the request.
    pub not_run: HeaderName,
    /// A back end's word, in any of its answers, that it is leaving.
    pub leaving: HeaderName,
    /// Requests a second that a back end takes from all nodes together, in any of its answers for
    /// as long as it has such a limit.
    pub rate_limit: HeaderName,
    /// Prompt tokens and the most tokens out, joined by a comma.
    pub token_usage: HeaderName,
    /// Parts of the prompt, `ID:TOKENS` joined by commas, identifiers in hex.
    pub prompt_parts: HeaderName,
    /// The caller's guess of how many tokens come out.
    pub length_hint: HeaderName,
    /// Engine from which a back end copies what it lacks of a prompt.
    pub copy_from: HeaderName,
    /// Engine at which a replica of the run is to be kept up.
    pub replica_at: HeaderName,
    /// Replica from which a run is continued: `ADDRESS/REQUEST`.
    pub resume_from: HeaderName,
    /// Where a stream is taken up.
    pub last_event_id: HeaderName,
    /// Model that a request asks for.
    pub model: HeaderName,
    /// Further headers by which a router commands back ends. A caller's copy never goes
    /// on: a back end would take it for this node's word.
    pub commands: Vec<HeaderName>,
}

impl HeaderNames {
    /// Headers that this node alone sets on a request to a back end.
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
        names.into_iter().chain(&self.commands)
    }

    /// Whether a header describes the request itself: a caller that lists it in
    /// `Connection` does not keep it from the back end.
    pub(crate) fn describes_request(&self, name: &HeaderName) -> bool {
        let names = [
            &self.request_id,
            &self.model,
            &self.token_usage,
            &self.prompt_parts,
            &self.length_hint,
            &self.last_event_id,
        ];
        names.contains(&name)
    }
}
