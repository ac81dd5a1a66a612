//! Remembers that a backend server was draining when the node next to it was restarted.
//!
//! The restarted node knows nothing of the report that its backend server leaves. An
//! announcement that was sent before that report may arrive after the restart, and would bring
//! the backend server back into use until the next one arrives. The other nodes still know; see
//! `docs/design/0013-platform.md`.

use std::time::Duration;

use crate::time::Tick;

use super::entry::NodeRecord;

/// Time for which a backend server isn't used after the restart: two periods of announcements,
/// within which one that is still draining says so again.
pub const RESTART_HOLD: Duration = Duration::from_secs(3);

/// What one node remembers of the backend server next to another node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum DrainMemory {
    /// It has not reported that it leaves.
    #[default]
    InUse,
    /// It reported this to the current incarnation of its node.
    Left,
    /// It reported this to an earlier incarnation; the current one was first seen at this time.
    LeftBeforeRestart(Tick),
}

impl DrainMemory {
    /// Returns the state after `before` was replaced by `after`.
    pub(super) fn after(self, before: &NodeRecord, after: &NodeRecord, now: Tick) -> Self {
        let is_restart = after.stamp.incarnation > before.stamp.incarnation;
        match (self, &after.backend) {
            (_, Some(backend)) if backend.draining => Self::Left,
            (Self::Left, _) if is_restart => Self::LeftBeforeRestart(now),
            // Another backend server has announced itself to the same node.
            (Self::Left, Some(_)) => Self::InUse,
            (memory, _) => memory,
        }
    }

    /// Returns whether the backend server must not be given new work.
    pub(super) fn withholds(self, now: Tick) -> bool {
        matches!(self, Self::LeftBeforeRestart(at) if now < at + RESTART_HOLD)
    }

    /// Returns whether the backend server was withheld until `now`.
    pub(super) fn is_over(self, now: Tick) -> bool {
        matches!(self, Self::LeftBeforeRestart(_)) && !self.withholds(now)
    }
}
