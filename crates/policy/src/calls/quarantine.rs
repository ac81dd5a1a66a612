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
pub const CRASHES_TO_CONDEMN: u32 = 2;

/// Time after its last crash for which a request is a suspect.
pub const SUSPECT_TIME: Duration = Duration::from_secs(60);

/// Time after its last crash for which a request is condemned.
pub const CONDEMNED_TIME: Duration = Duration::from_secs(600);

/// Largest number of requests that are remembered.
const MAX_REMEMBERED: usize = 8_192;

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
    pub life: u64,
    /// Number of the crash in that life.
    pub number: u64,
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known against it.
    Clear,
    /// It runs alone among suspects.
    Suspect,
    /// It doesn't run.
    Condemned,
}

#[derive(Debug)]
struct Suspicion {
    crashes: Vec<CrashId>,
    last_crash: Tick,
}

impl Suspicion {
    fn is_condemned(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_CONDEMN as usize
    }

    fn is_over(&self, now: Tick) -> bool {
        let limit = if self.is_condemned() { CONDEMNED_TIME } else { SUSPECT_TIME };
        now.since(self.last_crash) > limit
    }
}

/// What one node knows of requests that may crash backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspicions: HashMap<Fingerprint, Suspicion>,
}

impl Quarantine {
    /// Records that a request was running when a backend server crashed.
    ///
    /// The news of one crash may come several times and in any order.
    pub fn crashed(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Tick) {
        if self.suspicions.len() >= MAX_REMEMBERED {
            self.expire(now);
        }
        if self.suspicions.len() >= MAX_REMEMBERED && !self.suspicions.contains_key(&fingerprint) {
            return;
        }
        let suspicion = self
            .suspicions
            .entry(fingerprint)
            .or_insert(Suspicion { crashes: Vec::new(), last_crash: now });
        if suspicion.is_condemned() || suspicion.crashes.contains(&crash) {
            return;
        }
        suspicion.crashes.push(crash);
        suspicion.last_crash = now;
    }

    /// Records that a request ended without a crash, which clears a suspect.
    pub fn ended_well(&mut self, fingerprint: Fingerprint) {
        if self.suspicions.get(&fingerprint).is_some_and(|s| !s.is_condemned()) {
            self.suspicions.remove(&fingerprint);
        }
    }

    /// Tells how a request is to be treated.
    pub fn standing(&self, fingerprint: Fingerprint, now: Tick) -> Standing {
        match self.suspicions.get(&fingerprint).filter(|s| !s.is_over(now)) {
            None => Standing::Clear,
            Some(suspicion) if suspicion.is_condemned() => Standing::Condemned,
            Some(_) => Standing::Suspect,
        }
    }

    /// Forgets what is past its time.
    pub fn expire(&mut self, now: Tick) {
        self.suspicions.retain(|_, suspicion| !suspicion.is_over(now));
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Tells whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }
}
