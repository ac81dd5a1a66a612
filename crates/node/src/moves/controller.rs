//! State of moves that the threads of a node share.
//!
//! The call path reads a snapshot of the splits. The tracker from which they are
//! derived is locked to record a call and to merge the gossip of other nodes. The
//! locks of the tracker and of the circuit breakers are never held together.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use savorykeel_policy::{
    ids::{BackendVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::{entry::BackendRecord, quorum::Standing},
    moves::{
        circuit_breaker::CircuitBreaker,
        evaluators::ReportScope,
        evidence::{COLD_START, EvidenceKey, Observation, Report},
        gossip::MoveGossip,
        orders::{MoveOrder, OrderOutcome},
        split::VersionSplit,
        status::{MoveEnding, MoveReport, MoveStatus},
        tracker::{MoveTracker, TrackerRevision},
    },
    table::{ServiceTable, Table},
    time::{Tick, WallMillis},
};

/// The version to which a call is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionChoice {
    /// The version, or none when any version will do.
    pub version: Option<BackendVersion>,
    /// The version to try when no backend server of `version` can take the call.
    pub fallback: Option<BackendVersion>,
    /// Number of instances of `version` that receive calls, or none for all of them. The
    /// calls of a new version are concentrated on few instances while its share is
    /// small.
    pub instances: Option<usize>,
}

impl VersionChoice {
    /// Returns the choice of one version, on all of its instances and without fallback.
    fn single(version: Option<BackendVersion>) -> Self {
        Self { version, fallback: None, instances: None }
    }
}

/// Snapshot of the splits of all services, which the call path reads.
#[derive(Default)]
struct Splits {
    by_service: BTreeMap<ServiceName, ServiceSplit>,
    /// Revision of the tracker from which the splits were derived.
    revision: TrackerRevision,
    /// Table from which the splits were derived.
    table: Weak<Table>,
}

/// The versions of a service that take calls.
#[derive(Debug, Clone)]
enum ServiceSplit {
    /// Any version, because no configuration has named one.
    Any,
    /// No version.
    NoVersion,
    /// One or two named versions, and the number of instances on which the calls of
    /// the new one are concentrated.
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

/// The local backend server.
struct LocalBackend {
    /// End of its cold start.
    cold_until: Tick,
}

/// State of moves that the threads of a node share.
#[derive(Default)]
pub struct MoveController {
    tracker: Mutex<MoveTracker>,
    splits: ArcSwap<Splits>,
    breakers: Mutex<BTreeMap<EvidenceKey, CircuitBreaker>>,
    local_backend: Mutex<Option<LocalBackend>>,
    is_complete: AtomicBool,
}

impl MoveController {
    /// Returns the version that takes a call, or none when no version may.
    ///
    /// `hash` is derived from the call's idempotency key, so that a repeated call is
    /// sent to the same version.
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
                // Without another version, the chosen one takes all calls on all instances.
                instances: instances.filter(|_| fallback.is_some()),
            }),
        }
    }

    /// Records how a call ended at its entry node, for the node's own circuit breakers.
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

    /// Records a call that the local backend server ran.
    pub fn record(&self, route: &RouteName, version: &BackendVersion, observation: Observation) {
        self.tracker.lock().record(route, version, observation);
    }

    /// Returns whether the local backend server is in its cold start or none has started.
    pub fn is_cold(&self, now: Tick) -> bool {
        let local_backend = self.local_backend.lock();
        local_backend.as_ref().is_none_or(|local_backend| now < local_backend.cold_until)
    }

    /// Records the start of the local backend server.
    ///
    /// `cold` is how long it expects to be slower than usual, where it reports that;
    /// otherwise [`COLD_START`] is assumed.
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

    /// Records that the local backend server ended without announcing that it leaves.
    pub fn record_backend_crash(&self) {
        self.tracker.lock().record_crash();
    }

    /// Merges the gossip of another node and returns whether a target or a state changed.
    pub fn merge(&self, gossip: MoveGossip) -> bool {
        self.tracker.lock().merge(gossip)
    }

    /// Merges ends of moves that were read from the log.
    pub fn merge_endings<'a>(&self, endings: impl IntoIterator<Item = &'a MoveEnding>) {
        let mut tracker = self.tracker.lock();
        for ending in endings {
            tracker.merge_ending(ending);
        }
    }

    /// Records an order that was read from the platform's store.
    pub fn apply_order(&self, order: &MoveOrder, may_be_repeated: bool) -> OrderOutcome {
        self.tracker.lock().apply_order(order, may_be_repeated)
    }

    /// Merges statuses of moves that were read from the platform's store.
    pub fn merge_statuses(&self, statuses: &[MoveStatus]) {
        let mut tracker = self.tracker.lock();
        for status in statuses {
            tracker.merge_status(status);
        }
    }

    /// Returns the status of the move of the local backend server's service.
    pub fn status(&self, table: &Table) -> Option<MoveStatus> {
        self.tracker.lock().status(table)
    }

    /// Returns whether this node knows what it needs of moves to serve.
    pub fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Acquire)
    }

    /// Records that this node knows what it needs of moves to serve.
    pub fn set_complete(&self) {
        self.is_complete.store(true, Ordering::Release);
    }

    /// Returns all targets and states, for a node that may have none of them.
    pub fn full_gossip(&self) -> MoveGossip {
        self.tracker.lock().delta_since(TrackerRevision::default())
    }

    /// Returns the changes after `revision`, with the newest revision.
    pub fn delta_since(&self, revision: TrackerRevision) -> Delta {
        let tracker = self.tracker.lock();
        Delta { gossip: tracker.delta_since(revision), revision: tracker.revision() }
    }

    /// Returns the report of the evidence that this node recorded itself.
    pub fn own_report(&self) -> Option<Report> {
        self.tracker.lock().own_report().cloned()
    }

    /// Returns the changes in the reports of `scope` since those that a node has
    /// acknowledged, and the reports themselves.
    pub fn report_changes(
        &self,
        scope: ReportScope,
        acknowledged: &BTreeMap<InstanceName, Report>,
    ) -> ReportChanges {
        let tracker = self.tracker.lock();
        let Some(own) = tracker.own_report() else { return ReportChanges::default() };
        let is_in_scope = |report: &&Report| match scope {
            ReportScope::Own => report.instance == own.instance,
            ReportScope::OwnZone => report.zone == own.zone,
            ReportScope::All => true,
        };
        let mut changes = ReportChanges::default();
        for report in tracker.known_reports().into_iter().filter(is_in_scope) {
            let known = acknowledged.get(&report.instance);
            if known.is_none_or(|known| known.stamp < report.stamp) {
                changes.deltas.push(report.changes_since(known));
                changes.reports.push(report.clone());
            }
        }
        changes
    }

    /// Returns whether this node's evidence is worth sending to the other nodes of its
    /// service.
    pub fn should_send_evidence(&self, table: &Table) -> bool {
        self.tracker.lock().should_send_evidence(table)
    }

    /// Observes which version carries the traffic of each service that has no target.
    pub fn observe_incumbents(&self, table: &Table, standing: Standing) {
        self.tracker.lock().observe_incumbents(table, standing);
    }

    /// Evaluates the move of the local backend server's service and returns whether its
    /// state changed.
    pub fn evaluate(
        &self,
        table: &Table,
        tick: Tick,
        wall: WallMillis,
        standing: Standing,
    ) -> bool {
        self.tracker.lock().evaluate(table, tick, wall, standing)
    }

    /// Returns a report on the move in force of each service.
    pub fn reports(&self, table: &Table) -> Vec<MoveReport> {
        self.tracker.lock().reports(table)
    }

    /// Returns the end of the move of the local backend server's service, or none while
    /// it has not ended.
    pub fn ending(&self, table: &Table, at: WallMillis) -> Option<MoveEnding> {
        self.tracker.lock().ending(table, at)
    }

    /// Applies the table in force and derives the splits again if the table or the
    /// tracker has changed. Returns whether it derived them.
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

/// Reports that another node lacks.
#[derive(Default)]
pub struct ReportChanges {
    /// The reports, reduced to what has changed since the other node's.
    pub deltas: Vec<Report>,
    /// The whole reports.
    pub reports: Vec<Report>,
}

/// Changes of a [`MoveTracker`].
pub struct Delta {
    /// The changes.
    pub gossip: MoveGossip,
    /// The newest revision.
    pub revision: TrackerRevision,
}
