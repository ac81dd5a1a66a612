//! What operators read about a move, and the record of its end.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{BackendVersion, ConfigVersion, ServiceName},
    time::WallMillis,
};

use super::{
    ramp::DeadlineNote,
    state::{BadReason, MoveState, Permille},
};

/// Where a move stands.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No live instance of the new version is known.
    WaitingForInstances,
    /// The share rises.
    Rising,
    /// The share can't rise: the new version has too few slots.
    WaitingForCapacity,
    /// All traffic reached the new version.
    Done,
    /// All traffic reached the new version, which is compared once more.
    Rechecking,
    /// The new version is bad and gets no traffic.
    TakenBack,
}

/// Calls that one version ran during the move, as the answering node knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that ended.
    pub run: u64,
    /// Calls of these that failed.
    pub failed: u64,
}

/// A move as operators read it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveReport {
    /// Service that moves.
    pub service: ServiceName,
    /// Version of the configuration that asked for the move: the move's id.
    #[serde(rename = "move")]
    pub asked: ConfigVersion,
    /// Version that loses traffic.
    pub from: Option<BackendVersion>,
    /// Version that gains traffic.
    pub to: BackendVersion,
    /// Where the move stands.
    pub phase: Phase,
    /// Share of traffic that the new version gets now, in thousandths.
    pub share_permille: Permille,
    /// Time by which the configuration asks for the whole share.
    pub by: Option<WallMillis>,
    /// How that time was understood; only a node of the service knows.
    pub by_note: Option<DeadlineNote>,
    /// Why the version was taken back.
    pub reason: Option<BadReason>,
    /// Calls of the old version.
    pub old: CallCounts,
    /// Calls of the new version.
    pub new: CallCounts,
    /// Whether too few calls ran to show a fault.
    pub is_evidence_thin: bool,
}

/// The end of a move as it is kept in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveEnding {
    /// Number of the record's format.
    pub format: u32,
    /// Service that moved.
    pub service: ServiceName,
    /// The move's id.
    #[serde(rename = "move")]
    pub asked: ConfigVersion,
    /// Version that the service moved to.
    pub to: BackendVersion,
    /// Version that it moved from.
    pub from: Option<BackendVersion>,
    /// State at the end.
    pub state: MoveState,
    /// When the writer saw the end.
    pub at: WallMillis,
    /// Calls of the old version as the writer knew.
    pub old: CallCounts,
    /// Calls of the new version as the writer knew.
    pub new: CallCounts,
}

/// Format of [`MoveEnding`].
pub const ENDING_FORMAT: u32 = 1;

/// How a move between versions stands, as operators read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MovePhase {
    /// The share of the new version rises.
    Running,
    /// All traffic reached the new version.
    Done,
    /// The new version is bad and gets no traffic.
    TakenBack,
}

/// What the platform keeps for operators about a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveStatus {
    /// Service that moves.
    pub service: ServiceName,
    /// Version that gains traffic.
    pub version: BackendVersion,
    /// Position at which the move was asked for: the move's id.
    pub asked: ConfigVersion,
    /// How the move stands.
    pub phase: MovePhase,
    /// When the first node of the service saw the move.
    pub since: WallMillis,
}
