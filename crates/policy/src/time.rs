//! Time types of the decision logic: plain numbers that the caller passes in.

use std::{ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

/// A moment on the wall clock, in milliseconds since the Unix epoch.
///
/// It is meant for times that operators state or read and for records in the log.
/// Decisions otherwise use [`Tick`], because the wall clocks of two instances differ
/// and may step.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallMillis(pub u64);

/// A moment on a node's own monotonic clock, in milliseconds since its start.
///
/// Ticks of different nodes are not comparable and are never sent to other nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(pub u64);

impl Tick {
    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub fn since(self, earlier: Tick) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Tick;

    fn add(self, span: Duration) -> Tick {
        Tick(self.0.saturating_add(span.as_millis() as u64))
    }
}

impl Add<Duration> for WallMillis {
    type Output = WallMillis;

    fn add(self, span: Duration) -> WallMillis {
        WallMillis(self.0.saturating_add(span.as_millis() as u64))
    }
}
