//! Routes, splits, tenants and checks of a routing table.

use eiderferry_routing::{
    Limits, PRIORITY_LEVELS, Pool, PoolName, Route, RouteKind, RouteMatch, RoutingTable,
    TableDocument, TableError, Tenant, TrafficSplit,
};
use eiderferry_types::Span;
use rstest::rstest;
use std::collections::BTreeMap;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        timeout: Span::from_milliseconds(1_000),
        target: Span::from_milliseconds(150),
        event_gap_target: None,
        rank: 2,
        traffic_splits: vec![TrafficSplit {
            pool: PoolName::from("app"),
            weight: 1.0,
        }],
        maximum_attempts: 2,
        is_public: false,
        is_resumable: false,
        allowed_regions: Vec::new(),
    }
}

fn document(routes: Vec<Route>) -> TableDocument {
    let pool = Pool {
        health_path: "/health".to_owned(),
        maximum_connections: 100,
        engine: None,
        cold_start: None,
    };
    TableDocument {
        version: 3,
        routes,
        pools: BTreeMap::from([(PoolName::from("app"), pool)]),
        limits: Limits {
            maximum_header_bytes: 16_384,
            maximum_body_bytes: 1_000_000,
            header_timeout: Span::from_milliseconds(3_000),
            idle_timeout: Span::from_milliseconds(15_000),
        },
        tenants: vec![Tenant {
            name: "radio".to_owned(),
            keys: vec!["key-one".to_owned(), "key-two".to_owned()],
            rank: Some(1),
            allowed_regions: Vec::new(),
        }],
    }
}

fn name_of(found: RouteMatch<'_>) -> Option<String> {
    match found {
        RouteMatch::Found(route) => Some(route.name.clone()),
        RouteMatch::NoRoute => None,
    }
}

#[rstest]
#[case::longest_prefix_wins("a.example", "/x/y/z", Some("long"))]
#[case::shorter_prefix("a.example", "/x/q", Some("short"))]
#[case::host_in_capitals("A.Example", "/x/q", Some("short"))]
#[case::host_with_port("a.example:8080", "/x/q", Some("short"))]
#[case::prefix_without_its_slash("a.example", "/x", None)]
#[case::other_host("b.example", "/x/q", None)]
fn the_longest_prefix_of_the_host_is_taken(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
    ];
    let table = RoutingTable::new(document(routes)).expect("valid");
    assert_eq!(name_of(table.route(host, path)).as_deref(), expected);
}

#[test]
fn a_key_leads_to_its_tenant_and_no_other_text_does() {
    let table = RoutingTable::new(document(Vec::new())).expect("valid");
    let tenant = table.tenant("key-two").expect("known key");
    assert_eq!(tenant.name, "radio");
    assert!(table.tenant("key-three").is_none());
    assert!(table.tenant("").is_none());
}

#[test]
fn a_split_gives_each_pool_its_part() {
    let mut split = route("split", "a.example", "/x/");
    split.traffic_splits = vec![
        TrafficSplit {
            pool: PoolName::from("one"),
            weight: 90.0,
        },
        TrafficSplit {
            pool: PoolName::from("none"),
            weight: 0.0,
        },
        TrafficSplit {
            pool: PoolName::from("two"),
            weight: 10.0,
        },
    ];
    let points = (0..1_000).map(|point| f64::from(point) / 1_000.0);
    let chosen: Vec<&PoolName> = points.filter_map(|point| split.pool(point)).collect();
    let count = |name: &str| chosen.iter().filter(|pool| pool.as_str() == name).count();
    assert_eq!((count("one"), count("none"), count("two")), (900, 0, 100));
}

#[test]
fn a_split_without_weights_gives_no_pool() {
    let mut split = route("split", "a.example", "/x/");
    split.traffic_splits[0].weight = 0.0;
    assert_eq!(split.pool(0.5), None);
}

#[rstest]
#[case::repeatable(RouteKind::Repeatable, false, true)]
#[case::not_repeatable(RouteKind::NotRepeatable, false, false)]
#[case::not_repeatable_is_never_resumed(RouteKind::NotRepeatable, true, false)]
#[case::stream(RouteKind::Streaming, false, false)]
#[case::resumable_stream(RouteKind::Streaming, true, true)]
fn a_stream_may_be_repeated_only_if_it_may_be_resumed(
    #[case] kind: RouteKind,
    #[case] is_resumable: bool,
    #[case] expected: bool,
) {
    let mut subject = route("r", "a.example", "/x/");
    subject.kind = kind;
    subject.is_resumable = is_resumable;
    assert_eq!(subject.may_retry(), expected);
}

fn error_of(change: impl FnOnce(&mut TableDocument)) -> TableError {
    let mut document = document(vec![route("r", "a.example", "/x/")]);
    change(&mut document);
    RoutingTable::new(document).expect_err("must be refused")
}

#[test]
fn a_document_that_fits_badly_is_refused_whole() {
    let error = error_of(|document| document.routes[0].path_prefix = "/x".to_owned());
    assert_eq!(error, TableError::Prefix("r".to_owned(), "/x".to_owned()));
    let error = error_of(|document| document.routes[0].maximum_attempts = 0);
    assert_eq!(error, TableError::NoAttempts("r".to_owned()));
    let error = error_of(|document| document.routes[0].timeout = Span::ZERO);
    assert_eq!(error, TableError::NoTime("r".to_owned()));
    let error = error_of(|document| document.routes[0].traffic_splits.clear());
    assert_eq!(error, TableError::NoPool("r".to_owned()));
    let error = error_of(|document| document.pools.clear());
    assert_eq!(
        error,
        TableError::UnknownPool("r".to_owned(), "app".to_owned())
    );
}

#[test]
fn two_tenants_never_share_a_key() {
    let error = error_of(|document| {
        let mut other = document.tenants[0].clone();
        other.name = "rival".to_owned();
        document.tenants.push(other);
    });
    assert_eq!(
        error,
        TableError::SharedKey("rival".to_owned(), "radio".to_owned())
    );
}

fn ranked(name: &str, rank: u8) -> Route {
    Route {
        rank,
        ..route(name, "a.example", &format!("/{name}/"))
    }
}

fn tenant(rank: Option<u8>) -> Tenant {
    Tenant {
        name: "t".to_owned(),
        keys: Vec::new(),
        rank,
        allowed_regions: Vec::new(),
    }
}

#[test]
fn engines_learn_the_tier_of_the_route_first_and_of_the_tenant_second() {
    let routes = vec![ranked("chat", 0), ranked("terms", 1), ranked("notice", 2)];
    let table = RoutingTable::new(document(routes.clone())).expect("a table");
    let level = |index: usize, rank| table.priority(&routes[index], Some(&tenant(rank)));
    assert!(level(0, Some(0)) < level(0, Some(1)));
    assert!(
        level(0, Some(9)) < level(1, Some(0)),
        "the route comes first"
    );
    assert!(level(1, Some(9)) < level(2, None));
    assert!(level(2, Some(9)) < PRIORITY_LEVELS);
}

#[test]
fn ranks_beyond_the_levels_of_engines_stay_in_order() {
    let routes: Vec<Route> = (0..12).map(|rank| ranked("r", rank)).collect();
    let scale = RoutingTable::new(document(vec![ranked("a", 0), ranked("b", 11)]));
    let scale = scale.expect("a table");
    let levels = routes.iter().map(|route| scale.priority(route, None));
    let levels: Vec<u8> = levels.collect();
    assert!(levels.is_sorted());
    assert!(levels.iter().all(|level| *level < PRIORITY_LEVELS));
}

#[test]
fn the_tiers_of_a_pool_are_those_of_its_routes() {
    let mut elsewhere = ranked("other", 9);
    elsewhere.traffic_splits[0].pool = PoolName::from("second");
    let mut both = document(vec![
        ranked("a", 0),
        ranked("b", 1),
        ranked("c", 3),
        elsewhere,
    ]);
    let pool = both.pools[&PoolName::from("app")].clone();
    both.pools.insert(PoolName::from("second"), pool);
    let table = RoutingTable::new(both).expect("a table");
    let part = |pool: &str, rank| table.less_urgent_share(&PoolName::from(pool), rank);
    assert_eq!(part("app", 0), 1.0);
    assert_eq!(part("app", 1), 0.5);
    assert_eq!(part("app", 3), 0.0);
    assert_eq!(part("second", 9), 0.0, "an only tier is its own last");
    assert_eq!(part("unknown", 0), 0.0);
}
