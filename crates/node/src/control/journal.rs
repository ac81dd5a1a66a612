//! The journal of applied versions, which tests read.
//!
//! Each line tells what came into force on this node, so that a test can assert
//! from outside that no node went backwards or applied a part.

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
    /// Incarnation of the node, which tells its lives apart.
    pub incarnation: u64,
    /// Wall-clock time.
    pub at: WallMillis,
    /// The version.
    pub version: ConfigVersion,
    /// Position of the fold.
    pub position: Position,
    /// Digest of the configuration, the same on every node for one version.
    pub digest: Digest,
    /// Number of services in the table.
    pub services: usize,
    /// Number of routes in the table.
    pub routes: usize,
}

/// Writes lines to a file.
#[derive(Debug)]
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens the file; lines are added to those that it holds.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { file })
    }

    /// Adds a line.
    pub fn write(&mut self, applied: &Applied) -> io::Result<()> {
        let mut line = serde_json::to_vec(applied)?;
        line.push(b'\n');
        self.file.write_all(&line)
    }
}
