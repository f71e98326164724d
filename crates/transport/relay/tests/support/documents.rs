//! Configuration of the relays under test: header names, routing table, back ends.

use super::{API_KEY, HOST};
use eiderferry_dispatch::{
    CacheEvent, CacheEvents, CacheListing, Change, DocumentContent, DocumentKey, PromptPart,
};
use eiderferry_relay::{CacheProtocol, HeaderNames, MalformedResponse};
use eiderferry_routing::{
    BackEnd, EngineSpecification, InstanceId, Limits, PartId, Pool, PoolName, ReplicaSpecification,
    Route, RouteKind, SoftwareVersion, TableDocument, Tenant, TrafficSplit, ZoneName,
};
use eiderferry_types::Span;
use http::HeaderName;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("request-id"),
        remaining_ms: HeaderName::from_static("remaining-ms"),
        expected_instance: HeaderName::from_static("expected-instance"),
        tenant: HeaderName::from_static("tenant"),
        priority: HeaderName::from_static("urgency"),
        not_run: HeaderName::from_static("not-run"),
        leaving: HeaderName::from_static("leaving"),
        rate_limit: HeaderName::from_static("rate-limit"),
        token_usage: HeaderName::from_static("token-usage"),
        prompt_parts: HeaderName::from_static("prompt-parts"),
        length_hint: HeaderName::from_static("length-hint"),
        copy_from: HeaderName::from_static("copy-from"),
        replica_at: HeaderName::from_static("replica-at"),
        resume_from: HeaderName::from_static("resume-from"),
        last_event_id: HeaderName::from_static("last-event-id"),
        first_request: HeaderName::from_static("first-request"),
        model: HeaderName::from_static("model"),
        control_headers: vec![HeaderName::from_static("reserve")],
    }
}

/// An engine that reports the contents of its cache.
pub const CACHE_REPORTING_ENGINE: EngineSpecification = EngineSpecification {
    slots: 64,
    cache_tokens: 500_000,
    tokens_per_event: 1,
    cache_event_calls: 4,
    replicas: None,
};

/// Parses lines of numbers that are separated by spaces.
fn parse_numbers(body: &[u8]) -> Result<Vec<Vec<u64>>, MalformedResponse> {
    let text = String::from_utf8_lossy(body);
    let lines = text.lines().map(|line| {
        let fields = line.split(' ').map(str::parse);
        fields
            .collect::<Result<Vec<u64>, _>>()
            .map_err(|_| MalformedResponse::new("line", line))
    });
    lines.collect()
}

/// Parses a response with cache events, see `cache_protocol`.
fn read_cache_events(body: &[u8]) -> Result<CacheEvents, MalformedResponse> {
    let lines = parse_numbers(body)?;
    let [epoch, next_event, gap_flag] = lines[0][..] else {
        return Err(MalformedResponse::new("head", "other fields"));
    };
    let events = lines[1..].iter().map(|line| CacheEvent {
        number: line[0],
        part: PartId(line[1]),
        tokens: line[2] as u32,
    });
    Ok(CacheEvents {
        epoch,
        next_event,
        has_gap: gap_flag > 0,
        events: events.collect(),
    })
}

/// Parses a listing; it has the form of a response with events.
fn read_cache_listing(body: &[u8]) -> Result<CacheListing, MalformedResponse> {
    let events = read_cache_events(body)?;
    let cached_parts = events.events.iter().map(|event| PromptPart {
        id: event.part,
        tokens: event.tokens,
    });
    Ok(CacheListing {
        epoch: events.epoch,
        next_event: events.next_event,
        parts: cached_parts.collect(),
    })
}

/// Responses consist of lines: epoch, next event number and gap flag first; then event number,
/// part and tokens of each event.
pub fn cache_protocol() -> CacheProtocol {
    CacheProtocol {
        events_path: |after| format!("/cache-events?after={after}"),
        listing_path: "/cache",
        wait_header: HeaderName::from_static("wait"),
        read_events: read_cache_events,
        read_listing: read_cache_listing,
    }
}

fn route(name: &str, kind: RouteKind, maximum_attempts: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout: Span::from_milliseconds(4_000),
        target: Span::from_milliseconds(2_000),
        event_gap_target: Some(Span::from_milliseconds(1_000)),
        rank: 2,
        traffic_splits: vec![TrafficSplit {
            pool: PoolName::from("pool"),
            weight: 1.0,
        }],
        maximum_attempts,
        is_public: false,
        is_resumable: false,
        allowed_regions: Vec::new(),
    }
}

/// Specification of engines that keep replicas of each other's running requests.
pub fn replicating_engine() -> EngineSpecification {
    EngineSpecification {
        slots: 64,
        cache_tokens: 400_000,
        tokens_per_event: 4,
        cache_event_calls: 0,
        replicas: Some(ReplicaSpecification {
            lifetime: Span::from_milliseconds(5_000),
            bytes_per_token: 163_840,
        }),
    }
}

/// Limits of the configuration in most tests.
pub const LIMITS: Limits = Limits {
    maximum_header_bytes: 16_384,
    maximum_body_bytes: 300_000,
    header_timeout: Span::from_milliseconds(3_000),
    idle_timeout: Span::from_milliseconds(15_000),
};

/// A version of the table with these limits.
pub fn table_with_limits(version: u64, limits: Limits) -> Change {
    Change {
        key: DocumentKey::Table,
        revision: version.into(),
        content: DocumentContent::Table(TableDocument {
            version,
            limits,
            ..table(None)
        }),
    }
}

fn table(engine: Option<EngineSpecification>) -> TableDocument {
    let mut resumable = route("resumable", RouteKind::Streaming, 2);
    resumable.is_resumable = true;
    let mut quick = route("quick", RouteKind::NotRepeatable, 1);
    quick.timeout = Span::from_milliseconds(400);
    let mut patient = route("patient", RouteKind::Streaming, 1);
    patient.timeout = Span::from_milliseconds(60_000);
    let mut patient_urgent = patient.clone();
    patient_urgent.name = "patient-urgent".to_owned();
    patient_urgent.path_prefix = "/patient-urgent/".to_owned();
    patient_urgent.rank = 1;
    let mut patient_read = route("patient-read", RouteKind::Repeatable, 1);
    patient_read.timeout = Span::from_milliseconds(60_000);
    let mut paced = route("paced", RouteKind::Streaming, 1);
    paced.event_gap_target = Some(Span::from_milliseconds(100));
    let pool = Pool {
        health_path: "/health".to_owned(),
        maximum_connections: 400,
        engine,
        cold_start: None,
    };
    TableDocument {
        version: 1,
        routes: vec![
            route("read", RouteKind::Repeatable, 2),
            route("write", RouteKind::NotRepeatable, 2),
            route("stream", RouteKind::Streaming, 1),
            resumable,
            quick,
            patient,
            patient_urgent,
            patient_read,
            paced,
        ],
        pools: BTreeMap::from([(PoolName::from("pool"), pool)]),
        limits: LIMITS,
        tenants: vec![Tenant {
            name: "radio".to_owned(),
            keys: vec![API_KEY.to_owned()],
            rank: None,
            allowed_regions: Vec::new(),
        }],
    }
}

/// Documents of `count` further back ends of the pool, all draining: each dispatch examines them
/// without finding an eligible one.
pub fn draining_back_ends(count: usize) -> Vec<Change> {
    let back_ends = (0..count).map(|number| {
        let instance = InstanceId::from(format!("leaving-{number}"));
        let (high, low) = (number / 250, number % 250);
        let address = format!("127.200.{high}.{low}:9").parse();
        let back_end = BackEnd {
            instance: instance.clone(),
            pool: PoolName::from("pool"),
            address: address.expect("an address"),
            zone: ZoneName::from("a"),
            slots: 64,
            draining: true,
            cold_remaining: Some(Span::ZERO),
            started_unix_ms: None,
            version: Some(SoftwareVersion::from("1")),
        };
        Change {
            key: DocumentKey::BackEnd(instance),
            revision: 2.into(),
            content: DocumentContent::BackEnd(back_end),
        }
    });
    back_ends.collect()
}

/// The complete configuration: the routing table and these back ends.
pub fn configuration_documents(
    back_ends: &[SocketAddr],
    engine: Option<EngineSpecification>,
) -> Vec<Change> {
    let listed_back_ends = back_ends.iter().enumerate().map(|(number, address)| {
        let instance = InstanceId::from(format!("i-{number}"));
        Change {
            key: DocumentKey::BackEnd(instance.clone()),
            revision: 2.into(),
            content: DocumentContent::BackEnd(BackEnd {
                instance,
                pool: PoolName::from("pool"),
                address: *address,
                zone: ZoneName::from("a"),
                slots: 64,
                draining: false,
                cold_remaining: Some(Span::ZERO),
                started_unix_ms: None,
                version: Some(SoftwareVersion::from("1")),
            }),
        }
    });
    let table = Change {
        key: DocumentKey::Table,
        revision: 1.into(),
        content: DocumentContent::Table(table(engine)),
    };
    listed_back_ends.chain([table]).collect()
}
