//! Parsing of a request's head: route, tenant, remaining time and prompt.

use crate::HeaderNames;
use crate::local_reply::LocalReply;
use crate::resumption::Resumption;
use eiderferry_dispatch::PromptPart;
use eiderferry_routing::{
    AllowedRegions, PartId, Route, RouteKind, RouteMatch, RoutingTable, Tenant,
};
use eiderferry_types::{RequestDigest, Span};
use http::header::{AUTHORIZATION, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderName};
use std::collections::HashSet;
use std::sync::Arc;

const BEARER_PREFIX: &str = "Bearer ";
/// Output tokens assumed when the request states neither a hint nor a maximum.
const ASSUMED_OUTPUT_TOKENS: u32 = 100;
/// Maximum prompt parts on which placement is based.
const MAXIMUM_PARTS: usize = 64;
/// Maximum shared parts of a prompt that can be found to crash back ends.
const MAXIMUM_SHARED_PART_IDS: usize = 1_024;

/// What the head of a request states.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub id: String,
    pub route: Route,
    pub tenant: Option<String>,
    pub rank: u8,
    /// Priority level at which engines admit the request; 0 is the highest priority.
    pub priority: u8,
    pub remaining: Span,
    pub allowed_regions: AllowedRegions,
    pub parts: Vec<PromptPart>,
    /// Ids of the parts that other requests may share: all but the last, each once.
    pub shared_part_ids: Arc<[u64]>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// The stream that the caller asks to resume, if it does.
    pub resumption: Option<Resumption>,
}

impl RequestHead {
    /// Parses a head against the routing table in force.
    pub fn read(
        parts: &Parts,
        table: &RoutingTable,
        header_names: &HeaderNames,
    ) -> Result<Self, LocalReply> {
        let headers = &parts.headers;
        let route = find_route(parts, table)?;
        let tenant = find_tenant(headers, table, route)?;
        let id = header_text(headers, &header_names.request_id)
            .filter(|id| !id.is_empty())
            .ok_or(LocalReply::BadHeader("request_id_missing"))?;
        let remaining = remaining_time(headers, header_names, route)?;
        let usage = header_text(headers, &header_names.token_usage).unwrap_or_default();
        let (prompt_tokens, maximum_output) = token_usage(usage);
        let length_hint =
            header_text(headers, &header_names.length_hint).and_then(|hint| hint.parse().ok());
        let rank = tenant.and_then(|tenant| tenant.rank).unwrap_or(route.rank);
        let prompt = header_text(headers, &header_names.prompt_parts).unwrap_or_default();
        Ok(Self {
            id: id.to_owned(),
            route: route.clone(),
            tenant: tenant.map(|tenant| tenant.name.clone()),
            rank,
            priority: table.priority(route, tenant),
            remaining,
            allowed_regions: route.regions_for(tenant),
            parts: prompt_parts(prompt),
            shared_part_ids: shared_part_ids(prompt),
            prompt_tokens,
            output_tokens: length_hint
                .or(maximum_output)
                .unwrap_or(ASSUMED_OUTPUT_TOKENS),
            resumption: resumption(headers, header_names, route)?,
        })
    }
}

impl RequestHead {
    /// Digest of the request's content: method, host, path and query, caller, and body. Its id and
    /// the time that its caller waits are not part of it.
    pub fn digest(&self, parts: &Parts, body: &[u8]) -> RequestDigest {
        let target = parts
            .uri
            .path_and_query()
            .map_or("", |target| target.as_str());
        let caller = self.tenant.as_deref().unwrap_or_default();
        RequestDigest::of([
            parts.method.as_str().as_bytes(),
            self.route.host.as_bytes(),
            target.as_bytes(),
            caller.as_bytes(),
            body,
        ])
    }
}

/// Length of a head in bytes, without optional white space.
pub(crate) fn head_bytes(parts: &Parts) -> usize {
    const REQUEST_LINE_SEPARATORS: usize = "  HTTP/1.1\r\n".len();
    const LINE_SEPARATORS: usize = ":\r\n".len();
    const END: usize = "\r\n".len();
    let target = parts.uri.path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let lines = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_SEPARATORS);
    let request_line = parts.method.as_str().len() + target + REQUEST_LINE_SEPARATORS;
    request_line + lines.sum::<usize>() + END
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn find_route<'a>(parts: &Parts, table: &'a RoutingTable) -> Result<&'a Route, LocalReply> {
    let host = header_text(&parts.headers, &HOST).unwrap_or_default();
    match table.route(host, parts.uri.path()) {
        RouteMatch::Found(route) => Ok(route),
        RouteMatch::NoRoute => Err(LocalReply::NoRoute),
    }
}

fn find_tenant<'a>(
    headers: &HeaderMap,
    table: &'a RoutingTable,
    route: &Route,
) -> Result<Option<&'a Tenant>, LocalReply> {
    let key =
        header_text(headers, &AUTHORIZATION).and_then(|value| value.strip_prefix(BEARER_PREFIX));
    let tenant = key.and_then(|key| table.tenant(key.trim()));
    let needs_key = !route.is_public && !table.document().tenants.is_empty();
    if needs_key && tenant.is_none() {
        return Err(LocalReply::UnknownKey);
    }
    Ok(tenant)
}

fn remaining_time(
    headers: &HeaderMap,
    header_names: &HeaderNames,
    route: &Route,
) -> Result<Span, LocalReply> {
    let Some(value) = header_text(headers, &header_names.remaining_ms) else {
        return Ok(route.timeout);
    };
    let milliseconds: f64 = value
        .parse()
        .map_err(|_| LocalReply::BadHeader("remaining_time_unreadable"))?;
    Ok(Span::from_seconds(milliseconds / 1_000.0).min(route.timeout))
}

/// The stream that a request asks to resume. A request that names neither a stream nor an event
/// starts a new one.
fn resumption(
    headers: &HeaderMap,
    header_names: &HeaderNames,
    route: &Route,
) -> Result<Option<Resumption>, LocalReply> {
    if route.kind != RouteKind::Streaming {
        return Ok(None);
    }
    let last_event_id = last_event_id(headers, header_names)?;
    let names_stream = headers.contains_key(&header_names.first_request);
    if !names_stream && last_event_id.unwrap_or(0) == 0 {
        return Ok(None);
    }
    let mut values = headers.get_all(&header_names.first_request).iter();
    let only_value = values.next().filter(|_| values.next().is_none());
    let first_request = only_value.and_then(|value| value.to_str().ok());
    let first_request = first_request.map(str::trim).filter(|id| !id.is_empty());
    Ok(Some(Resumption {
        first_request: first_request.map(str::to_owned),
        last_event_id,
    }))
}

fn last_event_id(
    headers: &HeaderMap,
    header_names: &HeaderNames,
) -> Result<Option<u64>, LocalReply> {
    let unreadable = LocalReply::BadHeader("last_event_id_unreadable");
    let mut values = headers.get_all(&header_names.last_event_id).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(unreadable);
    }
    let text = value.to_str().map_err(|_| unreadable.clone())?.trim();
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some).map_err(|_| unreadable)
}

fn token_usage(value: &str) -> (u32, Option<u32>) {
    let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
    let prompt = numbers.next().flatten().unwrap_or(0);
    (prompt, numbers.next().flatten())
}

fn prompt_parts(value: &str) -> Vec<PromptPart> {
    let parts = value.split(',').take(MAXIMUM_PARTS);
    parts.filter_map(prompt_part).collect()
}

/// Ids of the shared parts in a list, also of those whose length can't be parsed. The last entry of
/// the list belongs to its request alone.
fn shared_part_ids(value: &str) -> Arc<[u64]> {
    let Some((shared, _own)) = value.trim_end_matches([',', ' ']).rsplit_once(',') else {
        return Arc::default();
    };
    let mut known = HashSet::new();
    let ids = shared.split(',').map(str::trim);
    let ids = ids.filter(|text| !text.is_empty()).map(part_id);
    let distinct = ids.filter(|id| known.insert(*id));
    distinct.take(MAXIMUM_SHARED_PART_IDS).collect()
}

/// The id of a list entry. One that is not a hexadecimal number of 64 bits is identified by the
/// digest of its text.
fn part_id(entry: &str) -> u64 {
    let text = entry.split_once(':').map_or(entry, |(id, _)| id);
    let number = u64::from_str_radix(text, 16);
    number.unwrap_or_else(|_| RequestDigest::of([text.as_bytes()]).0)
}

fn prompt_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart {
        id: PartId(u64::from_str_radix(id, 16).ok()?),
        tokens: tokens.parse().ok()?,
    })
}
