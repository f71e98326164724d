//! Distribution of documents when all nodes of a fleet request them at once.

use eiderferry_dispatch::{Admission, DocumentService, TransferId};
use eiderferry_types::{Span, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7340))
}

fn expect_transfer(admission: Admission) -> TransferId {
    match admission {
        Admission::Admitted(Some(transfer)) => transfer,
        redirected => panic!("expected a transfer, got {redirected:?}"),
    }
}

#[test]
fn a_busy_node_redirects_to_nodes_that_already_have_documents() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut service = DocumentService::default();
    let now = Timestamp(0);
    let transfers: Vec<TransferId> = (1..3)
        .map(|number| expect_transfer(service.admit(address(number), true, &mut random, now)))
        .collect();
    let without_holders = service.admit(address(5), true, &mut random, now);
    assert_eq!(without_holders, Admission::Redirected(Vec::new()));
    service.finish(transfers[0]);
    expect_transfer(service.admit(address(5), true, &mut random, now));
    let redirected = service.admit(address(6), true, &mut random, now);
    assert_eq!(redirected, Admission::Redirected(vec![address(1)]));
}

#[test]
fn a_node_with_some_documents_is_never_redirected() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut service = DocumentService::default();
    for number in 1..20 {
        let admission = service.admit(address(number), false, &mut random, Timestamp(0));
        assert_eq!(admission, Admission::Admitted(None));
    }
    expect_transfer(service.admit(address(20), true, &mut random, Timestamp(0)));
}

#[test]
fn a_stalled_transfer_blocks_others_only_for_a_limited_time() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut service = DocumentService::default();
    for number in 1..3 {
        expect_transfer(service.admit(address(number), true, &mut random, Timestamp(0)));
    }
    let later = Timestamp(0) + Span::from_milliseconds(2_000);
    expect_transfer(service.admit(address(5), true, &mut random, later));
}

/// Link rate of every node in bytes per millisecond: 10 Mbit/s.
const LINK_BYTES_PER_MS: f64 = 1_250.0;
const SEEDS: usize = 3;

struct Transfer {
    from: usize,
    to: usize,
    id: TransferId,
    remaining_bytes: f64,
}

/// Milliseconds until all nodes have documents of `bytes` bytes. The transfers from a node share
/// its link. A redirected node tries the nodes it was given and then waits for 150 ms.
fn spread_time_ms(nodes: usize, bytes: f64) -> u64 {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut services: BTreeMap<usize, DocumentService> = (0..SEEDS)
        .map(|seed| (seed, DocumentService::default()))
        .collect();
    let numbers: BTreeMap<SocketAddr, usize> =
        (0..nodes).map(|number| (address(number), number)).collect();
    let mut waiting: BTreeMap<usize, u64> = (SEEDS..nodes).map(|node| (node, 0)).collect();
    let mut transfers: Vec<Transfer> = Vec::new();
    for millisecond in 0..60_000 {
        let now = Timestamp(0) + Span::from_milliseconds(millisecond);
        let due: Vec<usize> = waiting
            .iter()
            .filter(|(_, at)| **at <= millisecond)
            .map(|(node, _)| *node)
            .collect();
        for node in due {
            let mut source = node % SEEDS;
            let mut started = None;
            for _ in 0..4 {
                let Some(service) = services.get_mut(&source) else {
                    break;
                };
                match service.admit(address(node), true, &mut random, now) {
                    Admission::Admitted(id) => {
                        let id = id.expect("a counted transfer");
                        started = Some(Transfer {
                            from: source,
                            to: node,
                            id,
                            remaining_bytes: bytes,
                        });
                        break;
                    }
                    Admission::Redirected(others) => match others.first() {
                        Some(other) => source = numbers[other],
                        None => break,
                    },
                }
            }
            match started {
                Some(transfer) => {
                    waiting.remove(&node);
                    transfers.push(transfer);
                }
                None => {
                    waiting.insert(node, millisecond + 150);
                }
            }
        }
        let mut transfer_counts: BTreeMap<usize, f64> = BTreeMap::new();
        for transfer in &transfers {
            *transfer_counts.entry(transfer.from).or_default() += 1.0;
        }
        for transfer in &mut transfers {
            transfer.remaining_bytes -= LINK_BYTES_PER_MS / transfer_counts[&transfer.from];
        }
        let (finished, running) = transfers
            .into_iter()
            .partition(|transfer: &Transfer| transfer.remaining_bytes <= 0.0);
        transfers = running;
        for transfer in finished {
            services
                .entry(transfer.from)
                .or_default()
                .finish(transfer.id);
            services.insert(transfer.to, DocumentService::default());
        }
        if services.len() == nodes {
            return millisecond;
        }
    }
    60_000
}

/// If the three seeds alone served all nodes, each would send the documents to a third of the
/// fleet: 4.8 s for 300 nodes and 60 kB, 14 s for 180 kB, 352 s for 2,200 nodes and 600 kB. With
/// redirection it takes under 1.0 s, 2.1 s and 11.0 s.
#[rstest]
#[case::engines_1000(300, 60_000.0, 1_000)]
#[case::engines_3000(300, 180_000.0, 2_200)]
#[case::in_two_years(2_200, 600_000.0, 11_500)]
fn documents_spread_faster_than_the_seeds_alone_could_send_them(
    #[case] nodes: usize,
    #[case] bytes: f64,
    #[case] limit_ms: u64,
) {
    let milliseconds = spread_time_ms(nodes, bytes);
    let seeds_alone_ms = nodes as f64 / SEEDS as f64 * bytes / LINK_BYTES_PER_MS;
    assert!(
        milliseconds <= limit_ms,
        "{milliseconds} ms, {seeds_alone_ms} ms from the seeds alone"
    );
}
