//! Quarantine of requests that crash the backend servers that run them.
//!
//! When a backend server crashes, each request that it was running is a suspect: one of
//! them may be the cause and the others are innocent. Each backend server runs suspects
//! one at a time. A suspect that ends without a crash is cleared; one that is running
//! during a second crash is quarantined for a limited time. See
//! `docs/design/0006-load.md`.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{ids::ServiceName, time::Tick};

/// Number of crashes during a request after which it is quarantined.
pub const CRASHES_TO_QUARANTINE: u32 = 2;

/// Time after its last crash for which a request is a suspect.
pub const SUSPECT_TIME: Duration = Duration::from_secs(60);

/// Time after its last crash for which a request is quarantined.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Maximum number of tracked requests. While it is reached, further requests aren't
/// tracked and thus not quarantined.
const MAX_TRACKED: usize = 8_192;

/// Identifies repeated sends of the same request, whatever its headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request to a service.
    pub fn of(service: &ServiceName, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [service.as_str().as_bytes(), method.as_bytes(), target.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

/// Identifies one crash, because a crash may be reported more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Incarnation of the node next to the backend server.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Sequence number of the crash within that incarnation.
    pub number: u64,
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No recent crash is recorded for the request.
    Clear,
    /// The request runs, but a backend server runs one suspect at a time.
    Suspect,
    /// The request doesn't run.
    Quarantined,
}

#[derive(Debug)]
struct SuspectEntry {
    crashes: Vec<CrashId>,
    last_crash: Tick,
}

impl SuspectEntry {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_QUARANTINE as usize
    }

    fn is_expired(&self, now: Tick) -> bool {
        let limit = if self.is_quarantined() { QUARANTINE_TIME } else { SUSPECT_TIME };
        now.since(self.last_crash) > limit
    }
}

/// Requests that may crash backend servers, as recorded by one node.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, SuspectEntry>,
}

impl Quarantine {
    /// Records that a request was running when a backend server crashed.
    ///
    /// The same crash may be reported several times and in any order.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Tick) {
        if self.suspects.len() >= MAX_TRACKED {
            self.expire(now);
        }
        if self.suspects.len() >= MAX_TRACKED && !self.suspects.contains_key(&fingerprint) {
            return;
        }
        let entry = self
            .suspects
            .entry(fingerprint)
            .or_insert(SuspectEntry { crashes: Vec::new(), last_crash: now });
        if entry.is_quarantined() || entry.crashes.contains(&crash) {
            return;
        }
        entry.crashes.push(crash);
        entry.last_crash = now;
    }

    /// Records that a request ended without a crash, which clears a suspect.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        if self.suspects.get(&fingerprint).is_some_and(|s| !s.is_quarantined()) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Returns how a request is to be treated.
    pub fn status(&self, fingerprint: Fingerprint, now: Tick) -> QuarantineStatus {
        match self.suspects.get(&fingerprint).filter(|s| !s.is_expired(now)) {
            None => QuarantineStatus::Clear,
            Some(entry) if entry.is_quarantined() => QuarantineStatus::Quarantined,
            Some(_) => QuarantineStatus::Suspect,
        }
    }

    /// Removes requests whose time as a suspect or in quarantine has ended.
    pub fn expire(&mut self, now: Tick) {
        self.suspects.retain(|_, entry| !entry.is_expired(now));
    }

    /// Returns the number of tracked requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
