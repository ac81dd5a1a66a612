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
    pub stand_in: Option<BackendVersion>,
    /// Number of its instances that take calls; all when none. A new version's calls
    /// are concentrated while its share is small.
    pub instances: Option<usize>,
}

impl VersionChoice {
    /// Returns the choice of one version for all calls.
    fn only(version: Option<BackendVersion>) -> Self {
        Self { version, stand_in: None, instances: None }
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
    Nothing,
    /// One or two by name; the new one's calls go to so many of its instances.
    Versions(VersionSplit, Option<usize>),
}

impl ServiceSplit {
    fn of(book: &MoveTracker, table: &ServiceTable, service: &ServiceName) -> Self {
        if book.accepts_any_version(service) {
            return Self::Any;
        }
        match book.split(table, service) {
            Some(split) => Self::Versions(split, book.concentration(table, service)),
            None => Self::Nothing,
        }
    }
}

/// The backend server beside the node.
struct Beside {
    cold_until: Tick,
}

/// What a node's threads share about moves.
#[derive(Default)]
pub struct MoveHub {
    book: Mutex<MoveTracker>,
    splits: ArcSwap<Splits>,
    breakers: Mutex<BTreeMap<EvidenceKey, CircuitBreaker>>,
    beside: Mutex<Option<Beside>>,
}

impl MoveHub {
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
        let known = splits.by_service.get(service).cloned();
        let split = known.unwrap_or_else(|| ServiceSplit::of(&self.book.lock(), table, service));
        let (split, instances) = match split {
            ServiceSplit::Any => return Some(VersionChoice::only(None)),
            ServiceSplit::Nothing => return None,
            ServiceSplit::Versions(split, instances) => (split, instances),
        };
        let chosen = split.choose(hash);
        let stand_in = split.fallback(chosen);
        match stand_in {
            Some(old) if chosen == split.new_version() && !self.allows(route, chosen, now) => {
                Some(VersionChoice::only(Some(old.clone())))
            }
            _ => Some(VersionChoice {
                version: Some(chosen.clone()),
                stand_in: stand_in.cloned(),
                // Without an old version beside it, the chosen one carries all calls.
                instances: instances.filter(|_| stand_in.is_some()),
            }),
        }
    }

    /// Notes at the entry node how a call ended, for the local breaker.
    pub fn note_entry(
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

    fn allows(&self, route: &RouteName, version: &BackendVersion, now: Tick) -> bool {
        let key = EvidenceKey { route: route.clone(), version: version.clone() };
        self.breakers.lock().get(&key).is_none_or(|breaker| breaker.allows(now))
    }

    /// Counts a call that the backend server beside the node ran.
    pub fn record(&self, route: &RouteName, version: &BackendVersion, seen: Observation) {
        self.book.lock().record(route, version, seen);
    }

    /// Tells whether the backend server beside the node started a moment ago.
    pub fn is_cold(&self, now: Tick) -> bool {
        let beside = self.beside.lock();
        beside.as_ref().is_none_or(|beside| now < beside.cold_until)
    }

    /// Notes that a backend server started beside the node; `cold` is how long it is
    /// slower than usual, where it says so.
    pub fn backend_started(
        &self,
        instance: &InstanceName,
        incarnation: u64,
        zone: &ZoneName,
        record: &BackendRecord,
        cold: Option<Duration>,
        now: Tick,
    ) {
        *self.beside.lock() = Some(Beside { cold_until: now + cold.unwrap_or(COLD_START) });
        let mut book = self.book.lock();
        book.set_local_backend(instance, incarnation, zone, &record.service, &record.version);
    }

    /// Notes that the backend server beside the node ended without leaving.
    pub fn backend_crashed(&self) {
        self.book.lock().record_crash();
    }

    /// Takes in what another node says.
    pub fn merge(&self, gossip: MoveGossip) -> bool {
        self.book.lock().merge(gossip)
    }

    /// Takes in ends of moves that the log keeps.
    pub fn merge_endings<'a>(&self, endings: impl IntoIterator<Item = &'a MoveEnding>) {
        let mut book = self.book.lock();
        for ending in endings {
            book.merge_ending(ending);
        }
    }

    /// Takes in how moves stand by what a platform keeps.
    pub fn merge_statuses(&self, statuses: &[MoveStatus]) {
        let mut book = self.book.lock();
        for status in statuses {
            book.merge_status(status);
        }
    }

    /// Returns how the move of the service beside this node stands.
    pub fn status(&self, table: &Table) -> Option<MoveStatus> {
        self.book.lock().status(table)
    }

    /// Returns all targets and states.
    pub fn everything(&self) -> MoveGossip {
        self.book.lock().delta_since(TrackerRevision::default())
    }

    /// Returns what changed after `revision`, with the newest revision.
    pub fn delta_since(&self, revision: TrackerRevision) -> Delta {
        let book = self.book.lock();
        Delta { gossip: book.delta_since(revision), revision: book.revision() }
    }

    /// Returns this node's own report.
    pub fn own_report(&self) -> Option<Report> {
        self.book.lock().own_report().cloned()
    }

    /// Tells whether the other nodes of the service want this node's evidence.
    pub fn wants_evidence(&self, table: &Table) -> bool {
        self.book.lock().should_send_evidence(table)
    }

    /// Looks at the move of the service beside this node; tells whether its
    /// state changed.
    pub fn look(&self, table: &Table, tick: Tick, wall: WallMillis) -> bool {
        self.book.lock().evaluate(table, tick, wall)
    }

    /// Returns the move in force of each service.
    pub fn reports(&self, table: &Table) -> Vec<MoveReport> {
        self.book.lock().reports(table)
    }

    /// Returns the end of the move of the service beside this node, once it ended.
    pub fn ending(&self, table: &Table, at: WallMillis) -> Option<MoveEnding> {
        self.book.lock().ending(table, at)
    }

    /// Follows the table in force and derives the splits anew where needed; tells
    /// whether it did.
    pub fn refresh(&self, table: &Arc<Table>) -> bool {
        let mut book = self.book.lock();
        let splits = self.splits.load();
        let is_same_table = std::ptr::eq(splits.table.as_ptr(), Arc::as_ptr(table));
        if !is_same_table {
            book.apply_configuration(table.version, &table.configuration);
        }
        if is_same_table && splits.revision == book.revision() {
            return false;
        }
        let split = |(name, service): (&ServiceName, &ServiceTable)| {
            (name.clone(), ServiceSplit::of(&book, service, name))
        };
        let by_service = table.services.iter().map(split).collect();
        let revision = book.revision();
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
