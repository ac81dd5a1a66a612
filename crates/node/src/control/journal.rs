//! The journal of applied versions, which tests read.
//!
//! Each line describes a version that came into force on this node, so that a test
//! can check from outside that no node went back to an older version or applied
//! part of one.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
};

use savorykeel_policy::{
    config::{checkpoint::Digest, fold::Position},
    ids::{ConfigVersion, InstanceName},
    time::WallMillis,
};
use serde::{Deserialize, Serialize};

/// One line of the journal: a version that came into force on this node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of the node, which distinguishes its runs.
    pub incarnation: u64,
    /// Wall-clock time at which the version came into force.
    pub at: WallMillis,
    /// The version that came into force.
    pub version: ConfigVersion,
    /// Position of the fold, as an offset of the log.
    pub position: Position,
    /// Digest of the configuration, which is equal on all nodes for one version.
    pub digest: Digest,
    /// Number of services in the routing table.
    pub services: usize,
    /// Number of routes in the routing table.
    pub routes: usize,
}

/// Appends lines of JSON to a file.
#[derive(Debug)]
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens or creates the file; existing lines are preserved.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { file })
    }

    /// Appends a line.
    pub fn write(&mut self, applied: &Applied) -> io::Result<()> {
        let mut line = serde_json::to_vec(applied)?;
        line.push(b'\n');
        self.file.write_all(&line)
    }
}
