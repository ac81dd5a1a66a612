//! Which side of a partition may take decisions that can't be taken back.

mod fixtures;

use std::{collections::BTreeSet, time::Duration};

use proptest::prelude::*;
use savorykeel_policy::{
    ids::InstanceName,
    membership::{
        entry::{Liveness, NodeRecord},
        failure::Silence,
        members::Members,
        merge::Entry,
        quorum::{FleetView, Quorum, RETIREMENT_TIME, Standing},
    },
    time::Tick,
};

const SECOND: u64 = 1_000;

fn name(n: usize) -> InstanceName {
    InstanceName::try_from(format!("node-{n:02}")).unwrap()
}

fn record(n: usize) -> NodeRecord {
    fixtures::node(name(n).as_str(), None)
}

/// Returns the table of a node that knows all nodes and reaches some of them.
fn table(size: usize, reached: &BTreeSet<usize>) -> Members {
    let own = *reached.first().unwrap();
    let mut members = Members::new(record(own), Tick(0));
    for n in (0..size).filter(|n| *n != own) {
        let liveness = if reached.contains(&n) { Liveness::Alive } else { Liveness::Unreachable };
        members.merge(Entry::alive(record(n)).with_liveness(liveness), Tick(0));
    }
    members
}

fn update(quorum: &mut Quorum, members: &Members, at: u64) -> bool {
    let unheard = BTreeSet::new();
    let view = FleetView { members, unheard: &unheard, silence: Silence::Few };
    quorum.update(&view, Tick(at));
    quorum.standing(Tick(at)) == Standing::Majority
}

/// Updates once a second and returns whether the node may decide at the end.
fn may_decide_after(quorum: &mut Quorum, members: &Members, seconds: std::ops::Range<u64>) -> bool {
    let mut may_decide = false;
    seconds.for_each(|second| may_decide = update(quorum, members, second * SECOND));
    may_decide
}

proptest! {
    /// However the nodes are divided, and however long that lasts, one side at most may decide;
    /// of two sides, one may.
    #[test]
    fn one_side_of_a_partition_decides(sides in prop::collection::vec(0_u8..3, 1..24), time in 3_u64..200) {
        let side = |of: u8| -> BTreeSet<usize> {
            (0..sides.len()).filter(|n| sides[*n] == of).collect()
        };
        let parts: Vec<_> = (0..3).map(side).filter(|part| !part.is_empty()).collect();
        let decides = |part: &BTreeSet<usize>| {
            may_decide_after(&mut Quorum::default(), &table(sides.len(), part), 0..time)
        };
        let deciding = parts.iter().filter(|part| decides(part)).count();
        prop_assert!(deciding <= 1);
        prop_assert!(parts.len() == 3 || deciding == 1);
    }
}

/// A node that reached all others before it was cut off never becomes the majority, however
/// long the cut lasts.
#[test]
fn cut_off_node_does_not_retire_the_others() {
    let mut quorum = Quorum::default();
    assert!(may_decide_after(&mut quorum, &table(4, &(0..4).collect()), 0..5));
    let alone = table(4, &BTreeSet::from([3]));
    let hours = 5..10 * RETIREMENT_TIME.as_secs();
    assert!(!may_decide_after(&mut quorum, &alone, hours));
}

#[test]
fn nodes_that_were_lost_for_good_stop_counting() {
    let mut quorum = Quorum::default();
    let first_loss = table(10, &(0..6).collect());
    assert!(may_decide_after(&mut quorum, &first_loss, 0..10));
    let second_loss = table(10, &(0..4).collect());
    assert!(!may_decide_after(&mut quorum, &second_loss, 10..20), "4 of 10");
    let mut quorum = Quorum::default();
    let retired_after = RETIREMENT_TIME.as_secs() + 2;
    assert!(may_decide_after(&mut quorum, &first_loss, 0..retired_after));
    let later = retired_after..retired_after + 10;
    assert!(may_decide_after(&mut quorum, &second_loss, later), "4 of the 6 that remained");
}

/// Guards against a node that was cut off and decides from evidence of before the cut.
#[test]
fn node_collects_evidence_after_a_cut() {
    let whole = table(5, &(0..5).collect());
    let alone = table(5, &BTreeSet::from([0]));
    let mut quorum = Quorum::default();
    assert!(may_decide_after(&mut quorum, &whole, 0..5));
    assert!(!may_decide_after(&mut quorum, &alone, 5..15));
    assert!(!update(&mut quorum, &whole, 15 * SECOND));
    assert!(!update(&mut quorum, &whole, 16 * SECOND));
    assert!(update(&mut quorum, &whole, 17 * SECOND));
}

#[test]
fn brief_loss_does_not_cost_the_evidence() {
    let whole = table(5, &(0..5).collect());
    let mut quorum = Quorum::default();
    assert!(may_decide_after(&mut quorum, &whole, 0..5));
    assert!(!update(&mut quorum, &table(5, &BTreeSet::from([0])), 5_000));
    assert!(update(&mut quorum, &whole, 5_500));
}

/// The table of a cut-off node in a large fleet shows few lost nodes for long, because it probes
/// few. Its silent probes show the cut.
#[test]
fn silent_probes_show_a_cut_before_the_table_does() {
    let whole = table(20, &(0..20).collect());
    let mut quorum = Quorum::default();
    assert!(may_decide_after(&mut quorum, &whole, 0..5));
    let unheard = BTreeSet::new();
    let view = FleetView { members: &whole, unheard: &unheard, silence: Silence::Most };
    quorum.update(&view, Tick(5 * SECOND));
    assert_eq!(quorum.standing(Tick(5 * SECOND)), Standing::Minority);
    quorum.update(&FleetView { silence: Silence::All, ..view }, Tick(6 * SECOND));
    assert_eq!(quorum.standing(Tick(6 * SECOND)), Standing::Alone);
}

/// A node that started behind a cut knows the others only from the log.
#[test]
fn nodes_that_were_announced_count_until_they_are_heard_of() {
    let alone = table(1, &BTreeSet::from([0]));
    let announced: BTreeSet<InstanceName> = (0..4).map(name).collect();
    let mut quorum = Quorum::default();
    let mut update = |members: &Members, second: u64| {
        let view = FleetView { members, unheard: &announced, silence: Silence::Few };
        quorum.update(&view, Tick(second * SECOND));
        quorum.standing(Tick(second * SECOND)) == Standing::Majority
    };
    assert!((0..120).all(|second| !update(&alone, second)));
    let whole = table(4, &(0..4).collect());
    let warm_up = Duration::from_secs(2).as_secs();
    assert!((120..125).any(|second| update(&whole, second) && second >= 120 + warm_up));
}

#[test]
fn nodes_that_leave_do_not_count() {
    let mut members = table(5, &(0..2).collect());
    for n in 2..5 {
        let gone = Entry::alive(record(n)).with_liveness(Liveness::Gone);
        members.merge(gone, Tick(0));
    }
    assert!(may_decide_after(&mut Quorum::default(), &members, 0..5));
}
