//! Authenticates callers, and parses the headers that select class, deadline and idempotency key.

use crate::Clock;
use crate::error_response::BadRequest;
use eiderferry_config::{Class, Configuration, Pool, Tenant};
use eiderferry_node::NotRepeatable;
use eiderferry_once::KeyName;
use eiderferry_types::{Incarnation, NodeId, RequestDigest, Span, TenantId, Timestamp};
use std::str::FromStr;
use trillium::{Conn, Headers, KnownHeaderName};
use xxhash_rust::xxh3::xxh3_128;

/// Request header with the name of the request's class.
pub(crate) const CLASS_HEADER: &str = "eiderferry-class";
/// Request header with the time until the first token is due, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "eiderferry-deadline-ms";
/// Request header that states whether the request must not be repeated: `true` or `false`.
pub(crate) const NOT_REPEATABLE_HEADER: &str = "eiderferry-not-repeatable";
/// Request header with a ticket from `POST /v1/tickets`.
pub(crate) const TICKET_HEADER: &str = "eiderferry-ticket";
/// Request header with an idempotency key chosen by the caller.
pub(crate) const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Longest idempotency key accepted, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Longest deadline accepted, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Tenant, class, deadline and idempotency key of a request, as given by its headers.
pub(crate) struct RequestParameters<'a> {
    pub tenant: &'a Tenant,
    pub class: &'a Class,
    pub first_token_due: Timestamp,
    pub key: Option<KeyName>,
    pub marked_not_repeatable: Option<bool>,
}

impl<'a> RequestParameters<'a> {
    /// Authenticates the caller and parses the headers of a request.
    pub fn from_headers(
        headers: &Headers,
        configuration: &'a Configuration,
        clock: Clock,
    ) -> Result<Self, BadRequest> {
        let tenant = authenticate(headers, configuration)?;
        let class = class_for(headers, configuration, tenant)?;
        let deadline = match headers.get_str(DEADLINE_HEADER) {
            None => class.first_token_target(),
            Some(text) => parse_deadline(text)?,
        };
        Ok(Self {
            tenant,
            class,
            first_token_due: clock.now() + deadline,
            key: idempotency_key(headers, tenant.id)?,
            marked_not_repeatable: parse_not_repeatable(headers.get_str(NOT_REPEATABLE_HEADER))?,
        })
    }

    /// Returns the restriction on repeating the request, or `None` if it may be repeated freely. A
    /// call that the pool lists as not repeatable stays so even if the header says `false`.
    pub fn not_repeatable(&self, pool_forbids_repeats: bool) -> Option<NotRepeatable> {
        let is_forbidden = pool_forbids_repeats || self.marked_not_repeatable == Some(true);
        match &self.key {
            Some(key) => Some(NotRepeatable::WithKey(key.clone())),
            None => is_forbidden.then_some(NotRepeatable::WithoutKey),
        }
    }

    /// Digest of method, path with query, tenant and body; equal whenever the same request is sent.
    pub fn digest(&self, conn: &Conn, body: &[u8]) -> RequestDigest {
        let method = conn.method();
        RequestDigest::of([
            method.as_str().as_bytes(),
            conn.path_and_query().as_bytes(),
            self.tenant.name.as_bytes(),
            body,
        ])
    }

    /// Fails if the tenant may not use the pool.
    pub fn check_pool(&self, pool: &Pool) -> Result<(), BadRequest> {
        if self.tenant.pools.contains(&pool.name) {
            return Ok(());
        }
        let name = pool.model.as_ref().unwrap_or(&pool.name);
        Err(BadRequest::PoolNotAllowed(name.clone()))
    }
}

/// Returns the tenant that holds the bearer key.
pub(crate) fn authenticate<'a>(
    headers: &Headers,
    configuration: &'a Configuration,
) -> Result<&'a Tenant, BadRequest> {
    headers
        .get_str(KnownHeaderName::Authorization)
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(|key| configuration.tenant_for_key(key.trim()))
        .ok_or(BadRequest::Unauthorized)
}

fn class_for<'a>(
    headers: &Headers,
    configuration: &'a Configuration,
    tenant: &Tenant,
) -> Result<&'a Class, BadRequest> {
    let default_class = tenant.classes.first().map_or("", String::as_str);
    let name = headers.get_str(CLASS_HEADER).unwrap_or(default_class);
    let is_allowed = tenant.classes.iter().any(|class| class == name);
    let class = configuration.class_named(name).filter(|_| is_allowed);
    class.ok_or_else(|| BadRequest::ClassNotAllowed(name.to_owned(), tenant.classes.join(", ")))
}

fn parse_deadline(text: &str) -> Result<Span, BadRequest> {
    let deadline_ms = text
        .parse()
        .ok()
        .filter(|value| (1..=MAX_DEADLINE_MS).contains(value));
    deadline_ms
        .map(Span::from_milliseconds)
        .ok_or(BadRequest::InvalidHeader(
            DEADLINE_HEADER,
            "1 to 600000 milliseconds",
        ))
}

fn parse_not_repeatable(text: Option<&str>) -> Result<Option<bool>, BadRequest> {
    match text {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(BadRequest::InvalidHeader(
            NOT_REPEATABLE_HEADER,
            "true or false",
        )),
    }
}

/// Returns the key from the ticket header or, without one, from the idempotency header. A caller's
/// key is hashed together with its tenant, so that equal keys of two tenants differ.
fn idempotency_key(headers: &Headers, tenant: TenantId) -> Result<Option<KeyName>, BadRequest> {
    if let Some(text) = headers.get_str(TICKET_HEADER) {
        return parse_ticket(text)
            .map(Some)
            .ok_or(BadRequest::InvalidHeader(
                TICKET_HEADER,
                "a ticket from POST /v1/tickets",
            ));
    }
    let Some(text) = headers.get_str(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(BadRequest::InvalidHeader(
            IDEMPOTENCY_HEADER,
            "1 to 256 bytes",
        ));
    }
    let hash = xxh3_128(format!("{tenant}\n{text}").as_bytes());
    Ok(Some(KeyName::Caller((hash >> 64) as u64, hash as u64)))
}

/// Formats a ticket as `NODE-INCARNATION-NUMBER`, with the incarnation in hexadecimal.
pub(crate) fn format_ticket(ticket: &KeyName) -> String {
    match ticket {
        KeyName::Ticket {
            node,
            incarnation,
            number,
        } => {
            format!("{node}-{:x}-{number}", incarnation.0)
        }
        KeyName::Caller(high, low) => format!("{high:x}-{low:x}"),
    }
}

fn parse_ticket(text: &str) -> Option<KeyName> {
    let mut parts = text.splitn(3, '-');
    let node = u32::from_str(parts.next()?).ok()?;
    let incarnation = u64::from_str_radix(parts.next()?, 16).ok()?;
    let number = u64::from_str(parts.next()?).ok()?;
    Some(KeyName::Ticket {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        number,
    })
}
