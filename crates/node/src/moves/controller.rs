//! What a node's threads share about moves.
//!
//! The call path reads a snapshot of the splits. The book behind it is locked
//! for counting a call and for taking in what other nodes say. The locks of the
//! book and of the breakers are never held together.

use std::{
    collections::BTreeMap,
    sync::{Arc, Weak},
    time::Duration,
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use savorykeel_policy::{
    ids::{BackendVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::entry::BackendRecord,
    moves::{
        circuit_breaker::CircuitBreaker,
        evidence::{COLD_START, EvidenceKey, Observation, Report},
        gossip::MoveGossip,
        split::VersionSplit,
        status::{MoveEnding, MoveReport, MoveStatus},
        tracker::{MoveTracker, TrackerRevision},
    },
    table::{ServiceTable, Table},
    time::{Tick, WallMillis},
};

/// The version that a call goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionChoice {
    /// The version; any when none is named.
    pub version: Option<BackendVersion>,
    /// The version to try when no backend server of the first can take the call.
    pub fallback: Option<BackendVersion>,
    /// Number of its instances that take calls; all when none. A new version's calls
    /// are concentrated while its share is small.
    pub instances: Option<usize>,
}

impl VersionChoice {
    /// Returns the choice of one version for all calls.
    fn single(version: Option<BackendVersion>) -> Self {
        Self { version, fallback: None, instances: None }
    }
}

/// Splits of all services as the call path reads them.
#[derive(Default)]
struct Splits {
    by_service: BTreeMap<ServiceName, ServiceSplit>,
    /// What they were derived from.
    revision: TrackerRevision,
    table: Weak<Table>,
}

/// Which versions of a service take calls.
#[derive(Debug, Clone)]
enum ServiceSplit {
    /// Any, because no configuration named one.
    Any,
    /// None.
    NoVersion,
    /// One or two by name; the new one's calls go to so many of its instances.
    Versions(VersionSplit, Option<usize>),
}

impl ServiceSplit {
    fn derive(tracker: &MoveTracker, table: &ServiceTable, service: &ServiceName) -> Self {
        if tracker.accepts_any_version(service) {
            return Self::Any;
        }
        match tracker.split(table, service) {
            Some(split) => Self::Versions(split, tracker.concentration(table, service)),
            None => Self::NoVersion,
        }
    }
}

/// The backend server beside the node.
struct LocalBackend {
    cold_until: Tick,
}

/// What a node's threads share about moves.
#[derive(Default)]
pub struct MoveController {
    tracker: Mutex<MoveTracker>,
    splits: ArcSwap<Splits>,
    breakers: Mutex<BTreeMap<EvidenceKey, CircuitBreaker>>,
    local_backend: Mutex<Option<LocalBackend>>,
}

impl MoveController {
    /// Returns the version that takes a call, or none when no backend server may.
    ///
    /// The hash stands for the call's idempotency key, so that a call which is
    /// sent again meets the same version.
    pub fn choose(
        &self,
        table: &ServiceTable,
        service: &ServiceName,
        route: &RouteName,
        hash: u64,
        now: Tick,
    ) -> Option<VersionChoice> {
        let splits = self.splits.load();
        let cached = splits.by_service.get(service).cloned();
        let split =
            cached.unwrap_or_else(|| ServiceSplit::derive(&self.tracker.lock(), table, service));
        let (split, instances) = match split {
            ServiceSplit::Any => return Some(VersionChoice::single(None)),
            ServiceSplit::NoVersion => return None,
            ServiceSplit::Versions(split, instances) => (split, instances),
        };
        let chosen = split.choose(hash);
        let fallback = split.fallback(chosen);
        match fallback {
            Some(old)
                if chosen == split.new_version() && !self.breaker_allows(route, chosen, now) =>
            {
                Some(VersionChoice::single(Some(old.clone())))
            }
            _ => Some(VersionChoice {
                version: Some(chosen.clone()),
                fallback: fallback.cloned(),
                // Without an old version beside it, the chosen one carries all calls.
                instances: instances.filter(|_| fallback.is_some()),
            }),
        }
    }

    /// Notes at the entry node how a call ended, for the local breaker.
    pub fn record_entry_result(
        &self,
        route: &RouteName,
        version: &BackendVersion,
        is_failed: bool,
        now: Tick,
    ) {
        let key = EvidenceKey { route: route.clone(), version: version.clone() };
        let mut breakers = self.breakers.lock();
        if is_failed {
            breakers.entry(key).or_default().record(true, now);
        } else {
            breakers.remove(&key);
        }
    }

    fn breaker_allows(&self, route: &RouteName, version: &BackendVersion, now: Tick) -> bool {
        let key = EvidenceKey { route: route.clone(), version: version.clone() };
        self.breakers.lock().get(&key).is_none_or(|breaker| breaker.allows(now))
    }

    /// Counts a call that the backend server beside the node ran.
    pub fn record(&self, route: &RouteName, version: &BackendVersion, observation: Observation) {
        self.tracker.lock().record(route, version, observation);
    }

    /// Tells whether the backend server beside the node started a moment ago.
    pub fn is_cold(&self, now: Tick) -> bool {
        let local_backend = self.local_backend.lock();
        local_backend.as_ref().is_none_or(|local_backend| now < local_backend.cold_until)
    }

    /// Notes that a backend server started beside the node; `cold` is how long it is
    /// slower than usual, where it says so.
    pub fn record_backend_start(
        &self,
        instance: &InstanceName,
        incarnation: u64,
        zone: &ZoneName,
        record: &BackendRecord,
        cold: Option<Duration>,
        now: Tick,
    ) {
        *self.local_backend.lock() =
            Some(LocalBackend { cold_until: now + cold.unwrap_or(COLD_START) });
        let mut tracker = self.tracker.lock();
        tracker.set_local_backend(instance, incarnation, zone, &record.service, &record.version);
    }

    /// Notes that the backend server beside the node ended without leaving.
    pub fn record_backend_crash(&self) {
        self.tracker.lock().record_crash();
    }

    /// Takes in what another node says.
    pub fn merge(&self, gossip: MoveGossip) -> bool {
        self.tracker.lock().merge(gossip)
    }

    /// Takes in ends of moves that the log keeps.
    pub fn merge_endings<'a>(&self, endings: impl IntoIterator<Item = &'a MoveEnding>) {
        let mut tracker = self.tracker.lock();
        for ending in endings {
            tracker.merge_ending(ending);
        }
    }

    /// Takes in how moves stand by what a platform keeps.
    pub fn merge_statuses(&self, statuses: &[MoveStatus]) {
        let mut tracker = self.tracker.lock();
        for status in statuses {
            tracker.merge_status(status);
        }
    }

    /// Returns how the move of the service beside this node stands.
    pub fn status(&self, table: &Table) -> Option<MoveStatus> {
        self.tracker.lock().status(table)
    }

    /// Returns all targets and states.
    pub fn full_gossip(&self) -> MoveGossip {
        self.tracker.lock().delta_since(TrackerRevision::default())
    }

    /// Returns what changed after `revision`, with the newest revision.
    pub fn delta_since(&self, revision: TrackerRevision) -> Delta {
        let tracker = self.tracker.lock();
        Delta { gossip: tracker.delta_since(revision), revision: tracker.revision() }
    }

    /// Returns this node's own report.
    pub fn own_report(&self) -> Option<Report> {
        self.tracker.lock().own_report().cloned()
    }

    /// Tells whether the other nodes of the service want this node's evidence.
    pub fn should_send_evidence(&self, table: &Table) -> bool {
        self.tracker.lock().should_send_evidence(table)
    }

    /// Looks at the move of the service beside this node; tells whether its
    /// state changed.
    pub fn evaluate(&self, table: &Table, tick: Tick, wall: WallMillis) -> bool {
        self.tracker.lock().evaluate(table, tick, wall)
    }

    /// Returns the move in force of each service.
    pub fn reports(&self, table: &Table) -> Vec<MoveReport> {
        self.tracker.lock().reports(table)
    }

    /// Returns the end of the move of the service beside this node, once it ended.
    pub fn ending(&self, table: &Table, at: WallMillis) -> Option<MoveEnding> {
        self.tracker.lock().ending(table, at)
    }

    /// Follows the table in force and derives the splits anew where needed; tells
    /// whether it did.
    pub fn refresh(&self, table: &Arc<Table>) -> bool {
        let mut tracker = self.tracker.lock();
        let splits = self.splits.load();
        let is_same_table = std::ptr::eq(splits.table.as_ptr(), Arc::as_ptr(table));
        if !is_same_table {
            tracker.apply_configuration(table.version, &table.configuration);
        }
        if is_same_table && splits.revision == tracker.revision() {
            return false;
        }
        let split = |(name, service): (&ServiceName, &ServiceTable)| {
            (name.clone(), ServiceSplit::derive(&tracker, service, name))
        };
        let by_service = table.services.iter().map(split).collect();
        let revision = tracker.revision();
        self.splits.store(Arc::new(Splits { by_service, revision, table: Arc::downgrade(table) }));
        true
    }
}

/// What changed in a book.
pub struct Delta {
    /// The changes.
    pub gossip: MoveGossip,
    /// The newest revision.
    pub revision: TrackerRevision,
}
