//! State that the control loops share with the call path and the operators' API.
//!
//! Locks are acquired in the order fold, members, derived values, recovery, floors,
//! journal, store era, evacuations, moves; that of the announced nodes is held alone;
//! no lock is held across an await.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use savorykeel_policy::{
    config::{
        checkpoint::Digest,
        fold::{Fold, Position, Publish},
    },
    distribution::{
        era::KnownEra,
        floor::{Floors, Recovery, RecoveryPeers, Witnesses},
        message::{ReplyBody, Sender, Topic},
        spread::SpreadTargets,
    },
    evacuation::{Certainty, Evacuations},
    ids::{ConfigVersion, InstanceName, PublishId, RegionName, ZoneName},
    membership::{
        entry::{BackendRecord, Liveness, NodeRecord, Stamp},
        members::Members,
        merge::Entry,
        rings::Neighbours,
    },
    moves::evaluators::EvidencePlan,
    table::Table,
    time::Tick,
};
use savorykeel_ports::clock::Clock;
use slog::{Logger, info};
use xxhash_rust::xxh3::xxh3_128;

use crate::{admin::api::PublishedConfiguration, moves::controller::MoveController};

use super::{
    announced::AnnouncedNodes,
    derived::Derived,
    event::Event,
    journal::{Applied, Journal},
    last_contact::SharedLastContact,
    traffic::Traffic,
};

/// Maximum number of events queued for the control loops. Further events are
/// dropped; the next probe detects the same differences again.
const EVENT_QUEUE: usize = 4_096;

/// Value of `log_end_confirmed_at` while the position has never been confirmed to
/// be the end of the log.
const NEVER_CONFIRMED: u64 = u64::MAX;

/// Answers messages on a topic for another part of the node.
pub type TopicHandler = Arc<dyn Fn(&[u8]) -> Vec<u8> + Send + Sync>;

/// Identity of a node.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Address at which other nodes reach this one.
    pub peer_addr: SocketAddr,
}

/// Counters of the control loops.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes of control messages and replies sent.
    pub bytes_sent: AtomicU64,
    /// Bytes of control messages and replies received.
    pub bytes_received: AtomicU64,
    /// Control messages sent.
    pub messages_sent: AtomicU64,
    /// Configuration versions applied.
    pub applied: AtomicU64,
    /// Records read from the log service.
    pub log_records: AtomicU64,
    /// Reads of the log service.
    pub log_reads: AtomicU64,
    /// Appends to the log service.
    pub log_appends: AtomicU64,
    /// Failures of the log service.
    pub log_failures: AtomicU64,
    /// Changes of the store's era.
    pub store_returns: AtomicU64,
    /// Operators' documents that can't be used, and unknown values in those that can.
    pub document_problems: AtomicU64,
}

impl Counters {
    /// Adds `n` to a counter.
    pub fn add(counter: &AtomicU64, n: usize) {
        counter.fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// State of the control loops, shared by all threads of the node.
pub struct ControlState {
    /// Identity of the node.
    pub identity: Identity,
    /// Monotonic and wall clock.
    pub clock: Clock,
    /// Logger of the control loops.
    pub logger: Logger,
    /// Counters of the control loops.
    pub counters: Counters,
    pub(super) traffic: Traffic,
    /// Moves between backend server versions.
    pub moves: Arc<MoveController>,
    table: ArcSwapOption<Table>,
    fold: Mutex<Fold>,
    members: Mutex<Members>,
    recovery: Mutex<Recovery>,
    store_era: Mutex<KnownEra>,
    floors: Mutex<Floors>,
    evacuations: Mutex<Evacuations>,
    is_own_zone_evacuated: AtomicBool,
    ended_evacuations: AtomicU64,
    pub(super) certainty: Mutex<Certainty>,
    journal: Mutex<Option<Journal>>,
    pub(super) last_contact: SharedLastContact,
    topics: Mutex<BTreeMap<Topic, TopicHandler>>,
    spread_targets: Derived<SpreadTargets>,
    evidence_plan: Derived<EvidencePlan>,
    /// Nodes that the log names.
    pub(crate) announced: AnnouncedNodes,
    is_serving: AtomicBool,
    /// Highest position of the fold that may be applied.
    allowed_position: AtomicU64,
    has_joined: AtomicBool,
    pub(super) started_at: Tick,
    /// Newest tick at which the held position was the end of the log, or
    /// `NEVER_CONFIRMED`.
    log_end_confirmed_at: AtomicU64,
    log_next: AtomicU64,
    events: async_channel::Sender<Event>,
    event_receiver: async_channel::Receiver<Event>,
}

impl ControlState {
    /// Creates the state of a starting node.
    ///
    /// The incarnation is the wall-clock time in milliseconds, so that the records of
    /// a restarted node supersede those of its earlier incarnation.
    pub fn new(
        identity: Identity,
        clock: Clock,
        logger: Logger,
        journal_file: Option<&Path>,
    ) -> std::io::Result<Arc<Self>> {
        let own = NodeRecord {
            instance: identity.instance.clone(),
            stamp: Stamp { incarnation: (clock.wall)().0, sequence: 0 },
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            peer_addr: identity.peer_addr,
            leaving: false,
            backend: None,
            applied: ConfigVersion::default(),
        };
        let journal = journal_file.map(Journal::open).transpose()?;
        let moves = Arc::new(MoveController::default());
        let move_handler = crate::moves::handler(moves.clone());
        let (events, event_receiver) = async_channel::bounded(EVENT_QUEUE);
        let started_at = (clock.tick)();
        Ok(Arc::new(Self {
            identity,
            clock,
            logger,
            counters: Counters::default(),
            traffic: Traffic::default(),
            moves,
            table: ArcSwapOption::empty(),
            fold: Mutex::default(),
            members: Mutex::new(Members::new(own, (clock.tick)())),
            recovery: Mutex::default(),
            store_era: Mutex::default(),
            floors: Mutex::default(),
            evacuations: Mutex::default(),
            is_own_zone_evacuated: AtomicBool::new(false),
            ended_evacuations: AtomicU64::new(0),
            certainty: Mutex::new(Certainty::of_starting_node(started_at)),
            journal: Mutex::new(journal),
            last_contact: SharedLastContact::default(),
            topics: Mutex::new(BTreeMap::from([(Topic::Moves, move_handler)])),
            spread_targets: Derived::default(),
            evidence_plan: Derived::default(),
            announced: AnnouncedNodes::default(),
            is_serving: AtomicBool::new(false),
            allowed_position: AtomicU64::new(0),
            has_joined: AtomicBool::new(false),
            started_at: (clock.tick)(),
            log_end_confirmed_at: AtomicU64::new(NEVER_CONFIRMED),
            log_next: AtomicU64::new(0),
            events,
            event_receiver,
        }))
    }

    /// Returns the table in force, or `None` before the node has recovered.
    pub fn table(&self) -> Option<Arc<Table>> {
        self.table.load_full()
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Tick {
        (self.clock.tick)()
    }

    /// Returns the incarnation of this node.
    pub fn incarnation(&self) -> u64 {
        self.members.lock().own().record.stamp.incarnation
    }

    /// Returns the outcome of a publish, or `None` if this node doesn't retain it.
    pub fn publish(&self, id: &PublishId) -> Option<Publish> {
        self.fold.lock().publish(id).cloned()
    }

    /// Returns the retained publishes, oldest first.
    pub fn publishes(&self) -> Vec<Publish> {
        self.fold.lock().publishes().cloned().collect()
    }

    /// Returns the newest configuration that this node holds, in the form in which it
    /// was published.
    pub(crate) fn published(&self) -> Option<PublishedConfiguration> {
        let fold = self.fold.lock();
        let configuration = fold.raw()?.as_ref().clone();
        Some(PublishedConfiguration { version: fold.version(), configuration })
    }

    /// Returns the entries of all known members.
    pub fn members(&self) -> Vec<Entry> {
        self.members.lock().entries().cloned().collect()
    }

    /// Publishes the record of the local backend server to other nodes, or `None`
    /// once the backend server has left.
    pub fn set_backend(&self, backend: Option<BackendRecord>) {
        let applied = self.applied_version();
        let changed = self.members.lock().update_own(self.now(), |record| {
            if record.backend != backend {
                record.backend = backend;
                record.applied = applied;
            }
        });
        if changed {
            self.notify_own_change();
        }
    }

    /// Returns the nodes to which this node forwards changes.
    pub fn spread_targets(&self) -> Arc<SpreadTargets> {
        let Identity { instance, zone, .. } = &self.identity;
        let members = self.members.lock();
        self.spread_targets.get(&members, |members| SpreadTargets::of(instance, zone, members))
    }

    /// Returns the part of this node in collecting the evidence about its service; empty
    /// while it has no backend server.
    pub(crate) fn evidence_plan(&self) -> Arc<EvidencePlan> {
        let Identity { instance, zone, .. } = &self.identity;
        let members = self.members.lock();
        self.evidence_plan.get(&members, |members| {
            let backend = members.own().record.backend.as_ref();
            let plan = |backend: &BackendRecord| {
                EvidencePlan::of(instance, zone, &backend.service, members)
            };
            backend.map(plan).unwrap_or_default()
        })
    }

    /// Notifies other nodes that this one accepts no new work.
    pub fn begin_leaving(&self) {
        let changed = self.members.lock().update_own(self.now(), |record| record.leaving = true);
        if changed {
            self.notify_own_change();
        }
    }

    /// Notifies other nodes that this one is about to stop.
    pub fn declare_gone(&self) {
        self.members.lock().declare_gone(self.now());
        self.notify_own_change();
    }

    pub(super) fn notify_own_change(&self) {
        let members = vec![self.identity.instance.clone()];
        self.emit(Event::MembersChanged { members, source: None });
        self.rebuild();
    }

    pub(super) fn applied_version(&self) -> ConfigVersion {
        self.table().map_or(ConfigVersion::default(), |table| table.version)
    }

    /// Sets the handler for messages on a topic; it replaces an earlier one.
    pub fn set_topic_handler(&self, topic: Topic, handler: TopicHandler) {
        self.topics.lock().insert(topic, handler);
    }

    pub(super) fn answer_topic(&self, topic: Topic, body: &[u8]) -> ReplyBody {
        let handler = self.topics.lock().get(&topic).cloned();
        handler.map_or(ReplyBody::Refused, |handler| ReplyBody::Topic(handler(body)))
    }

    /// Returns whether the node has recovered and may serve.
    pub fn is_serving(&self) -> bool {
        self.is_serving.load(Ordering::Acquire)
    }

    /// Returns whether the node has read the presence stream once, or tried to.
    pub(super) fn has_joined(&self) -> bool {
        self.has_joined.load(Ordering::Acquire)
    }

    pub(super) fn set_joined(&self) {
        self.has_joined.store(true, Ordering::Release);
    }

    /// Returns the time since the node started.
    pub fn uptime(&self) -> Duration {
        self.now().since(self.started_at)
    }

    /// Returns the offset after the newest record of the log that was read.
    pub fn log_next(&self) -> Position {
        Position(self.log_next.load(Ordering::Relaxed))
    }

    pub(super) fn record_log_next(&self, next: u64) {
        self.log_next.fetch_max(next, Ordering::Relaxed);
    }

    pub(super) fn emit(&self, event: Event) {
        // An event is dropped if the queue is full; the next probe detects the
        // difference again.
        let _ = self.events.try_send(event);
    }

    pub(super) fn events(&self) -> &async_channel::Receiver<Event> {
        &self.event_receiver
    }

    pub(super) fn with_fold<T>(&self, f: impl FnOnce(&mut Fold) -> T) -> T {
        f(&mut self.fold.lock())
    }

    /// Returns the availability zone of a known node.
    pub(super) fn zone_of(&self, instance: &InstanceName) -> Option<ZoneName> {
        self.with_members(|members| members.get(instance).map(|known| known.record.zone.clone()))
    }

    pub(crate) fn with_members<T>(&self, f: impl FnOnce(&mut Members) -> T) -> T {
        f(&mut self.members.lock())
    }

    pub(crate) fn with_recovery<T>(&self, f: impl FnOnce(&mut Recovery) -> T) -> T {
        f(&mut self.recovery.lock())
    }

    pub(super) fn with_store_era<T>(&self, f: impl FnOnce(&mut KnownEra) -> T) -> T {
        f(&mut self.store_era.lock())
    }

    /// Returns what this node knows of evacuations.
    pub fn evacuations(&self) -> Evacuations {
        self.evacuations.lock().clone()
    }

    /// Returns whether the availability zone of this node is evacuated.
    pub fn is_own_zone_evacuated(&self) -> bool {
        self.is_own_zone_evacuated.load(Ordering::Acquire)
    }

    /// Returns how many evacuations of the availability zone of this node have ended.
    pub fn ended_evacuations(&self) -> u64 {
        self.ended_evacuations.load(Ordering::Acquire)
    }

    /// Changes what this node knows of evacuations; returns whether the change is new.
    pub(super) fn update_evacuations(&self, update: impl FnOnce(&mut Evacuations) -> bool) -> bool {
        let mut evacuations = self.evacuations.lock();
        let is_changed = update(&mut evacuations);
        let is_own = evacuations.is_evacuated(&self.identity.zone);
        // Counted first, so that whoever finds the zone in use again knows of the end.
        if !is_own && self.is_own_zone_evacuated() {
            self.ended_evacuations.fetch_add(1, Ordering::AcqRel);
        }
        self.is_own_zone_evacuated.store(is_own, Ordering::Release);
        is_changed
    }

    pub(super) fn with_floors<T>(&self, f: impl FnOnce(&mut Floors) -> T) -> T {
        f(&mut self.floors.lock())
    }

    /// Returns the description of this node that goes with every message and reply.
    pub(super) fn sender(&self) -> Sender {
        let position = self.held_position();
        let store_era = *self.store_era.lock();
        Sender {
            instance: self.identity.instance.clone(),
            zone: self.identity.zone.clone(),
            addr: self.identity.peer_addr,
            position,
            members: self.members.lock().digest(),
            recovered: self.is_serving() && self.is_certain_of_evacuations(),
            store_era: store_era.newest(),
            store_returned_ago: store_era.returned_ago(self.now()),
            current_ago: self.current_ago(),
            // Read last, so that it is at least as new as `current_ago` says.
            evacuations: self.evacuations(),
        }
    }

    /// Returns the time since the position was confirmed to be the end of the log, or
    /// `None` if it never was.
    pub fn current_ago(&self) -> Option<Duration> {
        match self.log_end_confirmed_at.load(Ordering::Acquire) {
            NEVER_CONFIRMED => None,
            at => Some(self.now().since(Tick(at))),
        }
    }

    /// Records that `position` was the end of the log at `as_of`.
    ///
    /// This node counts as current as of that time only if it holds the position. The
    /// recovery uses the position only if `as_of` is later than the start of this node.
    pub(super) fn confirm_log_end(&self, position: Position, as_of: Tick) {
        if as_of > self.started_at {
            self.recovery.lock().confirm_log_end(position);
        }
        if self.held_position() < position {
            return;
        }
        let newer = |confirmed_at| {
            (confirmed_at == NEVER_CONFIRMED || confirmed_at < as_of.0).then_some(as_of.0)
        };
        let _ = self.log_end_confirmed_at.fetch_update(Ordering::AcqRel, Ordering::Acquire, newer);
    }

    /// Returns the position of the fold, which may not have been applied yet.
    pub(crate) fn held_position(&self) -> Position {
        self.fold.lock().position()
    }

    /// Allows configurations up to a position of the fold to be applied.
    pub(super) fn allow_applying(&self, position: Position) {
        self.allowed_position.fetch_max(position.0, Ordering::AcqRel);
    }

    /// Builds a table from the configuration and the members and puts it in force.
    ///
    /// The fold stays locked until the table has been swapped, so that two threads
    /// can't swap in a different order from that in which they read the fold. A
    /// configuration that isn't allowed yet is not applied; the endpoints of the table
    /// in force are updated nevertheless.
    pub(super) fn rebuild(&self) {
        let fold = self.fold.lock();
        if !self.may_serve(fold.position()) {
            return;
        }
        let is_allowed = fold.position().0 <= self.allowed_position.load(Ordering::Acquire);
        let (version, configuration) = match (is_allowed, self.table(), fold.configuration()) {
            (true, _, Some(configuration)) => (fold.version(), configuration.clone()),
            (false, Some(table), _) => (table.version, table.configuration.clone()),
            _ => return,
        };
        let evacuations = self.evacuations();
        let table = {
            let members = self.members.lock();
            let records = members.usable_records(self.now());
            Table::build(version, configuration, records, &evacuations)
        };
        if self.applied_version() != table.version {
            info!(self.logger, "configuration applied"; "version" => table.version.0);
            Counters::add(&self.counters.applied, 1);
            self.write_journal(&fold, &table);
        }
        self.table.store(Some(Arc::new(table)));
    }

    /// Records what a starting node has learned of moves, and serves if it waited for that.
    pub(crate) fn record_moves(&self, record: impl FnOnce(&mut Recovery)) {
        if self.is_serving() {
            return;
        }
        let knows_moves = self.with_recovery(|recovery| {
            record(recovery);
            recovery.knows_moves()
        });
        if knows_moves {
            self.moves.set_complete();
            self.rebuild();
        }
    }

    fn may_serve(&self, position: Position) -> bool {
        if self.is_serving() {
            return true;
        }
        let recovery_peers = self.recovery_peers();
        let is_complete = self.recovery.lock().is_complete(position, &recovery_peers);
        if is_complete {
            self.moves.set_complete();
        }
        self.is_serving.fetch_or(is_complete, Ordering::AcqRel);
        is_complete
    }

    /// Returns the nodes that could answer if there were no partition.
    ///
    /// Unreachable nodes count, because the side of a partition that answers may be
    /// the one that lags behind.
    fn recovery_peers(&self) -> RecoveryPeers {
        let members = self.members.lock();
        let is_other = |entry: &&Entry| {
            entry.liveness != Liveness::Gone && entry.record.instance != self.identity.instance
        };
        let others: Vec<&NodeRecord> =
            members.entries().filter(is_other).map(|entry| &*entry.record).collect();
        let zones: std::collections::BTreeSet<&ZoneName> =
            others.iter().map(|record| &record.zone).collect();
        let neighbours = Neighbours::of(&self.identity.instance, &members);
        RecoveryPeers {
            nodes: others.len(),
            zones: zones.len(),
            witnesses: Witnesses::of(&neighbours),
        }
    }

    fn write_journal(&self, fold: &Fold, table: &Table) {
        let mut journal = self.journal.lock();
        let Some(journal) = journal.as_mut() else { return };
        let raw = fold.raw().map(|raw| postcard::to_stdvec(&**raw).unwrap_or_default());
        let applied = Applied {
            instance: self.identity.instance.clone(),
            incarnation: self.incarnation(),
            at: (self.clock.wall)(),
            version: table.version,
            position: fold.position(),
            digest: Digest(xxh3_128(&raw.unwrap_or_default())),
            services: table.services.len(),
            routes: table.configuration.routes.len(),
        };
        // Only tests read the journal, so a failed write doesn't stop the node.
        let _ = journal.write(&applied);
    }
}
