//! Tests of which stored status of a move is replaced.

use savorykeel_policy::{
    ids::{BackendVersion, ConfigVersion, ServiceName},
    moves::status::{MovePhase, MoveStatus},
    time::WallMillis,
};

fn status(version: &str, asked: u64, phase: MovePhase) -> MoveStatus {
    MoveStatus {
        service: ServiceName::try_from("gate").unwrap(),
        version: BackendVersion::try_from(version).unwrap(),
        from: None,
        asked: ConfigVersion(asked),
        phase,
        since: WallMillis(1),
    }
}

#[test]
fn later_phase_replaces_an_earlier_one_of_the_same_move() {
    use MovePhase::{Done, Running, TakenBack};
    // A node that started after the store's return may have stored it under a higher id.
    for stored_id in [9, 14] {
        for (stored, next) in [(Running, Done), (Running, TakenBack), (Done, TakenBack)] {
            let stored = status("v2", stored_id, stored);
            let next = status("v2", 9, next);
            assert!(stored.is_replaced_by(&next), "{stored:?} by {next:?}");
            let back = MoveStatus { asked: stored.asked, ..next.clone() };
            let older = MoveStatus { asked: next.asked, ..stored.clone() };
            assert!(!back.is_replaced_by(&older), "{back:?} by {older:?}");
            assert!(!stored.is_replaced_by(&older), "{stored:?} by {older:?}");
        }
    }
}

#[test]
fn status_of_a_later_move_replaces_and_is_not_replaced() {
    let earlier = status("v2", 9, MovePhase::TakenBack);
    for later in [status("v3", 12, MovePhase::Running), status("v2", 12, MovePhase::Running)] {
        assert!(earlier.is_replaced_by(&later));
    }
    let later = status("v3", 12, MovePhase::Running);
    assert!(!later.is_replaced_by(&earlier));
}
