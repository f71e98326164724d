//! Which back ends a node reaches directly, and which peer provides a tunnel to the others.

mod support;

use eiderferry_dispatch::{BackEndPaths, ConnectionPath, PeerSelector, TunnelPeer};
use eiderferry_routing::InstanceId;
use eiderferry_types::{Span, Timestamp};
use std::net::IpAddr;
use support::{Fleet, START, back_end, back_end_address, back_end_change, node_address};

fn instance(number: usize) -> InstanceId {
    InstanceId::from(format!("engine-{number}"))
}

fn after(milliseconds: u64) -> Timestamp {
    START + Span::from_milliseconds(milliseconds)
}

fn fail(paths: &mut BackEndPaths, number: usize, now: Timestamp) -> bool {
    paths.record_failed(&instance(number), back_end_address(number), false, now)
}

#[test]
fn a_back_end_that_no_peer_reaches_is_down_and_not_cut_off() {
    let mut paths = BackEndPaths::default();
    for number in 0..9 {
        assert!(fail(&mut paths, number, START));
    }
    assert!(!paths.is_cut());
    assert_eq!(paths.path_to(&instance(0)), ConnectionPath::Direct);
    assert_eq!(paths.due_checks(after(10)), Vec::new());
}

#[test]
fn a_back_end_that_a_peer_reaches_gets_connections_through_peers() {
    let mut paths = BackEndPaths::default();
    fail(&mut paths, 1, START);
    assert!(paths.record_reached_by_peer(&instance(1), after(5)));
    assert_eq!(paths.path_to(&instance(1)), ConnectionPath::Peer);
    assert_eq!(paths.path_to(&instance(2)), ConnectionPath::Direct);
}

#[test]
fn two_broken_paths_without_a_direct_connection_since_are_a_cut_from_all() {
    let mut paths = BackEndPaths::default();
    for number in 0..2 {
        fail(&mut paths, number, after(10));
        paths.record_reached_by_peer(&instance(number), after(15));
    }
    assert!(paths.is_cut());
    assert_eq!(paths.path_to(&instance(7)), ConnectionPath::Peer);
}

#[test]
fn a_direct_connection_elsewhere_shows_that_a_node_is_not_cut_from_all() {
    let mut paths = BackEndPaths::default();
    for number in 0..2 {
        fail(&mut paths, number, after(10));
        paths.record_reached_by_peer(&instance(number), after(15));
        paths.record_connected(&instance(5), after(20 + number as u64));
    }
    assert!(!paths.is_cut());
}

#[test]
fn a_direct_connection_restores_all_paths_of_a_node_that_was_cut() {
    let mut paths = BackEndPaths::default();
    for number in 0..3 {
        fail(&mut paths, number, after(10));
        paths.record_reached_by_peer(&instance(number), after(15));
    }
    let due = paths.due_checks(after(600));
    assert_eq!(due.len(), 2);
    paths.record_connected(&due[0].1, after(601));
    assert_eq!((paths.broken_count(), paths.is_cut()), (0, false));
}

#[test]
fn a_direct_connection_during_a_probe_takes_precedence_over_its_result() {
    let mut paths = BackEndPaths::default();
    fail(&mut paths, 1, START);
    paths.record_connected(&instance(1), after(2));
    assert!(!paths.record_reached_by_peer(&instance(1), after(5)));
    assert_eq!(paths.path_to(&instance(1)), ConnectionPath::Direct);
}

#[test]
fn a_back_end_is_probed_through_peers_once_a_second() {
    let mut paths = BackEndPaths::default();
    let probes = (0..40).filter(|step| fail(&mut paths, 1, after(step * 100)));
    assert_eq!(probes.count(), 4);
}

fn peer(number: u8, is_same_zone: bool) -> TunnelPeer {
    TunnelPeer {
        ip: IpAddr::from([10, 1, 0, number]),
        is_same_zone,
    }
}

#[test]
fn peers_of_the_own_zone_come_first_until_they_carry_more_tunnels() {
    let candidates = [peer(1, false), peer(2, true)];
    let mut choice = PeerSelector::default();
    assert_eq!(choice.choose(&candidates, START), Some(candidates[1]));
    choice.record_opened(candidates[1].ip, 9, START);
    assert_eq!(choice.choose(&candidates, START), Some(candidates[0]));
}

#[test]
fn a_peer_that_refused_is_passed_over_for_a_second() {
    let candidates = [peer(1, true), peer(2, true)];
    let mut choice = PeerSelector::default();
    choice.record_refused(candidates[0].ip, START);
    choice.record_refused(candidates[1].ip, START);
    assert_eq!(choice.choose(&candidates, after(900)), None);
    assert!(choice.choose(&candidates, after(1_000)).is_some());
}

#[test]
fn tunnels_of_four_cut_nodes_spread_over_the_other_four() {
    let candidates: Vec<TunnelPeer> = (0..4).map(|number| peer(number, number < 2)).collect();
    let mut open = [0_u32; 4];
    let mut selectors = vec![PeerSelector::default(); 4];
    for _ in 0..40 {
        for choice in &mut selectors {
            let chosen = choice.choose(&candidates, START).expect("a peer");
            let index = candidates.iter().position(|peer| *peer == chosen);
            let index = index.expect("a candidate");
            open[index] += 1;
            choice.record_opened(chosen.ip, open[index], START);
        }
    }
    let (least, most) = (open.iter().min(), open.iter().max());
    let (least, most) = (least.expect("a peer"), most.expect("a peer"));
    assert!(most * 2 <= least * 3, "{open:?}");
}

#[test]
fn tunnels_are_opened_for_peers_to_listed_back_ends_in_the_region_of_the_back_end() {
    let mut fleet = Fleet::new(12, 3);
    fleet.initial_documents = (0..3)
        .map(|number| {
            let name = format!("engine-{number}");
            back_end_change(back_end(&name, number, number), 2)
        })
        .collect();
    fleet.run_with_platform(20_000, 2);
    // Zones 0 and 1 are in one region, zone 2 in another.
    for (number, zones) in [(0, [0, 1].as_slice()), (2, [2].as_slice())] {
        let peers = fleet.nodes[0].tunnel_peers(&instance(number));
        assert!(!peers.is_empty());
        for peer in peers {
            let node = (0..12).find(|node| node_address(*node).ip() == peer.ip);
            let node = node.expect("a node");
            assert!(
                zones.contains(&(node % 3)),
                "node {node} for engine {number}"
            );
            assert_eq!(peer.is_same_zone, node % 3 == 0);
        }
    }
    let known = node_address(5).ip();
    let target = |source, number| fleet.nodes[0].tunnel_target(source, &instance(number));
    assert_eq!(target(known, 1), Some(back_end_address(1)));
    assert_eq!(target(known, 7), None);
    assert_eq!(target(IpAddr::from([10, 7, 7, 7]), 1), None);
}

/// Nodes of large zones hear directly of a few nodes of each other zone only.
#[test]
fn peers_of_other_large_zones_open_tunnels_for_nodes_that_they_know_indirectly() {
    let mut fleet = Fleet::new(240, 2);
    fleet.initial_documents = vec![back_end_change(back_end("engine-0", 0, 0), 2)];
    fleet.run_with_platform(30_000, 2);
    let own_ip = node_address(0).ip();
    for _ in 0..20 {
        let peers = fleet.nodes[0].tunnel_peers(&instance(0));
        assert!(peers.iter().any(|peer| !peer.is_same_zone));
        for peer in peers {
            let node = (0..240).find(|node| node_address(*node).ip() == peer.ip);
            let node = &fleet.nodes[node.expect("a node")];
            assert!(node.tunnel_target(own_ip, &instance(0)).is_some());
        }
    }
}
