//! How a service's calls are split between two versions.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::BackendVersion;

use super::state::Permille;

/// The versions of one service that take calls now, with their shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSplit {
    new: BackendVersion,
    old: Option<BackendVersion>,
    share: Permille,
    seed: u64,
}

impl VersionSplit {
    /// Gives all calls to one version.
    pub fn single(version: BackendVersion) -> Self {
        Self { new: version, old: None, share: Permille::FULL, seed: 0 }
    }

    /// Gives `share` of the calls to `new` and the others to `old`.
    ///
    /// The seed is the move's number, so that the callers who meet a new version
    /// first aren't the same at every move.
    pub fn between(old: BackendVersion, new: BackendVersion, share: Permille, seed: u64) -> Self {
        Self { new, old: Some(old), share, seed }
    }

    /// Returns the version that takes a call.
    ///
    /// The hash stands for the caller or the key, so that a call which is sent
    /// again meets the same version. Raising the share only moves hashes from the
    /// old version to the new one.
    pub fn choose(&self, stickiness_hash: u64) -> &BackendVersion {
        let Some(old) = &self.old else { return &self.new };
        let mixed = xxh3_64_with_seed(&stickiness_hash.to_le_bytes(), self.seed);
        let is_new = mixed % u64::from(Permille::FULL.0) < u64::from(self.share.0);
        if is_new { &self.new } else { old }
    }

    /// Returns the version to try when no backend server of `chosen` can be
    /// reached, or none.
    ///
    /// The old version may always stand in. The new one stands in only once it
    /// carries all calls, because its share is bounded until then.
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

    /// Returns the version that loses traffic, when there is one.
    pub fn old_version(&self) -> Option<&BackendVersion> {
        self.old.as_ref()
    }

    /// Returns the new version's share.
    pub fn share(&self) -> Permille {
        self.share
    }
}
