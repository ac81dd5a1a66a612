//! Client accounts of the configuration.

use savorykeel_policy::{accounts::KeyDigest, config::raw::RawAccount};

/// Returns the digest of a key, as the configuration lists it.
///
/// ```
/// let digest = savorykeel_operator::key_digest("example-key");
/// assert_eq!(digest.len(), 64);
/// ```
pub fn key_digest(key: &str) -> String {
    KeyDigest::of(key.as_bytes()).to_string()
}

/// Builder of a client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    pub(crate) raw: RawAccount,
}

impl Account {
    /// Returns an account without keys and without a quota.
    pub fn new(name: impl Into<String>) -> Self {
        Self { raw: RawAccount { name: name.into(), ..RawAccount::default() } }
    }

    /// Adds a key; only its digest is kept.
    pub fn key(self, key: &str) -> Self {
        self.key_digest(key_digest(key))
    }

    /// Adds a key by its digest.
    pub fn key_digest(mut self, digest: impl Into<String>) -> Self {
        self.raw.key_digests.push(digest.into());
        self
    }

    /// Sets the priority of the account's requests, 0 first, in place of the route's.
    pub fn priority(mut self, priority: u32) -> Self {
        self.raw.priority = Some(priority);
        self
    }

    /// Limits the account to a rate over all nodes together, and to `burst` requests above it
    /// at once.
    pub fn quota(mut self, requests_per_second: f64, burst: f64) -> Self {
        self.raw.requests_per_second = Some(requests_per_second);
        self.raw.burst = Some(burst);
        self
    }
}
