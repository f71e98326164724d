//! Requests as forwarded to back ends and responses as returned to callers, without hop-by-hop
//! headers.

use crate::header_names::HeaderNames;
use crate::local_reply::LocalReply;
use crate::memory_budget::{MemoryFull, MemoryKind};
use crate::request_memory::RequestMemory;
use crate::response_body::RelayBody;
use bytes::{Bytes, BytesMut};
use eiderferry_dispatch::{Grant, Outcome};
use eiderferry_types::Span;
use http::header::{self, HeaderName, HeaderValue};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];
/// Maximum body of a response that is not a stream; a longer one counts as incomplete.
const MAXIMUM_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// A caller's request as every attempt forwards it.
pub(crate) struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// What one attempt adds to the forwarded request.
pub(crate) struct AttemptContext<'a> {
    pub grant: &'a Grant,
    pub remaining: Span,
    pub priority: u8,
    pub tenant: Option<&'a str>,
    pub last_event_id: Option<u64>,
    /// Replica from which the run is continued.
    pub resume_from: Option<String>,
}

impl ForwardedRequest {
    /// Builds the request of one attempt.
    pub fn for_attempt(
        &self,
        header_names: &HeaderNames,
        context: &AttemptContext<'_>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let mut set = |name: &HeaderName, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name.clone(), value);
            }
        };
        set(
            &header_names.remaining_ms,
            &context.remaining.milliseconds().max(1).to_string(),
        );
        set(
            &header_names.expected_instance,
            context.grant.instance.as_str(),
        );
        set(&header_names.priority, &context.priority.to_string());
        if let Some(tenant) = context.tenant {
            set(&header_names.tenant, tenant);
        }
        if let Some(address) = context.grant.copy_from {
            set(&header_names.copy_from, &address.to_string());
        }
        if let Some(replica) = &context.grant.replica {
            set(&header_names.replica_at, &replica.address.to_string());
        }
        if let Some(replica) = &context.resume_from {
            set(&header_names.resume_from, replica);
        }
        if let Some(id) = context.last_event_id {
            set(&header_names.last_event_id, &id.to_string());
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// The request's id, or an empty string.
pub(crate) fn request_id(parts: &Parts, header_names: &HeaderNames) -> String {
    let value = parts.headers.get(&header_names.request_id);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// The part of a URI that back ends see.
pub(crate) fn path_and_query(uri: Uri) -> Uri {
    uri.into_parts()
        .path_and_query
        .map_or_else(Uri::default, Uri::from)
}

/// Reads the whole body of a request, up to `limit` bytes.
pub(crate) async fn read_body(
    mut body: Incoming,
    limit: u64,
    memory: &RequestMemory,
) -> Result<Bytes, LocalReply> {
    let declared = body.size_hint().lower();
    if declared > limit {
        return Err(LocalReply::BodyTooLarge);
    }
    let mut reservation = memory.empty(MemoryKind::Body);
    let memory_full = |bytes: u64| {
        let retry_after = memory.shared.budget.retry_after(bytes);
        move |MemoryFull| LocalReply::NoMemory(retry_after)
    };
    // Reserved before reading, so that a body that does not fit is not read.
    reservation.grow(declared).map_err(memory_full(declared))?;
    let mut collected = BytesMut::with_capacity(declared as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| LocalReply::IncompleteBody)?;
        if let Ok(data) = frame.into_data() {
            collected.extend_from_slice(&data);
        }
        if collected.len() as u64 > limit {
            return Err(LocalReply::BodyTooLarge);
        }
        let unreserved = (collected.len() as u64).saturating_sub(reservation.bytes());
        reservation
            .grow(unreserved)
            .map_err(memory_full(unreserved))?;
    }
    Ok(reservation.into_bytes(collected))
}

/// Headers forwarded to back ends: without hop-by-hop headers and without those that only this node
/// sets.
pub(crate) fn forwarded_headers(headers: &HeaderMap, header_names: &HeaderNames) -> HeaderMap {
    let retain = |name: &HeaderName| header_names.describes_request(name);
    let mut forwarded = without_connection_headers(headers, retain);
    forwarded.remove(header::AUTHORIZATION);
    forwarded.remove(header::CONTENT_LENGTH);
    for name in header_names.set_by_node() {
        forwarded.remove(name);
    }
    forwarded
}

/// Copies headers without the hop-by-hop ones. Of the headers that `Connection` lists, those for
/// which `retain` returns true are kept.
fn without_connection_headers(
    headers: &HeaderMap,
    retain: impl Fn(&HeaderName) -> bool,
) -> HeaderMap {
    let mut copy = headers.clone();
    let listed = headers.get_all(header::CONNECTION).iter();
    let listed = listed.filter_map(|value| value.to_str().ok());
    let names = listed.flat_map(|value| value.split(','));
    let names = names.filter_map(|name| name.trim().parse::<HeaderName>().ok());
    for name in names.filter(|name| !retain(name)) {
        copy.remove(name);
    }
    for name in &CONNECTION_HEADERS {
        copy.remove(name);
    }
    copy
}

/// Whether a response is an event stream.
pub(crate) fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    content_type.is_some_and(|content_type| content_type.as_bytes().starts_with(EVENT_STREAM_TYPE))
}

/// A response to the caller with the status and headers of the back end's response.
pub(crate) fn response_for_caller(
    parts: &http::response::Parts,
    body: RelayBody,
) -> Response<RelayBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = without_connection_headers(&parts.headers, |_| false);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// Reads the whole body of a response.
pub(crate) async fn read_response(
    mut body: Incoming,
    memory: &RequestMemory,
) -> Result<Bytes, Outcome> {
    let mut reservation = memory.empty(MemoryKind::Response);
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Outcome::IncompleteResponse)?;
        if let Ok(data) = frame.into_data() {
            collected.extend_from_slice(&data);
        }
        if collected.len() > MAXIMUM_RESPONSE_BYTES {
            return Err(Outcome::IncompleteResponse);
        }
        let unreserved = collected.len() as u64 - reservation.bytes();
        if memory.grow_response(&mut reservation, unreserved).is_err() {
            memory.record_ended(reservation.bytes(), "answer");
            return Err(Outcome::IncompleteResponse);
        }
    }
    Ok(reservation.into_bytes(collected))
}
