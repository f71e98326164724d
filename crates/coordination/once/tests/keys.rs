//! A key is granted at most once, also after repeated claims, expiry and changes of
//! the owner.

use eiderferry_once::{ClaimResponse, KeyName, KeyTable, OwnershipHistory};
use eiderferry_types::{Incarnation, NodeId, Reason, RequestId, Span, Timestamp, Verdict};

const WINDOW: Span = Span::from_milliseconds(60_000);

fn at(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

fn request(sequence: u64) -> RequestId {
    RequestId {
        node: NodeId(2),
        incarnation: Incarnation(5),
        sequence,
    }
}

fn table_with_ticket() -> (KeyTable, KeyName) {
    let mut table = KeyTable::new(2, WINDOW);
    let ticket = table
        .issue_ticket(at(0), NodeId(1), Incarnation(9))
        .expect("room");
    (table, ticket)
}

#[test]
fn a_ticket_is_granted_to_one_request() {
    let (mut table, ticket) = table_with_ticket();
    assert_eq!(
        table.claim_ticket(at(1), &ticket, request(1)),
        ClaimResponse::Granted
    );
    assert_eq!(
        table.claim_ticket(at(1), &ticket, request(1)),
        ClaimResponse::Granted,
        "a repeated claim"
    );
    let denied = ClaimResponse::denied(Verdict::MayHaveRun, Reason::KeyInProgress);
    assert_eq!(table.claim_ticket(at(2), &ticket, request(2)), denied);
}

#[test]
fn only_the_claimant_can_reopen_a_ticket() {
    let (mut table, ticket) = table_with_ticket();
    table.claim_ticket(at(1), &ticket, request(1));
    table.record_verdict(at(2), &ticket, request(7), Verdict::NotRun);
    assert_ne!(
        table.claim_ticket(at(2), &ticket, request(2)),
        ClaimResponse::Granted
    );
    table.record_verdict(at(3), &ticket, request(1), Verdict::NotRun);
    assert_eq!(
        table.claim_ticket(at(3), &ticket, request(2)),
        ClaimResponse::Granted
    );
}

#[test]
fn a_finished_ticket_is_never_granted_again() {
    let (mut table, ticket) = table_with_ticket();
    table.claim_ticket(at(1), &ticket, request(1));
    table.record_verdict(at(2), &ticket, request(1), Verdict::Ran);
    let denied = ClaimResponse::denied(Verdict::Ran, Reason::KeyFinished);
    assert_eq!(table.claim_ticket(at(3), &ticket, request(2)), denied);
}

#[test]
fn an_expired_ticket_is_never_granted() {
    let (mut table, ticket) = table_with_ticket();
    table.tick(at(200));
    assert!(table.is_empty());
    let denied = ClaimResponse::denied(Verdict::MayHaveRun, Reason::KeyOwnerGone);
    assert_eq!(table.claim_ticket(at(200), &ticket, request(1)), denied);
}

#[test]
fn a_full_table_refuses_new_keys_and_keeps_existing_ones() {
    let (mut table, ticket) = table_with_ticket();
    table
        .issue_ticket(at(1), NodeId(1), Incarnation(9))
        .expect("room");
    assert!(
        table
            .issue_ticket(at(2), NodeId(1), Incarnation(9))
            .is_err()
    );
    assert_eq!(
        table.claim_ticket(at(3), &ticket, request(1)),
        ClaimResponse::Granted
    );
}

#[test]
fn a_node_vouches_for_a_key_only_after_a_whole_window() {
    let name = KeyName::Caller(1, 2);
    let mut history = OwnershipHistory::new(NodeId(1), WINDOW, at(0));
    history.record(at(0), vec![NodeId(1)]);
    assert!(
        !history.has_owned_for_window(at(59), &name),
        "an earlier run may have granted it"
    );
    assert!(history.has_owned_for_window(at(61), &name));
}

#[test]
fn a_new_owner_vouches_for_a_key_only_after_a_whole_window() {
    let key_of_node_two = (0..100)
        .map(|number| KeyName::Caller(number, 0))
        .find(|name| {
            let mut history = OwnershipHistory::new(NodeId(1), WINDOW, at(0));
            history.record(at(0), vec![NodeId(1), NodeId(2)]);
            history.owner(name) == Some(NodeId(2))
        })
        .expect("half of the keys");
    let mut history = OwnershipHistory::new(NodeId(1), WINDOW, at(0));
    history.record(at(0), vec![NodeId(1), NodeId(2)]);
    history.record(at(100), vec![NodeId(1)]);
    assert_eq!(history.owner(&key_of_node_two), Some(NodeId(1)));
    assert!(!history.has_owned_for_window(at(101), &key_of_node_two));
    assert!(history.has_owned_for_window(at(161), &key_of_node_two));
}
