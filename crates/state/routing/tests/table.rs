//! Route lookup, traffic splits, tenants, priorities and validation of a routing table.

use eiderferry_routing::{
    Limits, PRIORITY_LEVELS, Pool, PoolName, Route, RouteKind, RouteMatch, RoutingTable,
    TableDocument, TableError, Tenant, TrafficSplit,
};
use eiderferry_types::Span;
use rstest::rstest;
use std::collections::BTreeMap;

fn route_to_app(name: &str, host: &str, prefix: &str) -> Route {
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

fn route_name(route_match: RouteMatch<'_>) -> Option<String> {
    match route_match {
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
fn the_route_with_the_longest_matching_prefix_is_chosen(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = vec![
        route_to_app("short", "a.example", "/x/"),
        route_to_app("long", "a.example", "/x/y/"),
    ];
    let table = RoutingTable::new(document(routes)).expect("valid");
    assert_eq!(route_name(table.route(host, path)).as_deref(), expected);
}

#[test]
fn only_a_listed_key_identifies_its_tenant() {
    let table = RoutingTable::new(document(Vec::new())).expect("valid");
    let tenant = table.tenant("key-two").expect("known key");
    assert_eq!(tenant.name, "radio");
    assert!(table.tenant("key-three").is_none());
    assert!(table.tenant("").is_none());
}

#[test]
fn traffic_is_split_in_proportion_to_the_weights() {
    let mut route = route_to_app("split", "a.example", "/x/");
    route.traffic_splits = vec![
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
    let samples = (0..1_000).map(|index| f64::from(index) / 1_000.0);
    let chosen: Vec<&PoolName> = samples.filter_map(|sample| route.pool(sample)).collect();
    let count = |name: &str| chosen.iter().filter(|pool| pool.as_str() == name).count();
    assert_eq!((count("one"), count("none"), count("two")), (900, 0, 100));
}

#[test]
fn a_route_without_a_positive_weight_chooses_no_pool() {
    let mut route = route_to_app("split", "a.example", "/x/");
    route.traffic_splits[0].weight = 0.0;
    assert_eq!(route.pool(0.5), None);
}

#[rstest]
#[case::repeatable(RouteKind::Repeatable, false, true)]
#[case::not_repeatable(RouteKind::NotRepeatable, false, false)]
#[case::not_repeatable_is_never_resumed(RouteKind::NotRepeatable, true, false)]
#[case::stream(RouteKind::Streaming, false, false)]
#[case::resumable_stream(RouteKind::Streaming, true, true)]
fn only_repeatable_routes_and_resumable_streams_may_be_retried(
    #[case] kind: RouteKind,
    #[case] is_resumable: bool,
    #[case] expected: bool,
) {
    let mut route = route_to_app("r", "a.example", "/x/");
    route.kind = kind;
    route.is_resumable = is_resumable;
    assert_eq!(route.may_retry(), expected);
}

fn error_after(change: impl FnOnce(&mut TableDocument)) -> TableError {
    let mut document = document(vec![route_to_app("r", "a.example", "/x/")]);
    change(&mut document);
    RoutingTable::new(document).expect_err("must be refused")
}

#[test]
fn an_invalid_table_document_is_rejected() {
    let error = error_after(|document| document.routes[0].path_prefix = "/x".to_owned());
    assert_eq!(
        error,
        TableError::InvalidPathPrefix("r".to_owned(), "/x".to_owned())
    );
    let error = error_after(|document| document.routes[0].maximum_attempts = 0);
    assert_eq!(error, TableError::ZeroAttempts("r".to_owned()));
    let error = error_after(|document| document.routes[0].timeout = Span::ZERO);
    assert_eq!(error, TableError::ZeroTimeout("r".to_owned()));
    let error = error_after(|document| document.routes[0].traffic_splits.clear());
    assert_eq!(error, TableError::NoWeightedPool("r".to_owned()));
    let error = error_after(|document| document.pools.clear());
    assert_eq!(
        error,
        TableError::UnknownPool("r".to_owned(), "app".to_owned())
    );
}

#[test]
fn a_key_listed_by_two_tenants_is_rejected() {
    let error = error_after(|document| {
        let mut other = document.tenants[0].clone();
        other.name = "rival".to_owned();
        document.tenants.push(other);
    });
    assert_eq!(
        error,
        TableError::DuplicateKey("rival".to_owned(), "radio".to_owned())
    );
}

fn route_with_rank(name: &str, rank: u8) -> Route {
    Route {
        rank,
        ..route_to_app(name, "a.example", &format!("/{name}/"))
    }
}

fn tenant_with_rank(rank: Option<u8>) -> Tenant {
    Tenant {
        name: "t".to_owned(),
        keys: Vec::new(),
        rank,
        allowed_regions: Vec::new(),
    }
}

#[test]
fn engine_priority_orders_by_route_rank_then_by_tenant_rank() {
    let routes = vec![
        route_with_rank("chat", 0),
        route_with_rank("terms", 1),
        route_with_rank("notice", 2),
    ];
    let table = RoutingTable::new(document(routes.clone())).expect("a table");
    let level = |index: usize, rank| table.priority(&routes[index], Some(&tenant_with_rank(rank)));
    assert!(level(0, Some(0)) < level(0, Some(1)));
    assert!(
        level(0, Some(9)) < level(1, Some(0)),
        "the route comes first"
    );
    assert!(level(1, Some(9)) < level(2, None));
    assert!(level(2, Some(9)) < PRIORITY_LEVELS);
}

#[test]
fn priorities_stay_in_order_with_more_ranks_than_levels() {
    let routes: Vec<Route> = (0..12).map(|rank| route_with_rank("r", rank)).collect();
    let table = RoutingTable::new(document(vec![
        route_with_rank("a", 0),
        route_with_rank("b", 11),
    ]));
    let table = table.expect("a table");
    let levels = routes.iter().map(|route| table.priority(route, None));
    let levels: Vec<u8> = levels.collect();
    assert!(levels.is_sorted());
    assert!(levels.iter().all(|level| *level < PRIORITY_LEVELS));
}

#[test]
fn less_urgent_share_counts_the_ranks_of_the_routes_to_a_pool() {
    let mut elsewhere = route_with_rank("other", 9);
    elsewhere.traffic_splits[0].pool = PoolName::from("second");
    let mut two_pools = document(vec![
        route_with_rank("a", 0),
        route_with_rank("b", 1),
        route_with_rank("c", 3),
        elsewhere,
    ]);
    let pool = two_pools.pools[&PoolName::from("app")].clone();
    two_pools.pools.insert(PoolName::from("second"), pool);
    let table = RoutingTable::new(two_pools).expect("a table");
    let share = |pool: &str, rank| table.less_urgent_share(&PoolName::from(pool), rank);
    assert_eq!(share("app", 0), 1.0);
    assert_eq!(share("app", 1), 0.5);
    assert_eq!(share("app", 3), 0.0);
    assert_eq!(share("second", 9), 0.0, "an only tier is its own last");
    assert_eq!(share("unknown", 0), 0.0);
}
