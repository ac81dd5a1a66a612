//! Reads a node's journal of applied configuration versions.

use std::{fs, path::Path};

use serde::Deserialize;

/// One line of the journal; fields that tests don't use are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Applied {
    /// The configuration version.
    pub version: u64,
}

/// Reads a journal, which is empty until the node applies its first version.
pub fn read(file: &Path) -> Vec<Applied> {
    let text = fs::read_to_string(file).unwrap_or_default();
    // A line without a line feed is still being written.
    let complete_lines = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
    complete_lines.map(|line| serde_json::from_str(line).expect("a journal line is JSON")).collect()
}

/// Panics when a version is lower than the one before it.
#[track_caller]
pub fn assert_versions_never_decrease(applied: &[Applied]) {
    for pair in applied.windows(2) {
        assert!(pair[0].version <= pair[1].version, "applied version decreased: {applied:?}");
    }
}
