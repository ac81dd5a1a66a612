//! Waiting until a condition holds.

use std::{
    thread,
    time::{Duration, Instant},
};

/// Longest wait for a condition; generous, because the machine may be busy.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the condition holds and panics with `what` when it doesn't.
#[track_caller]
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    eventually_some(what, || condition().then_some(()));
}

/// Waits until there is a value and panics with `what` when there is none.
#[track_caller]
pub fn eventually_some<T>(what: &str, mut value: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = value() {
            return value;
        }
        assert!(Instant::now() < deadline, "waited {TIMEOUT:?} in vain: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
