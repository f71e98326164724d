//! Relays that can't reach the back ends while callers and other relays reach them.

mod support;

use rstest::rstest;
use std::time::{Duration, Instant};
use support::{MockBackEnd, Path, PathProxy, TestRelay, ok_response, write};

const BACK_ENDS: usize = 3;
/// Time in which the relays of a fleet discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Time after a change of the path from which requests have to be served again.
const RECOVERY_DEADLINE: Duration = Duration::from_secs(3);
/// Requests in each phase of a test.
const REQUESTS: usize = 20;
/// Fewest of them to serve during a cut: two thirds, since the other relays serve all.
const MIN_SERVED: usize = 14;

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
            relays.push(TestRelay::join_fleet(&relays, &direct));
        }
        std::thread::sleep(DISCOVERY_TIME);
        Self {
            back_ends,
            proxies,
            relays,
        }
    }

    fn set_path(&self, path: Path) {
        for proxy in &self.proxies {
            proxy.set_path(path);
        }
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
#[case::connections_hang(Path::Hanging)]
#[case::connections_are_reset(Path::Reset)]
#[case::new_connections_are_refused(Path::RefusingNew)]
fn a_relay_cut_from_all_back_ends_serves_its_callers_within_three_seconds(
    #[case] path: Path,
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
