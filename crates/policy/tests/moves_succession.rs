//! Orders for one service in succession: each starts from the traffic as it is.

mod fixtures;

use fixtures::{gate, order, table, version};
use proptest::prelude::*;
use savorykeel_policy::{
    ids::ConfigVersion,
    membership::quorum::Standing,
    moves::{
        gossip::MoveStateUpdate,
        state::{BadKind, BadReason, MoveState},
        status::{MovePhase, MoveStatus},
        tracker::{MoveTracker, TrackerRevision},
    },
    time::WallMillis,
};
use yare::parameterized;

/// Largest number of 1,000 requests that an unproven version gets, with the spread of hashes.
const UNPROVEN: usize = 80;

/// Offsets of the orders in the store.
const FIRST: u64 = 5;
const SECOND: u64 = 6;

/// Returns a node that has just started.
fn started() -> MoveTracker {
    fixtures::started("v1")
}

/// Returns a node that saw only `v1` run before the first order.
fn lived() -> MoveTracker {
    let mut tracker = started();
    tracker.observe_incumbents(&table("v1 v1"), Standing::Majority);
    tracker.observe_incumbents(&table("v1 v1 v2 v2 v2"), Standing::Majority);
    tracker
}

/// Returns a node that lived and knows of an order to move to `v2`.
fn moving_to_v2() -> MoveTracker {
    let mut tracker = lived();
    order(&mut tracker, "v2", FIRST);
    tracker
}

fn evaluate(tracker: &mut MoveTracker, versions: &str, times: std::ops::Range<u64>) {
    fixtures::evaluate(tracker, &table(versions), Standing::Majority, times, |_, _| true);
}

/// Returns how many of 1,000 requests each of the versions gets.
fn traffic<const N: usize>(tracker: &MoveTracker, at: &str, versions: [&str; N]) -> [usize; N] {
    let split = tracker.split(&table(at).services[&gate()], &gate());
    let count = |of: &str| match &split {
        Some(split) => (0..1_000).filter(|hash| split.choose(*hash).as_str() == of).count(),
        None => 0,
    };
    versions.map(count)
}

/// Guards against an order back to the version that carries the traffic, which sent all of it to
/// the version of the order before: at once, while that one has its first share, when it has all
/// traffic and only the end of the move is missing.
#[parameterized(at_once = { 250 }, rising = { 3_000 }, all_but_done = { 12_250 })]
fn order_back_keeps_the_traffic_where_it_is(ordered_at: u64) {
    let mut tracker = moving_to_v2();
    evaluate(&mut tracker, "v1 v2", 0..ordered_at);
    order(&mut tracker, "v1", SECOND);
    for now in [ordered_at, ordered_at + 1_000, ordered_at + 20_000] {
        assert_eq!(traffic(&tracker, "v1 v2", ["v1", "v2"]), [1_000, 0]);
        evaluate(&mut tracker, "v1 v2", now..now + 500);
    }
    assert_eq!(tracker.status(&table("v1 v2")).unwrap().phase, MovePhase::Done);
}

#[test]
fn order_back_after_a_move_that_is_done_is_a_new_move() {
    let mut tracker = moving_to_v2();
    evaluate(&mut tracker, "v1 v2", 0..15_000);
    assert_eq!(tracker.status(&table("v2")).unwrap().phase, MovePhase::Done);
    order(&mut tracker, "v1", SECOND);
    assert_eq!(traffic(&tracker, "v1 v2", ["v1", "v2"]), [0, 1_000]);
    evaluate(&mut tracker, "v1 v2", 15_000..16_000);
    let [v1, v2] = traffic(&tracker, "v1 v2", ["v1", "v2"]);
    assert!(v1 > 0 && v1 <= UNPROVEN && v1 + v2 == 1_000, "{v1} and {v2}");
}

/// The version that rose loses its share at once, and the third one starts from nothing.
#[test]
fn third_version_takes_its_traffic_from_the_first() {
    let mut tracker = moving_to_v2();
    evaluate(&mut tracker, "v1 v2", 0..3_000);
    order(&mut tracker, "v3", SECOND);
    assert_eq!(traffic(&tracker, "v1 v2 v3", ["v1", "v2", "v3"]), [1_000, 0, 0]);
    evaluate(&mut tracker, "v1 v2 v3", 3_000..4_000);
    let [v1, v2, v3] = traffic(&tracker, "v1 v2 v3", ["v1", "v2", "v3"]);
    assert!(v2 == 0 && v3 > 0 && v3 <= UNPROVEN && v1 + v3 == 1_000, "{v1}, {v2}, {v3}");
}

#[test]
fn same_order_again_changes_nothing() {
    let mut tracker = moving_to_v2();
    evaluate(&mut tracker, "v1 v2", 0..3_000);
    let before = traffic(&tracker, "v1 v2", ["v1", "v2"]);
    order(&mut tracker, "v2", SECOND);
    assert_eq!(traffic(&tracker, "v1 v2", ["v1", "v2"]), before);
}

/// Where the traffic is after orders in succession, of which a node may have missed the first: the
/// store keeps the newest one of a service only. Requests aren't refused because the version that
/// they belong to is out of reach.
#[parameterized(
    back_and_forth = { &["v2", "v1", "v2"], "v1 v2", [1_000, 0, 0] },
    no_servers = { &["v2", "v3"], "v1 v2", [1_000, 0, 0] },
    servers_out_of_reach = { &["v2", "v3"], "v1 v2 | v3", [1_000, 0, 0] },
    back_out_of_reach = { &["v2", "v1"], "v2 | v1", [0, 1_000, 0] },
    missed_the_first_and_back = { &["v1"], "v1 v2", [1_000, 0, 0] },
    missed_the_first_of_three = { &["v3"], "v1 v2 v3", [1_000, 0, 0] },
)]
fn orders_leave_the_traffic_where_it_is(orders: &[&str], at: &str, expected: [usize; 3]) {
    let mut tracker = lived();
    for (to, record) in orders.iter().zip(FIRST..) {
        order(&mut tracker, to, record);
        if record == FIRST && *to == "v2" {
            // It gets all traffic, and only the end of the move is missing.
            evaluate(&mut tracker, "v1 v2", 0..12_250);
        }
    }
    assert_eq!(traffic(&tracker, at, ["v1", "v2", "v3"]), expected);
}

/// The verdict on the first order's version arrives after the second order.
#[test]
fn late_verdict_on_the_version_before_changes_nothing() {
    let mut tracker = moving_to_v2();
    let mut late = tracker.delta_since(TrackerRevision(0));
    let bad = Some(BadReason { kind: BadKind::Failing, route: None });
    let state = MoveState { bad, ..MoveState::default() };
    let asked = ConfigVersion(FIRST + 1);
    late.services[0].states.push(MoveStateUpdate { asked, state });
    order(&mut tracker, "v1", SECOND);
    tracker.merge(late);
    assert_eq!(traffic(&tracker, "v1 v2", ["v1", "v2"]), [1_000, 0]);
}

#[test]
fn node_that_was_cut_off_does_not_rely_on_what_it_saw() {
    let mut tracker = lived();
    tracker.observe_incumbents(&table("v1 | v1"), Standing::Minority);
    tracker.observe_incumbents(&table("v1 v2"), Standing::Majority);
    order(&mut tracker, "v2", SECOND);
    assert_eq!(traffic(&tracker, "v1 v2", ["v1", "v2"]), [1_000, 0]);
    let mut cut_off = started();
    cut_off.observe_incumbents(&table("v2"), Standing::Minority);
    order(&mut cut_off, "v2", FIRST);
    assert_eq!(traffic(&cut_off, "v1 v2", ["v1", "v2"]), [1_000, 0]);
}

#[test]
fn node_that_starts_between_the_orders_learns_it_from_the_others() {
    let mut other = lived();
    order(&mut other, "v2", FIRST);
    let mut tracker = started();
    tracker.observe_incumbents(&table("v1 v2 v2"), Standing::Majority);
    tracker.merge(other.delta_since(TrackerRevision(0)));
    order(&mut tracker, "v1", SECOND);
    assert_eq!(traffic(&tracker, "v1 v2", ["v1", "v2"]), [1_000, 0]);
}

/// All nodes lose power between the orders, and only the stored status of the first remains.
#[parameterized(
    back = { "v1", MovePhase::Running, [1_000, 0, 0] },
    third_version = { "v3", MovePhase::Running, [1_000, 0, 0] },
    third_after_a_bad_one = { "v3", MovePhase::TakenBack, [1_000, 0, 0] },
    third_after_a_good_one = { "v3", MovePhase::Done, [0, 1_000, 0] },
)]
fn nodes_that_all_started_learn_it_from_the_status(
    to: &str,
    phase: MovePhase,
    expected: [usize; 3],
) {
    let status = MoveStatus {
        service: gate(),
        version: version("v2"),
        from: Some(version("v1")),
        asked: ConfigVersion(FIRST + 1),
        phase,
        since: WallMillis(0),
    };
    let mut status_first = started();
    status_first.merge_status(&status);
    order(&mut status_first, to, SECOND);
    let mut order_first = started();
    order(&mut order_first, to, SECOND);
    order_first.merge_status(&status);
    for tracker in [&status_first, &order_first] {
        assert_eq!(traffic(tracker, "v1 v2 v3", ["v1", "v2", "v3"]), expected);
    }
}

#[test]
fn status_names_the_version_that_carried_the_traffic() {
    let mut tracker = moving_to_v2();
    evaluate(&mut tracker, "v1 v2", 0..500);
    assert_eq!(tracker.status(&table("v1 v2")).unwrap().from, Some(version("v1")));
}

/// A node without any memory knows both orders: no other version can have carried the traffic.
#[test]
fn version_that_is_left_over_carried_the_traffic() {
    let mut tracker = started();
    order(&mut tracker, "v2", FIRST);
    order(&mut tracker, "v1", SECOND);
    assert_eq!(traffic(&tracker, "v1 v2", ["v1", "v2"]), [1_000, 0]);
    let mut guessed = started();
    order(&mut guessed, "v2", FIRST);
    order(&mut guessed, "v3", SECOND);
    assert_eq!(traffic(&guessed, "v2 v3 | v1", ["v2", "v3"]), [1_000, 0]);
    // Alone, it is as after any move whose old version has no server.
    assert_eq!(guessed.split(&table("v3").services[&gate()], &gate()).unwrap().old_version(), None);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Nodes of which each has read some of the orders, and some of which have just started, agree
    /// once they have heard of each other. Unless a move was done, a version other than the first
    /// and the last ordered gets nothing, and the last one nothing before it is evaluated.
    #[test]
    fn nodes_agree_on_what_carries_the_traffic(
        targets in prop::collection::vec(1..5_u8, 1..6),
        read in prop::collection::vec(prop::collection::vec(any::<bool>(), 6), 1..4),
        started_late in prop::collection::vec(any::<bool>(), 4),
    ) {
        // The first node has lived and has read the newest order, as each node has at some time.
        let mut nodes: Vec<MoveTracker> = Vec::new();
        for (node, read) in read.iter().enumerate() {
            let mut tracker = if node > 0 && started_late[node] { started() } else { lived() };
            for (i, to) in targets.iter().enumerate() {
                if read[i] || i + 1 == targets.len() {
                    order(&mut tracker, &format!("v{to}"), FIRST + i as u64);
                }
            }
            nodes.push(tracker);
        }
        let gossip: Vec<_> = nodes.iter().map(|n| n.delta_since(TrackerRevision(0))).collect();
        let all = "v1 v2 v3 v4";
        for (node, tracker) in nodes.iter_mut().enumerate() {
            for i in 0..gossip.len() {
                tracker.merge(gossip[(i + node) % gossip.len()].clone());
            }
            let shares = traffic(tracker, all, ["v1", "v2", "v3", "v4"]);
            prop_assert_eq!(shares, [1_000, 0, 0, 0], "node {} of orders {:?}", node, targets);
        }
    }
}
