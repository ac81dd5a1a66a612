//! The wait for neighbours before a newer configuration is applied.

use std::time::Duration;

use savorykeel_policy::{
    config::fold::Position,
    distribution::hold::{ApplyHold, WITNESS_ACK_TIMEOUT},
    time::Tick,
};
use yare::parameterized;

/// Versions that come faster than the wait ends, while no neighbour answers.
#[parameterized(
    much_faster = { 10 },
    faster = { 100 },
    as_fast = { 250 },
    slower = { 400 },
)]
fn newer_positions_do_not_restart_the_wait(interval_ms: u64) {
    let mut hold = ApplyHold::default();
    let first = Tick(1_000);
    for version in 0..100 {
        let now = first + Duration::from_millis(version * interval_ms);
        let ends_at = now + hold.start(now);
        assert!(ends_at <= now.max(first + WITNESS_ACK_TIMEOUT), "version {version}");
    }
}

#[test]
fn the_wait_ends_only_with_the_newest_held_position() {
    let mut hold = ApplyHold::default();
    assert_eq!(hold.start(Tick(1_000)), WITNESS_ACK_TIMEOUT);
    hold.record_applied(Position(5), Position(6));
    assert_eq!(hold.start(Tick(1_100)), Duration::from_millis(150));
    hold.record_applied(Position(6), Position(6));
    assert_eq!(hold.start(Tick(1_200)), WITNESS_ACK_TIMEOUT);
}
