//! What a node decides on a move while it, or the old version, may be cut off.

mod fixtures;

use std::time::Duration;

use fixtures::{WITHIN_MS, evaluate, order, started, table, version};
use savorykeel_policy::{
    ids::RouteName,
    membership::quorum::Standing,
    moves::{
        evidence::{Ending, Observation},
        status::MovePhase,
        tracker::MoveTracker,
    },
    table::Table,
    time::{Tick, WallMillis},
};
use yare::parameterized;

/// Evaluates a move and returns when and how it ended, if it did.
fn end_of(
    tracker: &mut MoveTracker,
    table: &Table,
    standing: Standing,
    times: std::ops::Range<u64>,
) -> Option<(u64, MovePhase)> {
    let mut end = None;
    evaluate(tracker, table, standing, times, |tracker, now| {
        let phase = tracker.status(table).map(|status| status.phase);
        end = phase.filter(|phase| *phase != MovePhase::Running).map(|phase| (now, phase));
        end.is_none()
    });
    end
}

fn record_failures(tracker: &mut MoveTracker) {
    let route = RouteName::try_from("open").unwrap();
    let took = Duration::from_millis(5);
    let failed = Observation { ending: Ending::Failed, took, is_cold: false };
    (0..20).for_each(|_| tracker.record(&route, &version("v2"), failed));
}

/// Guards against a node that is cut off and completes a move, or raises its share: it sees no
/// server of the old version, or no failure of the new one, because it sees nothing.
#[parameterized(
    alone = { "v2", Standing::Alone },
    old_cut_off = { "v2 | v1", Standing::Minority },
    old_on_its_side = { "v2 v1", Standing::Minority },
    old_ended = { "v2 v1!", Standing::Minority },
)]
fn node_outside_the_majority_completes_nothing(servers: &str, standing: Standing) {
    let (mut tracker, table) = (started("v2"), table(servers));
    order(&mut tracker, "v2", 1);
    assert_eq!(end_of(&mut tracker, &table, standing, 0..10 * WITHIN_MS), None);
    let reports = tracker.reports(&table);
    assert!(reports[0].from.is_none() || reports[0].share_permille.0 == 0, "{reports:?}");
}

/// Guards against a good version that is taken back because the calls that it makes fail on a node
/// that is cut off; and against a bad one that stays because half of the nodes stand still, those
/// of the old version among them: all requests go to it then.
#[parameterized(
    alone = { "v2", Standing::Alone, None },
    beside_old = { "v2 v1", Standing::Alone, Some(MovePhase::TakenBack) },
    others_stand_still = { "v2 | v1", Standing::Minority, Some(MovePhase::TakenBack) },
)]
fn node_takes_back_what_fails_unless_it_is_alone(
    servers: &str,
    standing: Standing,
    expected: Option<MovePhase>,
) {
    let (mut tracker, table) = (started("v2"), table(servers));
    order(&mut tracker, "v2", 1);
    end_of(&mut tracker, &table, standing, 0..1_000);
    record_failures(&mut tracker);
    let end = end_of(&mut tracker, &table, standing, 1_000..2_000);
    assert_eq!(end.map(|(_, phase)| phase), expected);
    record_failures(&mut tracker);
    let end = end_of(&mut tracker, &table, Standing::Majority, 2_000..3_000);
    assert_eq!(end.unwrap().1, MovePhase::TakenBack);
}

/// Guards against a move that misses its deadline because its old version ended, as its nodes say.
/// One that can't be reached may be running behind a cut, where its end would cut requests: the
/// move waits for it as long as the deadline allows.
#[parameterized(
    crashed = { "v2 v1!", false, 0..=6_000 },
    crashed_after_a_move = { "v2 v1!", true, 0..=6_000 },
    drained = { "v2 v1~", false, 0..=6_000 },
    drained_after_a_move = { "v2 v1~", true, 0..=6_000 },
    cut_off = { "v2 | v1", false, 13_000..=14_500 },
    cut_off_after_a_move = { "v2 | v1", true, 13_000..=14_500 },
)]
fn old_version_is_waited_for_only_if_it_may_be_running(
    servers: &str,
    is_second_move: bool,
    expected: std::ops::RangeInclusive<u64>,
) {
    let mut tracker = started("v2");
    let mut ordered_at = 0;
    if is_second_move {
        order(&mut tracker, "v1", 1);
        let end = end_of(&mut tracker, &table("v1"), Standing::Majority, 0..2 * WITHIN_MS);
        ordered_at = end.unwrap().0;
        tracker.evaluate(&table(""), Tick(ordered_at), WallMillis(ordered_at), Standing::Majority);
    }
    order(&mut tracker, "v2", 2);
    let times = ordered_at..ordered_at + WITHIN_MS;
    let (at, phase) = end_of(&mut tracker, &table(servers), Standing::Majority, times).unwrap();
    assert_eq!(phase, MovePhase::Done);
    assert!(expected.contains(&(at - ordered_at)), "{}", at - ordered_at);
}
