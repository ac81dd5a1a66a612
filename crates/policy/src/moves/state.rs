//! The state of a move as a join-semilattice.
//!
//! Every field merges by taking the greater value, so the state is a product of
//! join-semilattices: a node that was paused, or whose update is reordered with
//! another, can't undo a decision.

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, RouteName, ServiceName};

/// A share of a service's traffic, in thousandths.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Permille(pub u16);

impl Permille {
    /// No traffic.
    pub const NONE: Self = Self(0);

    /// All traffic.
    pub const FULL: Self = Self(1_000);

    /// Converts a fraction from 0 to 1, rounding down; values outside are clamped.
    pub fn from_share(share: f64) -> Self {
        Self((share.clamp(0.0, 1.0) * 1_000.0) as u16)
    }
}

/// Largest share of the new version while a recheck compares it with the old
/// version because of a suspected fault.
///
/// The old version then carries nearly the load that the new one had, which
/// separates the effect of load from a fault of the new version.
pub const RECHECK_SHARE: Permille = Permille(200);

/// Kind of fault for which a version is rolled back.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum BadKind {
    /// The new version fails more often than the old one on the same routes.
    Failing,
    /// The new version is slower than the old one on the same routes.
    Slow,
    /// The new version fails or is slow with all traffic and recovers with a part
    /// of it.
    UnderLoad,
    /// Backend servers of the new version end without announcing it.
    Crashing,
}

/// Why a version was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BadReason {
    /// Kind of the fault.
    pub kind: BadKind,
    /// Route with the fault; none when all routes together showed it.
    pub route: Option<RouteName>,
}

/// Identifies a move.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MoveKey {
    /// Service whose traffic moves.
    pub service: ServiceName,
    /// Version of the configuration that asked for the move.
    pub asked: ConfigVersion,
}

/// Progress and outcome of a move, as all nodes merge it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveState {
    /// Largest share that the new version has been given.
    pub share: Permille,
    /// Number of rechecks begun and ended; odd while a recheck runs.
    pub rechecks: u32,
    /// Whether the move was completed, with all traffic on the new version.
    pub done: bool,
    /// Why the new version was rolled back; none while it was not.
    pub bad: Option<BadReason>,
}

impl MoveState {
    /// Merges `other` into the state and returns whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let merged = self.joined(other);
        let is_changed = merged != *self;
        *self = merged;
        is_changed
    }

    /// Returns the least upper bound (the join) of both states.
    pub fn joined(&self, other: &Self) -> Self {
        Self {
            share: self.share.max(other.share),
            rechecks: self.rechecks.max(other.rechecks),
            done: self.done || other.done,
            bad: self.bad.clone().max(other.bad.clone()),
        }
    }

    /// Returns whether a recheck compares the versions after the move was done.
    pub fn is_rechecking(&self) -> bool {
        self.rechecks % 2 == 1
    }

    /// Returns the share of traffic that the new version currently gets, before
    /// the limit set by its capacity.
    pub fn effective_share(&self) -> Permille {
        if self.bad.is_some() {
            return Permille::NONE;
        }
        if self.is_rechecking() {
            return self.share.min(RECHECK_SHARE);
        }
        self.share
    }
}
