//! The merge of two statements about one node.
//!
//! The merge is associative, commutative and idempotent, so that all tables agree
//! whatever the order and repetition in which statements arrive.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceName;

use super::entry::{Liveness, NodeRecord, Stamp};

/// A node's own record with the liveness that other nodes assign to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The record that the node published about itself.
    pub record: Arc<NodeRecord>,
    /// Liveness of the node as the other nodes see it.
    pub liveness: Liveness,
}

/// An entry without the content of its record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Rank of the entry.
    pub rank: Rank,
}

/// Orders the statements about one node: the highest wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// Stamp of the node's record.
    pub stamp: Stamp,
    /// Liveness that the nodes have assigned since that record.
    pub liveness: Liveness,
}

impl Entry {
    /// Creates the entry of a node that is alive.
    pub fn alive(record: NodeRecord) -> Self {
        Self { record: Arc::new(record), liveness: Liveness::Alive }
    }

    /// Returns the rank, which decides a merge first.
    pub fn rank(&self) -> Rank {
        Rank { stamp: self.record.stamp, liveness: self.liveness }
    }

    /// Returns the entry without the content of its record.
    pub fn statement(&self) -> Statement {
        Statement { instance: self.record.instance.clone(), rank: self.rank() }
    }

    /// Returns an entry of the same record with another liveness.
    pub fn with_liveness(&self, liveness: Liveness) -> Self {
        Self { record: self.record.clone(), liveness }
    }

    /// Returns the winner of two entries of one node.
    ///
    /// Only one process writes records of one incarnation. If two processes wrongly
    /// have the same name and rank, the order of the records' encoded bytes decides,
    /// so that all nodes choose the same one.
    pub fn merge(self, other: Self) -> Self {
        if other.supersedes(&self) { other } else { self }
    }

    /// Returns whether this entry replaces `other` in a merge.
    pub fn supersedes(&self, other: &Self) -> bool {
        match self.rank().cmp(&other.rank()) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => {
                self.record != other.record && self.bytes() > other.bytes()
            }
        }
    }

    fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(&*self.record).unwrap_or_default()
    }
}
