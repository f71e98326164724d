//! Relays that can't reach the back ends while callers and other relays reach them.

mod support;

use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::{
    MockBackEnd, PathProxy, PathState, TEST_TIMEOUT, TUNNEL_PORT, TestRelay, chunk, event,
    ok_response, reset_on_close, stream_head, write,
};

const BACK_ENDS: usize = 3;
/// Time in which the relays of a fleet discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Time after a change of the path from which requests have to be served again.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(3);
/// Time in which the proxies apply a change of the path.
const PATH_CHANGE_TIME: Duration = Duration::from_millis(50);
/// Requests in each phase of a test.
const REQUESTS: usize = 20;
/// Fewest of them to serve during a cut: two thirds, since the other relays serve all.
const MIN_SERVED: usize = 14;

/// Frame with which a relay refuses a tunnel.
const REFUSED_REPLY: [u8; 3] = [0, 1, 2];

/// A fleet whose first relays reach the back ends through proxies only.
struct Cluster {
    back_ends: Vec<MockBackEnd>,
    proxies: Vec<PathProxy>,
    relays: Vec<TestRelay>,
}

impl Cluster {
    fn start(cut_relays: usize, other_relays: usize) -> Self {
        Self::start_with(cut_relays, other_relays, || {
            MockBackEnd::start(|stream, request, _| {
                write(stream, &ok_response(request, "sound"));
                true
            })
        })
    }

    fn start_with(
        cut_relays: usize,
        other_relays: usize,
        back_end: impl Fn() -> MockBackEnd,
    ) -> Self {
        let back_ends: Vec<MockBackEnd> = (0..BACK_ENDS).map(|_| back_end()).collect();
        let direct: Vec<_> = back_ends.iter().map(|back_end| back_end.address).collect();
        let mut proxies = Vec::new();
        let mut relays = Vec::new();
        for _ in 0..cut_relays {
            let own = direct.iter().map(|address| PathProxy::start(*address));
            let own: Vec<PathProxy> = own.collect();
            let addresses: Vec<_> = own.iter().map(|proxy| proxy.address).collect();
            relays.push(TestRelay::join_fleet(&relays, &addresses));
            proxies.extend(own);
        }
        for _ in 0..other_relays {
            relays.push(TestRelay::join_fleet_in_zone("b", &relays, &direct));
        }
        std::thread::sleep(DISCOVERY_TIME);
        Self {
            back_ends,
            proxies,
            relays,
        }
    }

    fn set_path(&self, path: PathState) {
        for proxy in &self.proxies {
            proxy.set_path(path);
        }
        std::thread::sleep(PATH_CHANGE_TIME);
    }

    fn direct_connections(&self) -> usize {
        self.proxies.iter().map(PathProxy::accepted_count).sum()
    }

    /// Sends requests to a relay one after the other; returns how many were served.
    fn count_served(&self, relay: usize, route: &str, requests: usize) -> usize {
        let statuses = (0..requests).map(|number| self.relays[relay].post(route, number).status);
        statuses.filter(|status| *status == 200).count()
    }
}

#[rstest]
#[case::connections_hang(PathState::Hanging)]
#[case::connections_are_reset(PathState::Reset)]
#[case::new_connections_are_refused(PathState::RefusingNew)]
fn a_relay_cut_from_all_back_ends_serves_its_callers_within_three_seconds(
    #[case] path: PathState,
    #[values("read", "write")] route: &str,
) {
    let cluster = Cluster::start(1, 2);
    assert_eq!(cluster.count_served(0, route, REQUESTS), REQUESTS);
    cluster.set_path(path);
    let cut_at = Instant::now();
    // One request is all that the relay has to notice the cut.
    cluster.count_served(0, route, 1);
    std::thread::sleep(RECOVERY_DEADLINE.saturating_sub(cut_at.elapsed()));
    let served = cluster.count_served(0, route, REQUESTS);
    assert!(served >= MIN_SERVED, "{served} of {REQUESTS} served");
}

/// The peers that are tried first, those of the same zone, don't know that they are cut as well.
#[rstest]
#[case::connections_hang(PathState::Hanging)]
#[case::connections_are_reset(PathState::Reset)]
fn a_relay_is_served_by_another_zone_if_its_whole_zone_is_cut(#[case] path: PathState) {
    let cluster = Cluster::start(4, 1);
    cluster.set_path(path);
    let cut_at = Instant::now();
    cluster.count_served(0, "read", 1);
    std::thread::sleep(RECOVERY_DEADLINE.saturating_sub(cut_at.elapsed()));
    let served = cluster.count_served(0, "read", REQUESTS);
    assert!(served >= MIN_SERVED, "{served} of {REQUESTS} served");
}

#[rstest]
fn half_of_eight_relays_are_served_by_the_other_half(
    #[values(PathState::Hanging, PathState::Reset, PathState::RefusingNew)] path: PathState,
) {
    let cluster = Cluster::start(4, 4);
    cluster.set_path(path);
    let cut_at = Instant::now();
    let serve_all = |requests| {
        std::thread::scope(|scope| {
            let relays = (0..4).map(|relay| {
                let cluster = &cluster;
                scope.spawn(move || cluster.count_served(relay, "write", requests))
            });
            let relays: Vec<_> = relays.collect();
            let served = relays
                .into_iter()
                .map(|relay| relay.join().expect("no panic"));
            served.collect::<Vec<usize>>()
        })
    };
    serve_all(1);
    std::thread::sleep(RECOVERY_DEADLINE.saturating_sub(cut_at.elapsed()));
    let served = serve_all(REQUESTS);
    assert!(
        served.iter().all(|served| *served >= MIN_SERVED),
        "{served:?}"
    );
}

#[test]
fn the_end_of_a_cut_is_noticed_within_three_seconds() {
    let cluster = Cluster::start(1, 1);
    cluster.set_path(PathState::Reset);
    cluster.count_served(0, "read", REQUESTS);
    cluster.set_path(PathState::Intact);
    std::thread::sleep(RECOVERY_DEADLINE);
    let direct_before = cluster.direct_connections();
    assert_eq!(cluster.count_served(0, "read", REQUESTS), REQUESTS);
    assert!(cluster.direct_connections() > direct_before);
}

#[test]
fn relays_that_are_all_cut_refuse_their_callers() {
    let cluster = Cluster::start(3, 0);
    cluster.set_path(PathState::Reset);
    for relay in 0..3 {
        for number in 0..4 {
            let response = cluster.relays[relay].post("write", number);
            assert_eq!(response.status, 503);
        }
    }
    let requests = cluster.back_ends.iter().map(MockBackEnd::request_count);
    assert_eq!(requests.sum::<usize>(), 0);
}

#[test]
fn a_request_through_a_tunnel_runs_at_most_once() {
    let cluster = Cluster::start_with(1, 2, || MockBackEnd::start(|_, _, _| false));
    cluster.set_path(PathState::Reset);
    cluster.count_served(0, "write", 2);
    let run_before: usize = cluster
        .back_ends
        .iter()
        .map(MockBackEnd::request_count)
        .sum();
    let response = cluster.relays[0].post("write", 99);
    let run_after: usize = cluster
        .back_ends
        .iter()
        .map(MockBackEnd::request_count)
        .sum();
    assert_eq!((response.status, run_after - run_before), (502, 1));
}

#[test]
fn a_callers_disconnect_reaches_the_back_end_through_a_tunnel() {
    let cluster = Cluster::start_with(1, 1, || {
        MockBackEnd::start(|stream, _, _| {
            // Returns when the peer closes the connection.
            let _ = stream.read(&mut [0]);
            false
        })
    });
    cluster.set_path(PathState::Reset);
    let mut caller = cluster.relays[0].connect();
    caller.send("POST", "/write/1", "", "x");
    let received = || {
        cluster
            .back_ends
            .iter()
            .map(MockBackEnd::request_count)
            .sum::<usize>()
    };
    let closed = || {
        let times = cluster
            .back_ends
            .iter()
            .map(|back_end| &back_end.close_times);
        times
            .map(|times| times.lock().expect("lock").len())
            .sum::<usize>()
    };
    wait_until(|| received() == 1);
    // Connections that only checked the path are closed already or soon.
    std::thread::sleep(Duration::from_millis(500));
    let closed_before = closed();
    drop(caller);
    wait_until(|| closed() > closed_before);
}

#[test]
fn a_stream_through_a_stopping_peer_is_completed() {
    const EVENTS: u64 = 8;
    let cluster = Cluster::start_with(1, 1, || {
        MockBackEnd::start(|stream, request, _| {
            write(stream, &stream_head(request, "one"));
            for number in 1..=EVENTS {
                write(stream, &chunk(&event(number)));
                std::thread::sleep(Duration::from_millis(100));
            }
            write(stream, "0\r\n\r\n");
            false
        })
    });
    cluster.set_path(PathState::Reset);
    let mut caller = cluster.relays[0].connect();
    caller.send("POST", "/stream/1", "", "x");
    let Cluster { mut relays, .. } = cluster;
    std::thread::sleep(Duration::from_millis(300));
    relays[1].begin_shutdown();
    let response = caller.read_response();
    assert_eq!(response.status, 200);
    assert!(
        response.body.contains(&format!("id: {EVENTS}")),
        "{}",
        response.body
    );
}

/// A response without a length ends with its connection: only the reset shows that it was cut off.
#[test]
fn a_response_that_its_back_end_resets_is_incomplete_behind_a_tunnel_too() {
    let cluster = Cluster::start_with(1, 1, || {
        MockBackEnd::start(|stream, request, _| {
            let id = request.id();
            let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nStamp: one\r\n\r\n");
            write(stream, &format!("{head}half of the"));
            std::thread::sleep(Duration::from_millis(100));
            reset_on_close(stream);
            false
        })
    });
    cluster.set_path(PathState::Reset);
    for number in 0..4 {
        let response = cluster.relays[0].post("write", number);
        assert_eq!(response.status, 502, "{response:?}");
    }
}

#[rstest]
#[case::a_stranger(b"\x00\x03\x01\x01x")]
#[case::another_version(b"\x00\x03\x09\x01x")]
#[case::a_frame_that_is_too_long(b"\xff\xff")]
fn nodes_that_are_no_peers_get_no_tunnel(#[case] request: &[u8]) {
    let cluster = Cluster::start(0, 1);
    let address = SocketAddr::new(cluster.relays[0].peer_address.ip(), TUNNEL_PORT);
    let mut stream = TcpStream::connect(address).expect("listening");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a socket");
    stream.write_all(request).expect("connected");
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    assert!(reply.is_empty() || reply == REFUSED_REPLY, "{reply:?}");
}

fn wait_until(condition: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the condition does not hold"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
