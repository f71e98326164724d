//! Suspicion of peers, restarts, and stable holders of cells.

use eiderferry_membership::{FailureDetector, Fleet, Health, Member};
use eiderferry_types::{CellId, Incarnation, NodeId, PoolId, Span, Timestamp, ZoneId};

const PEER: NodeId = NodeId(2);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(0) + Span::from_milliseconds(milliseconds)
}

#[test]
fn missed_replies_alone_do_not_make_a_peer_suspected() {
    let mut detector = FailureDetector::default();
    detector.record_message(PEER, Incarnation(1), at(1_000));
    for _ in 0..5 {
        detector.record_missed_reply(PEER, at(1_300));
    }
    assert_eq!(detector.health(PEER, at(1_300)), Health::Reachable);
    detector.record_missed_reply(PEER, at(1_700));
    assert_eq!(detector.health(PEER, at(1_700)), Health::Suspected);
    detector.clear_suspicion(PEER);
    assert_eq!(detector.health(PEER, at(1_700)), Health::Reachable);
}

#[test]
fn a_restart_is_distinguished_from_a_late_message() {
    let mut detector = FailureDetector::default();
    assert_eq!(detector.record_message(PEER, Incarnation(4), at(1)), None);
    assert_eq!(
        detector.record_message(PEER, Incarnation(5), at(2)),
        Some(Incarnation(4))
    );
    assert!(detector.is_stale(PEER, Incarnation(4)));
    assert_eq!(detector.record_message(PEER, Incarnation(4), at(3)), None);
    assert_eq!(detector.incarnation(PEER), Some(Incarnation(5)));
}

#[test]
fn a_cell_keeps_its_holder_while_that_node_is_listed() {
    let mut fleet = Fleet::new(NodeId(1), ZoneId(1));
    let member = |node| Member {
        node: NodeId(node),
        zone: ZoneId(1),
        leaving: false,
    };
    fleet.set_members((1..=5).map(member));
    let cells: Vec<CellId> = (0..40)
        .map(|shard| CellId {
            zone: ZoneId(1),
            pool: PoolId(1),
            shard,
        })
        .collect();
    let holders_before: Vec<_> = cells
        .iter()
        .map(|cell| fleet.holder(*cell, at(0)))
        .collect();
    fleet.set_members((1..=4).map(member));
    for (cell, holder) in cells.iter().zip(holders_before) {
        if holder != Some(NodeId(5)) {
            assert_eq!(fleet.holder(*cell, at(0)), holder);
        }
    }
}
