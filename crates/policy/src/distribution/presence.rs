//! Presence records, through which starting nodes discover others in the log.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{InstanceName, ZoneName},
    membership::entry::NodeRecord,
    time::WallMillis,
};

/// Number of the only supported presence format.
pub const PRESENCE_FORMAT: u32 = 1;

/// Largest size of a presence record, in bytes.
pub const MAX_PRESENCE_BYTES: usize = 16 << 10;

/// Record by which a node announces its presence in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresenceRecord {
    /// Number of the format.
    pub format: u32,
    /// Time of the append by the node's wall clock.
    pub at: WallMillis,
    /// The node's own membership record.
    pub node: NodeRecord,
}

/// Reason for which a presence record can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid presence record: {0}")]
pub struct InvalidPresence(String);

impl PresenceRecord {
    /// Creates the record of a node.
    pub fn new(node: NodeRecord, at: WallMillis) -> Self {
        Self { format: PRESENCE_FORMAT, at, node }
    }

    /// Encodes the record for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses a record and checks its size and format.
    pub fn parse(body: &[u8]) -> Result<Self, InvalidPresence> {
        if body.len() > MAX_PRESENCE_BYTES {
            return Err(InvalidPresence(format!(
                "{} bytes exceed the limit of {MAX_PRESENCE_BYTES}",
                body.len()
            )));
        }
        let record: Self =
            serde_json::from_slice(body).map_err(|e| InvalidPresence(e.to_string()))?;
        if record.format != PRESENCE_FORMAT {
            return Err(InvalidPresence(format!("unknown format {}", record.format)));
        }
        Ok(record)
    }
}

/// Returns the last fresh record of each node of an availability zone.
///
/// A record is fresh while it is younger than `max_age`. A record from the future
/// counts as fresh too, because wall clocks differ.
pub fn fresh_in_zone<'a>(
    records: &'a [PresenceRecord],
    zone: &ZoneName,
    now: WallMillis,
    max_age: Duration,
) -> Vec<&'a PresenceRecord> {
    let is_fresh =
        |record: &&PresenceRecord| record.node.zone == *zone && record.at + max_age > now;
    let newest: BTreeMap<&InstanceName, &PresenceRecord> =
        records.iter().filter(is_fresh).map(|record| (&record.node.instance, record)).collect();
    newest.into_values().collect()
}
