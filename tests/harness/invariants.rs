//! Invariants that the journals of a fleet must satisfy under all faults.

use std::{collections::BTreeMap, fs};

use savorykeel_node::control::journal::Applied;
use savorykeel_policy::{
    config::{checkpoint::Digest, fold::Fold},
    ids::ConfigVersion,
};
use savorykeel_ports::log::CONFIGURATION_STREAM;

use super::{fleet::Fleet, settings::journal_file};

/// Digest of a configuration version and the numbers of its services and routes.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Content {
    digest: Digest,
    services: usize,
    routes: usize,
}

/// Folds the published configurations, so that journals can be checked even
/// after the log has expired the records.
#[derive(Default)]
pub struct InvariantChecker {
    fold: Fold,
    contents: BTreeMap<ConfigVersion, Content>,
}

impl InvariantChecker {
    /// Folds the records that were appended to the log since the last call; it must
    /// be called before the log expires any of them.
    #[track_caller]
    pub fn read_log(&mut self, fleet: &Fleet) {
        let records = fleet.log.records(CONFIGURATION_STREAM);
        let next = fleet.log.counts()[CONFIGURATION_STREAM].appends;
        let first = next - records.len() as u64;
        for (offset, body) in (first..).zip(&records) {
            self.fold.apply(offset, body);
            self.record_version();
        }
    }

    fn record_version(&mut self) {
        let (Some(raw), Some(configuration)) = (self.fold.raw(), self.fold.configuration()) else {
            return;
        };
        let bytes = postcard::to_stdvec(&**raw).expect("a configuration is encoded");
        let content = Content {
            digest: Digest(xxhash_rust::xxh3::xxh3_128(&bytes)),
            services: configuration.services.len(),
            routes: configuration.routes.len(),
        };
        self.contents.insert(self.fold.version(), content);
    }

    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.fold.version().0
    }

    /// Panics when a node applied a lower version than before, in any of its
    /// incarnations, or applied anything but a complete accepted version.
    #[track_caller]
    pub fn assert_invariants(&self, fleet: &Fleet) {
        for member in &fleet.members {
            let journal = read_journal(fleet, &member.identity.instance);
            assert!(!journal.is_empty(), "{} applied nothing", member.identity.instance);
            for pair in journal.windows(2) {
                let (before, after) = (&pair[0], &pair[1]);
                assert!(
                    before.version <= after.version,
                    "applied version decreased: {before:?} then {after:?}"
                );
            }
            for applied in &journal {
                let content = Content {
                    digest: applied.digest,
                    services: applied.services,
                    routes: applied.routes,
                };
                let accepted = self.contents.get(&applied.version);
                assert_eq!(accepted, Some(&content), "not an accepted version: {applied:?}");
            }
        }
    }
}

/// Reads a node's journal, which covers all of its incarnations.
#[track_caller]
pub fn read_journal(fleet: &Fleet, instance: &str) -> Vec<Applied> {
    let text = fs::read_to_string(journal_file(fleet.dir(), instance)).unwrap_or_default();
    let complete_lines = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
    complete_lines.map(|line| serde_json::from_str(line).expect("a journal line is JSON")).collect()
}
