//! Reports on moves for operators, and the stored records of their status and end.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendVersion, ConfigVersion, ServiceName},
    time::WallMillis,
};

use super::{
    ramp::DeadlineNote,
    state::{BadReason, MoveState, Permille},
};

/// Detailed phase of a move, as operators read it from a node.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No live instance of the new version is known.
    WaitingForInstances,
    /// The share of the new version rises.
    Rising,
    /// The new version has too few slots for the share that it has reached.
    WaitingForCapacity,
    /// All traffic goes to the new version.
    Done,
    /// The move was done, and a recheck compares the versions again.
    Rechecking,
    /// The new version was found bad, was rolled back and gets no traffic.
    TakenBack,
}

/// Calls that one version ran during the move, as counted by the reporting node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that ended.
    pub run: u64,
    /// Ended calls that failed.
    pub failed: u64,
}

/// A node's report to operators on a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version of the configuration that requested the move: the move's id.
    #[serde(rename = "move")]
    pub asked: ConfigVersion,
    /// Version that loses traffic, when there is one.
    pub from: Option<BackendVersion>,
    /// Version that gains traffic.
    pub to: BackendVersion,
    /// Phase of the move.
    pub phase: Phase,
    /// Share of traffic that the new version currently gets, in thousandths.
    pub share_permille: Permille,
    /// Time by which all traffic should go to the new version.
    pub by: Option<WallMillis>,
    /// How that time was derived; only nodes of the service report it.
    pub by_note: Option<DeadlineNote>,
    /// Why the new version was rolled back.
    pub reason: Option<BadReason>,
    /// Calls that the old version ran.
    pub old: CallCounts,
    /// Calls that the new version ran.
    pub new: CallCounts,
    /// Whether the new version ran too few calls to reveal a fault.
    pub is_evidence_thin: bool,
}

/// The end of a move, as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveEnding {
    /// Number of the record's format.
    pub format: u32,
    /// Service whose traffic moved.
    pub service: ServiceName,
    /// The move's id.
    #[serde(rename = "move")]
    pub asked: ConfigVersion,
    /// Version that gained traffic.
    pub to: BackendVersion,
    /// Version that lost traffic, when there was one.
    pub from: Option<BackendVersion>,
    /// State of the move at its end.
    pub state: MoveState,
    /// Wall-clock time at which the writer recorded the end.
    pub at: WallMillis,
    /// Calls of the old version that the writer had counted.
    pub old: CallCounts,
    /// Calls of the new version that the writer had counted.
    pub new: CallCounts,
}

/// Current value of [`MoveEnding::format`].
pub const ENDING_FORMAT: u32 = 1;

/// Phase of a move in the platform's store.
///
/// It is coarser than [`Phase`]: the stored status changes only when a move is done
/// or rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MovePhase {
    /// The move has neither been done nor rolled back.
    Running,
    /// All traffic goes to the new version.
    Done,
    /// The new version was rolled back and gets no traffic.
    TakenBack,
}

/// Status of a move in the platform's store, where operators read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveStatus {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version that gains traffic.
    pub version: BackendVersion,
    /// Version that carried the traffic before, if it is known.
    pub from: Option<BackendVersion>,
    /// Version of the configuration that requested the move: the move's id.
    pub asked: ConfigVersion,
    /// Phase of the move.
    pub phase: MovePhase,
    /// Wall-clock time at which the first node of the service detected the move.
    pub since: WallMillis,
}

impl MoveStatus {
    /// Returns whether a newer status has to replace this one in the store.
    ///
    /// Nodes may know the same move under several ids, of which `next` has the lowest; the
    /// status of that move is replaced only by a later phase.
    pub fn is_replaced_by(&self, next: &Self) -> bool {
        if self.version == next.version && self.asked >= next.asked {
            return self.phase < next.phase;
        }
        self.asked <= next.asked
    }
}
