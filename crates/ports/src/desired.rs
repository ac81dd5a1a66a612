//! The configuration port of a platform that keeps the configuration itself.
//!
//! Operators of the product publish through the log, and every node folds the
//! same records. A platform may keep the newest configuration for them instead;
//! then there is nothing to judge or to keep, and a node only follows it.

use std::time::Duration;

use savorykeel_policy::{
    config::{fold::Position, raw::RawConfiguration},
    moves::status::MoveStatus,
};

use crate::log::LogError;

/// The configuration that operators want.
#[derive(Debug, Clone, PartialEq)]
pub struct Desired {
    /// Orders the states: of two, the one at the higher position is newer.
    pub position: Position,
    /// Number that operators gave the configuration, for log lines.
    pub label: u64,
    /// The whole configuration.
    pub configuration: RawConfiguration,
}

/// What a read of the desired configuration gave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DesiredRead {
    /// The newest state, if it changed since the last read.
    pub changed: Option<Box<Desired>>,
    /// What is wrong with documents that can't be used; earlier ones hold in their
    /// place.
    pub unusable: Vec<String>,
}

/// The configuration that a platform keeps, and what it keeps for operators.
#[allow(async_fn_in_trait)]
pub trait DesiredState {
    /// Tells whether the platform keeps the configuration; otherwise operators
    /// publish it through the log.
    fn is_stored_by_platform(&self) -> bool;

    /// Returns what changed since the last read, waiting up to `wait` for it.
    async fn read_desired(&self, wait: Duration) -> Result<DesiredRead, LogError>;

    /// Keeps how a move stands; the newest status of a service replaces the last.
    async fn store_status(&self, status: &MoveStatus) -> Result<(), LogError>;

    /// Returns the statuses that are kept; what can't be read is left out.
    async fn statuses(&self) -> Result<Vec<MoveStatus>, LogError>;
}
