//! Tests of orders to move a service, as they are read from a store that may come back from an
//! older copy.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use savorykeel_policy::{
    config::{
        model::{Configuration, DueTime},
        raw::RawConfiguration,
    },
    ids::{BackendVersion, ConfigVersion, InstanceName, ServiceName, ZoneName},
    membership::{
        entry::{BackendRecord, Liveness, NodeRecord, Stamp},
        quorum::Standing,
    },
    moves::{
        orders::{MoveOrder, OrderOutcome, REPEAT_WINDOW, may_be_repeated},
        targets::{Target, Targets},
        tracker::{MoveTracker, TrackerRevision},
    },
    table::Table,
    time::{Tick, WallMillis},
};

fn gate() -> ServiceName {
    ServiceName::try_from("gate").unwrap()
}

fn order(version: &str, record: u64) -> MoveOrder {
    MoveOrder {
        service: gate(),
        version: BackendVersion::try_from(version).unwrap(),
        within: Duration::from_secs(12),
        record,
    }
}

/// Applies orders that were read in a row; no return of the store is recent.
fn apply(targets: &mut Targets, orders: &[(&str, u64)]) {
    for (version, record) in orders {
        targets.apply_order(&order(version, *record), false);
    }
}

fn history(targets: &Targets) -> Vec<(u64, String)> {
    let history = targets.history(&gate()).into_iter();
    history.map(|Target { asked, version, .. }| (asked.0, version.as_str().to_owned())).collect()
}

fn is_current(targets: &Targets, version: &str, id: u64) -> bool {
    history(targets).last() == Some(&(id, version.to_owned()))
}

#[test]
fn order_written_again_at_another_offset_is_the_same_move() {
    for record in [2, 8, 9, 40] {
        let mut targets = Targets::default();
        apply(&mut targets, &[("v1", 3), ("v2", 8)]);
        let outcome = targets.apply_order(&order("v2", record), true);
        assert_eq!(outcome, OrderOutcome::Known, "at {record}");
        assert!(is_current(&targets, "v2", 9), "{:?}", history(&targets));
    }
}

#[test]
fn older_order_in_the_copy_moves_nothing_back() {
    for is_return_recent in [true, false] {
        let mut targets = Targets::default();
        apply(&mut targets, &[("v1", 3), ("v2", 8)]);
        let outcome = targets.apply_order(&order("v1", 3), is_return_recent);
        assert_eq!(outcome, OrderOutcome::Known);
        assert!(is_current(&targets, "v2", 9), "{:?}", history(&targets));
    }
}

/// Two orders of one service were lost, and their operator writes both again.
#[test]
fn earlier_order_written_again_moves_nothing_back() {
    let mut targets = Targets::default();
    apply(&mut targets, &[("v1", 3), ("v2", 8), ("v1", 9), ("v3", 12)]);
    assert_eq!(targets.apply_order(&order("v2", 6), true), OrderOutcome::Held);
    assert_eq!(targets.apply_order(&order("v3", 7), true), OrderOutcome::Known);
    assert!(is_current(&targets, "v3", 13), "{:?}", history(&targets));
}

#[test]
fn order_given_anew_counts_once_the_return_is_over() {
    let mut targets = Targets::default();
    apply(&mut targets, &[("v1", 3), ("v2", 8)]);
    let anew = order("v1", 6);
    assert_eq!(targets.apply_order(&anew, true), OrderOutcome::Held);
    assert_eq!(targets.apply_order(&anew, false), OrderOutcome::New(ConfigVersion(10)));
    assert_eq!(targets.apply_order(&anew, false), OrderOutcome::Known);
    assert!(is_current(&targets, "v1", 10), "{:?}", history(&targets));
}

#[test]
fn order_that_was_never_seen_counts_at_once() {
    let mut targets = Targets::default();
    apply(&mut targets, &[("v1", 3), ("v2", 8)]);
    let new = order("v3", 5);
    assert_eq!(targets.apply_order(&new, true), OrderOutcome::New(ConfigVersion(10)));
    assert!(is_current(&targets, "v3", 10), "{:?}", history(&targets));
}

#[test]
fn same_target_with_another_time_is_the_same_move() {
    let mut targets = Targets::default();
    apply(&mut targets, &[("v1", 3), ("v2", 8)]);
    let longer = MoveOrder { within: Duration::from_secs(60), ..order("v2", 10) };
    targets.apply_order(&longer, false);
    assert!(is_current(&targets, "v2", 9), "{:?}", history(&targets));
    assert_eq!(targets.due(&gate()), Some(DueTime::Within(longer.within)));
}

/// A node that started after the return knows an order by the offset at which it stands now,
/// and one that missed the order before the return gets yet another id.
#[test]
fn nodes_that_read_an_order_at_different_offsets_agree() {
    let mut lived = MoveTracker::default();
    let mut missed = MoveTracker::default();
    let mut started = MoveTracker::default();
    lived.apply_order(&order("v1", 3), false);
    missed.apply_order(&order("v1", 3), false);
    started.apply_order(&order("v1", 3), false);
    lived.apply_order(&order("v2", 8), false);
    for tracker in [&mut lived, &mut missed, &mut started] {
        tracker.apply_order(&order("v2", 5), true);
    }
    let all = [&lived, &missed, &started].map(|t| t.delta_since(TrackerRevision(0)));
    let mut moves = Vec::new();
    for tracker in [&mut lived, &mut missed, &mut started] {
        for gossip in all.clone() {
            tracker.merge(gossip);
        }
        moves.push(tracker.delta_since(TrackerRevision(0)).services[0].targets.history());
    }
    assert_eq!(moves[0].len(), 2, "{:?}", moves[0]);
    assert_eq!(moves[0].last().unwrap().version.as_str(), "v2");
    assert!(moves.iter().all(|other| *other == moves[0]), "{moves:?}");
}

/// An order holds whatever configuration a node has applied; the target of a configuration
/// counts only once it is applied.
#[test]
fn order_does_not_wait_for_a_configuration() {
    let raw: RawConfiguration = serde_json::from_value(serde_json::json!({
        "format": 1,
        "services": {"gate": {"version": null}},
        "routes": [{"name": "open", "match": {"path": "/"}, "service": "gate", "idempotent": true}],
    }))
    .unwrap();
    let mut targets = Targets::default();
    apply(&mut targets, &[("v2", 900)]);
    targets.apply_configuration(ConfigVersion(4), &raw.try_into().unwrap());
    assert!(is_current(&targets, "v2", 901), "{:?}", history(&targets));
}

#[test]
fn orders_may_be_repeated_after_a_return_or_a_start() {
    let returned_at = Tick(60_000);
    let recent = returned_at + (REPEAT_WINDOW - Duration::from_millis(1));
    let over = returned_at + REPEAT_WINDOW;
    assert!(may_be_repeated(recent, Some(returned_at), Tick(0)));
    assert!(!may_be_repeated(over, Some(returned_at), Tick(0)));
    assert!(!may_be_repeated(recent, None, Tick(0)));
    assert!(may_be_repeated(recent, None, returned_at));
    assert!(may_be_repeated(recent, Some(Tick(1)), returned_at));
}

/// Guards against a running move that starts over when another node gives it an earlier id: its
/// deadline was counted anew from then on.
#[test]
fn move_that_gets_an_earlier_id_keeps_its_start() {
    let raw: RawConfiguration = serde_json::from_value(serde_json::json!({
        "format": 1,
        "services": {"gate": {"version": null}},
        "routes": [{"name": "open", "match": {"path": "/"}, "service": "gate", "idempotent": true}],
    }))
    .unwrap();
    let configuration: Arc<Configuration> = Arc::new(raw.try_into().unwrap());
    let nodes = [node("a", "v1"), node("b", "v2")];
    let members = nodes.iter().map(|node| (node, Liveness::Alive));
    let table = Table::build(ConfigVersion(1), configuration, members, &Default::default());
    let mut lived = MoveTracker::default();
    let (instance, zone) = ("a".try_into().unwrap(), "patras".try_into().unwrap());
    lived.set_local_backend(&instance, 1, &zone, &gate(), &order("v1", 0).version);
    lived.apply_order(&order("v2", 8), false);
    lived.evaluate(&table, Tick(1_000), WallMillis(1_000), Standing::Majority);
    assert_eq!(lived.status(&table).unwrap().since, WallMillis(1_000));
    let mut started = MoveTracker::default();
    started.apply_order(&order("v2", 5), true);
    lived.merge(started.delta_since(TrackerRevision(0)));
    lived.evaluate(&table, Tick(9_000), WallMillis(9_000), Standing::Majority);
    let status = lived.status(&table).unwrap();
    assert_eq!((status.asked, status.since), (ConfigVersion(6), WallMillis(1_000)));
}

/// What several nodes read in one life of the store and in the next: versions, each with the
/// offset at which a node reads it, and whether a return is recent.
fn reads() -> impl Strategy<Value = Vec<(u8, u64, bool)>> {
    proptest::collection::vec((1..4_u8, 0..20_u64, any::<bool>()), 0..6)
}

fn tracker_of(reads: &[(u8, u64, bool)]) -> MoveTracker {
    let mut tracker = MoveTracker::default();
    for (version, record, is_return_recent) in reads {
        tracker.apply_order(&order(&format!("v{version}"), *record), *is_return_recent);
    }
    tracker
}

fn merged(trackers: &[&[(u8, u64, bool)]]) -> Vec<Target> {
    let mut all = MoveTracker::default();
    for reads in trackers {
        all.merge(tracker_of(reads).delta_since(TrackerRevision(0)));
    }
    let services = all.delta_since(TrackerRevision(0)).services;
    services.first().map_or(Vec::new(), |service| service.targets.history())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Nodes that read different offsets in different orders agree once they have heard of each
    /// other, in whatever order and however often.
    #[test]
    fn nodes_agree_on_the_moves_that_they_read(a in reads(), b in reads(), c in reads()) {
        let expected = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &a, &b]), &expected);
        prop_assert_eq!(&merged(&[&b, &b, &c, &a, &c]), &expected);
    }

    /// Reading the order in force again, at any offset, changes nothing.
    #[test]
    fn order_in_force_is_never_a_new_move(reads in reads(), record in 0..40_u64) {
        let mut tracker = tracker_of(&reads);
        let before = tracker.delta_since(TrackerRevision(0));
        let newest = before.services.first().and_then(|s| s.targets.history().pop());
        if let Some(newest) = newest {
            let again = MoveOrder { version: newest.version, ..order("v1", record) };
            prop_assert_eq!(tracker.apply_order(&again, false), OrderOutcome::Known);
            prop_assert_eq!(tracker.delta_since(TrackerRevision(0)), before);
        }
    }
}

fn node(name: &str, version: &str) -> NodeRecord {
    NodeRecord {
        instance: InstanceName::try_from(name).unwrap(),
        stamp: Stamp::default(),
        zone: ZoneName::try_from("patras").unwrap(),
        region: "achaia".try_into().unwrap(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
        backend: Some(BackendRecord {
            service: gate(),
            version: BackendVersion::try_from(version).unwrap(),
            slots: 20,
            draining: false,
        }),
        applied: ConfigVersion(0),
    }
}
