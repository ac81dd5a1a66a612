//! The merge of two statements about one node.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::InstanceName;

use super::entry::{Liveness, NodeRecord, Stamp};

/// A node's own record with what the nodes make of its silence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What the node says of itself.
    pub record: Arc<NodeRecord>,
    /// How the nodes see it.
    pub liveness: Liveness,
}

/// What an entry says, without the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Which of its records is meant.
    pub rank: Rank,
}

/// Orders the statements about one node: the highest wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rank {
    /// Which of the node's records is meant.
    pub stamp: Stamp,
    /// How the nodes see the node since that record.
    pub liveness: Liveness,
}

impl Entry {
    /// Makes the entry of a node that answers.
    pub fn alive(record: NodeRecord) -> Self {
        Self { record: Arc::new(record), liveness: Liveness::Alive }
    }

    /// Returns the rank, which decides a merge.
    pub fn rank(&self) -> Rank {
        Rank { stamp: self.record.stamp, liveness: self.liveness }
    }

    /// Returns the statement without the record.
    pub fn statement(&self) -> Statement {
        Statement { instance: self.record.instance.clone(), rank: self.rank() }
    }

    /// Returns the same record, seen otherwise.
    pub fn with_liveness(&self, liveness: Liveness) -> Self {
        Self { record: self.record.clone(), liveness }
    }

    /// Returns the winner of two statements about one node.
    ///
    /// Only one process writes records of one incarnation. Should two processes
    /// carry one name all the same, the order of their bytes decides, so that
    /// all nodes decide alike.
    pub fn merge(self, other: Self) -> Self {
        if other.supersedes(&self) { other } else { self }
    }

    /// Tells whether a merge with `other` gives this entry.
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
