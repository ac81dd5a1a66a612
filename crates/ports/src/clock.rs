//! The clock port: monotonic and wall-clock time, both in milliseconds.

use std::{sync::OnceLock, time::Instant};

use savorykeel_policy::time::{Tick, WallMillis};

static START: OnceLock<Instant> = OnceLock::new();

/// Reads the two clocks of a node.
///
/// A pair of functions rather than a trait, so that a test can pass two closures.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Returns the monotonic time since the process started.
    pub tick: fn() -> Tick,
    /// Returns the wall-clock time.
    pub wall: fn() -> WallMillis,
}

impl Default for Clock {
    fn default() -> Self {
        Self { tick: system_tick, wall: system_wall }
    }
}

fn system_tick() -> Tick {
    let start = START.get_or_init(Instant::now);
    Tick(start.elapsed().as_millis() as u64)
}

fn system_wall() -> WallMillis {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    WallMillis(since_epoch.map_or(0, |duration| duration.as_millis() as u64))
}
