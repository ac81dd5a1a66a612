//! Requests that crash the backend servers that run them.
//!
//! When a backend server dies, each request that it was running is a suspect:
//! one of them may be the cause and the others are innocent. A suspect runs on
//! trial, one at a time on each backend server, until it either ends well and is
//! cleared, or is there at a second crash and is condemned for a while. See
//! `docs/design/0006-load.md`.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{ids::ServiceName, time::Tick};

/// Crashes in its company that condemn a request.
pub const CRASHES_TO_QUARANTINE: u32 = 2;

/// Time after its last crash for which a request is a suspect.
pub const SUSPECT_TIME: Duration = Duration::from_secs(60);

/// Time after its last crash for which a request is condemned.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Largest number of requests that are remembered.
const MAX_TRACKED: usize = 8_192;

/// Recognises re-sends of a request, whatever its headers say.
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

/// Identifies one crash, so that news of it may arrive more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Life of the node beside the backend server.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the crash in that life.
    pub number: u64,
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing is known against it.
    Clear,
    /// It runs alone among suspects.
    Suspect,
    /// It doesn't run.
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

/// What one node knows of requests that may crash backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, SuspectEntry>,
}

impl Quarantine {
    /// Records that a request was running when a backend server crashed.
    ///
    /// The news of one crash may come several times and in any order.
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

    /// Tells how a request is to be treated.
    pub fn status(&self, fingerprint: Fingerprint, now: Tick) -> QuarantineStatus {
        match self.suspects.get(&fingerprint).filter(|s| !s.is_expired(now)) {
            None => QuarantineStatus::Clear,
            Some(entry) if entry.is_quarantined() => QuarantineStatus::Quarantined,
            Some(_) => QuarantineStatus::Suspect,
        }
    }

    /// Forgets what is past its time.
    pub fn expire(&mut self, now: Tick) {
        self.suspects.retain(|_, entry| !entry.is_expired(now));
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
