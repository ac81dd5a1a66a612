//! The state of a move as a value that only grows.
//!
//! Every field merges by taking the greater value, so the whole is a product of
//! join-semilattices: a node that was paused, or whose update crossed another,
//! can undo nothing.

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, RouteName, ServiceName};

/// A share of a service's traffic in thousandths.
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

    /// Returns the greatest share in thousandths that isn't above `share`.
    pub fn from_share(share: f64) -> Self {
        Self((share.clamp(0.0, 1.0) * 1_000.0) as u16)
    }
}

/// Share that a finished version keeps while its suspected fault is compared
/// with the old version.
///
/// The old version then carries nearly the load that the new one had, so that
/// load alone can be told from a fault.
pub const RECHECK_SHARE: Permille = Permille(200);

/// What showed that a version is bad.
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
    /// It fails more often than the old version does on the same routes.
    Failing,
    /// It is slower than the old version on the same routes.
    Slow,
    /// It fails or is slow with all traffic and recovers with a part of it.
    UnderLoad,
    /// Its backend servers end without leaving.
    Crashing,
}

/// Why a version was taken back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BadReason {
    /// What showed.
    pub kind: BadKind,
    /// The route on which it showed; none when all routes together showed it.
    pub route: Option<RouteName>,
}

/// Names one move.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MoveKey {
    /// Service that moves.
    pub service: ServiceName,
    /// Version of the configuration that asked for the move.
    pub asked: ConfigVersion,
}

/// How far a move has come.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveState {
    /// Largest share that the new version was given.
    pub share: Permille,
    /// Changes between watching and rechecking; odd while a recheck runs.
    pub rechecks: u32,
    /// Whether all traffic reached the new version.
    pub done: bool,
    /// Why the new version was taken back.
    pub bad: Option<BadReason>,
}

impl MoveState {
    /// Takes the greater of each field and tells whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let merged = self.joined(other);
        let is_changed = merged != *self;
        *self = merged;
        is_changed
    }

    /// Returns the least state that is no less than either.
    pub fn joined(&self, other: &Self) -> Self {
        Self {
            share: self.share.max(other.share),
            rechecks: self.rechecks.max(other.rechecks),
            done: self.done || other.done,
            bad: self.bad.clone().max(other.bad.clone()),
        }
    }

    /// Tells whether the new version is compared again after the move was done.
    pub fn is_rechecking(&self) -> bool {
        self.rechecks % 2 == 1
    }

    /// Returns the share of traffic that the new version gets now.
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
