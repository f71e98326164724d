//! A node's handling of a directory that the platform has restored from an older copy.

use eiderferry_config::{Configuration, Directory, DirectoryEntry, EntryState};
use eiderferry_node::{DocumentKind, Identity, Node, NodeLimits, PlatformDocument};
use eiderferry_types::{BackEndId, Incarnation, NodeId, PoolId, Span, Timestamp, ZoneId};

const ZONE: ZoneId = ZoneId(1);
const CONFIGURATION: &str = "version: 1
zones:
  - { id: 1, name: zone-1 }
pools:
  - { id: 1, name: pool-1, kind: engine, model: model-1, slots_per_back_end: 8 }
classes:
  - { id: 1, name: class-1, tier: 1, time_to_first_token_ms: 2000, time_per_token_ms: 62 }
tenants:
  - { id: 1, name: tenant-1, key_digests: [], classes: [class-1], pools: [pool-1] }
";
/// Time for which a back end that had left may count as leaving after a restore although the
/// directory lists it as live.
const OVERRIDE_TIME: Span = Span::from_milliseconds(10_000);

fn directory(epoch: u16, version: u64, back_ends: &[(u32, EntryState)]) -> Directory {
    let entry = |(number, state): &(u32, EntryState)| DirectoryEntry {
        id: BackEndId(*number),
        zone: ZONE,
        role: PoolId(1),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        state: *state,
    };
    let node = DirectoryEntry {
        id: NodeId(1),
        zone: ZONE,
        role: (),
        address: "10.0.1.1:80".parse().expect("an address"),
        state: EntryState::Live,
    };
    Directory {
        epoch,
        version,
        nodes: vec![node],
        back_ends: back_ends.iter().map(entry).collect(),
    }
}

fn read(node: &mut Node, now: Timestamp, directory: Directory) {
    let document = PlatformDocument::Directory(directory);
    node.handle_platform_response(now, DocumentKind::Directory, Ok(Some(document)));
}

fn node(now: Timestamp) -> Node {
    let identity = Identity {
        node: NodeId(1),
        zone: ZONE,
        incarnation: Incarnation(1),
    };
    let mut node = Node::new(identity, NodeLimits::default(), now, 1);
    let configuration = Configuration::from_yaml("test", CONFIGURATION).expect("valid");
    let document = PlatformDocument::Configuration(configuration);
    node.handle_platform_response(now, DocumentKind::Configuration, Ok(Some(document)));
    node
}

/// Numbers of those of the back ends 1 to 3 that accept new requests.
fn usable(node: &Node) -> Vec<u32> {
    let is_usable = |number: &u32| {
        let entry = node.catalog().back_end(BackEndId(*number));
        entry.is_some_and(|entry| !entry.leaving)
    };
    (1..=3).filter(is_usable).collect()
}

/// Guards against ignoring a directory whose version number is reused after a restore.
#[test]
fn a_version_reused_after_a_restore_is_accepted() {
    use EntryState::{Leaving, Live};
    let now = Timestamp(1_000_000);
    let mut node = node(now);
    read(&mut node, now, directory(0, 7, &[(1, Live), (2, Live)]));
    read(&mut node, now, directory(1, 5, &[(1, Live), (2, Live)]));
    read(&mut node, now, directory(1, 7, &[(1, Live), (2, Leaving)]));
    assert_eq!(usable(&node), vec![1]);
    read(&mut node, now, directory(0, 8, &[(1, Live), (2, Live)]));
    assert_eq!(
        usable(&node),
        vec![1],
        "a directory of an earlier epoch is ignored"
    );
}

/// Guards against new requests to back ends that the restored copy lists as live again.
#[test]
fn back_ends_that_left_before_a_restore_count_as_leaving_until_the_override_ends() {
    use EntryState::{Leaving, Live};
    let now = Timestamp(1_000_000);
    let mut node = node(now);
    read(
        &mut node,
        now,
        directory(0, 5, &[(1, Live), (2, Live), (3, Live)]),
    );
    read(&mut node, now, directory(0, 7, &[(1, Live), (2, Leaving)]));
    let copy = [(1, Live), (2, Live), (3, Live)];
    read(&mut node, now, directory(1, 5, &copy));
    assert_eq!(usable(&node), vec![1]);
    read(&mut node, now, directory(1, 6, &copy));
    assert_eq!(
        usable(&node),
        vec![1],
        "the override outlasts an unrelated version"
    );
    let rewritten = [(1, Live), (2, Leaving), (3, Live)];
    read(&mut node, now, directory(1, 7, &rewritten));
    node.tick(now + OVERRIDE_TIME);
    assert_eq!(usable(&node), vec![1, 3]);
}
