//! Splits the calls of a service between two versions.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::BackendVersion;

use super::state::Permille;

/// The versions of one service that currently take calls, with their shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSplit {
    new: BackendVersion,
    old: Option<BackendVersion>,
    share: Permille,
    seed: u64,
}

impl VersionSplit {
    /// Sends all calls to one version.
    pub fn single(version: BackendVersion) -> Self {
        Self { new: version, old: None, share: Permille::FULL, seed: 0 }
    }

    /// Sends `share` of the calls to `new` and the others to `old`.
    ///
    /// The seed is the move's id, so that different callers are the first to get
    /// the new version in each move.
    pub fn between(old: BackendVersion, new: BackendVersion, share: Permille, seed: u64) -> Self {
        Self { new, old: Some(old), share, seed }
    }

    /// Returns the version that takes a call.
    ///
    /// `stickiness_hash` is a hash of the caller or the idempotency key, so that a
    /// retried call goes to the same version. Raising the share only moves hashes
    /// from the old version to the new one.
    pub fn choose(&self, stickiness_hash: u64) -> &BackendVersion {
        let Some(old) = &self.old else { return &self.new };
        let mixed = xxh3_64_with_seed(&stickiness_hash.to_le_bytes(), self.seed);
        let is_new = mixed % u64::from(Permille::FULL.0) < u64::from(self.share.0);
        if is_new { &self.new } else { old }
    }

    /// Returns the version to try when no backend server of `chosen` can be
    /// reached, or none.
    ///
    /// The old version is always a valid fallback. The new one is a fallback only
    /// once it gets all calls, because its share is limited until then.
    pub fn fallback(&self, chosen: &BackendVersion) -> Option<&BackendVersion> {
        let old = self.old.as_ref()?;
        if *chosen == self.new {
            return Some(old);
        }
        (self.share == Permille::FULL).then_some(&self.new)
    }

    /// Returns the version that gains traffic.
    pub fn new_version(&self) -> &BackendVersion {
        &self.new
    }

    /// Returns the version that loses traffic, if there is one.
    pub fn old_version(&self) -> Option<&BackendVersion> {
        self.old.as_ref()
    }

    /// Returns the share of calls that the new version gets.
    pub fn share(&self) -> Permille {
        self.share
    }
}
