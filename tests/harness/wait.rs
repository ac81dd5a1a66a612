//! Waits until a condition holds.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Longest wait for a condition; long enough for a heavily loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the condition holds; panics with `what` after [`TIMEOUT`].
#[track_caller]
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    eventually_some(what, || condition().then_some(()));
}

/// Waits until there is a value and returns it; panics with `what` after
/// [`TIMEOUT`].
#[track_caller]
pub fn eventually_some<T>(what: &str, mut value: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = value() {
            return value;
        }
        assert!(Instant::now() < deadline, "condition not met within {TIMEOUT:?}: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
