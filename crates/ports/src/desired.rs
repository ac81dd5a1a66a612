//! The configuration port of a platform that stores the configuration itself.
//!
//! By default operators publish through the log, and every node folds the same records. A
//! platform may store the newest configuration instead; nodes then apply it without deciding
//! on publishes or storing anything.

use std::time::Duration;

use savorykeel_policy::{
    config::{fold::Position, raw::RawConfiguration},
    evacuation::StoredEvacuations,
    ids::ZoneName,
    moves::{orders::MoveOrder, status::MoveStatus},
};

use crate::log::LogError;

/// The configuration that operators have requested.
#[derive(Debug, Clone, PartialEq)]
pub struct Desired {
    /// Number that operators assigned to the configuration. It only increases, also when the
    /// platform's store comes back from an older copy.
    pub number: u64,
    /// The complete configuration.
    pub configuration: RawConfiguration,
}

impl Desired {
    /// Returns the position of the configuration, which orders the states of nodes. Zero is the
    /// position of a node without configuration.
    pub fn position(&self) -> Position {
        Position(self.number.saturating_add(1))
    }
}

/// Result of a read of the desired configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DesiredRead {
    /// The newest configuration, if one was written since the last read.
    pub configuration: Option<Box<Desired>>,
    /// The newest order of each service for which one was written since the last read. Known
    /// ones are repeated when the store is read anew.
    pub orders: Vec<MoveOrder>,
    /// All records about evacuations, as of the end of the read.
    pub evacuations: StoredEvacuations,
    /// Problems of documents that can't be used; the previous ones stay in force.
    pub unusable: Vec<String>,
    /// Unknown values in documents that are used, with what they were replaced by.
    pub warnings: Vec<String>,
}

/// Configuration and move statuses that a platform stores for operators.
#[allow(async_fn_in_trait)]
pub trait DesiredState {
    /// Returns whether the platform stores the configuration; otherwise operators publish it
    /// through the log.
    fn is_stored_by_platform(&self) -> bool;

    /// Returns the changes since the last read, waiting up to `wait` for one.
    async fn read_desired(&self, wait: Duration) -> Result<DesiredRead, LogError>;

    /// Writes whether the evacuation of a zone is requested. Once this returns, it is in force
    /// unless it is revoked later.
    async fn store_evacuation(&self, zone: &ZoneName, is_requested: bool) -> Result<(), LogError>;

    /// Stores the status of a move; it replaces the previous status of the same service.
    async fn store_status(&self, status: &MoveStatus) -> Result<(), LogError>;

    /// Returns the stored statuses; unreadable ones are omitted.
    async fn statuses(&self) -> Result<Vec<MoveStatus>, LogError>;
}
