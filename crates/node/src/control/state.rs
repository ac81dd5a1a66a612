//! What the control loops share with the call path and the operators' API.
//!
//! Locks are taken in the order fold, members, recovery, floors, journal, moves;
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
        floor::{Floors, Recovery, RecoveryPeers},
        message::{ReplyBody, Sender, Topic},
    },
    ids::{ConfigVersion, InstanceName, PublishId, RegionName, ZoneName},
    membership::{
        entry::{BackendRecord, Liveness, NodeRecord, Stamp},
        members::Members,
        merge::Entry,
        rings::Neighbours,
    },
    table::Table,
    time::Tick,
};
use savorykeel_ports::clock::Clock;
use serde::Serialize;
use slog::{Logger, info};
use xxhash_rust::xxh3::xxh3_128;

use crate::{admin::api::PublishedConfiguration, moves::controller::MoveController};

use super::{
    event::Event,
    heard::SharedHeard,
    journal::{Applied, Journal},
};

/// Number of events that may wait for the control loops; what is dropped beyond
/// is found again by the next probe.
const EVENT_QUEUE: usize = 4_096;

/// Marks that the position was never known to be the end of the log.
const NEVER: u64 = u64::MAX;

/// Answers the messages of another part of the node.
pub type TopicHandler = Arc<dyn Fn(&[u8]) -> Vec<u8> + Send + Sync>;

/// Who the node is.
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

/// Numbers that the control loops count.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes of control messages and replies sent.
    pub bytes_sent: AtomicU64,
    /// Bytes of control messages and replies received.
    pub bytes_received: AtomicU64,
    /// Control messages sent.
    pub messages_sent: AtomicU64,
    /// Versions that came into force.
    pub applied: AtomicU64,
    /// Records read from the log service.
    pub log_records: AtomicU64,
    /// Reads of the log service.
    pub log_reads: AtomicU64,
    /// Appends to the log service.
    pub log_appends: AtomicU64,
    /// Failures of the log service.
    pub log_failures: AtomicU64,
}

impl Counters {
    /// Adds to a counter.
    pub fn add(counter: &AtomicU64, n: usize) {
        counter.fetch_add(n as u64, Ordering::Relaxed);
    }
}

/// Everything that the control loops know, shared by all threads of the node.
pub struct ControlState {
    /// Who the node is.
    pub identity: Identity,
    /// Reads the clocks.
    pub clock: Clock,
    /// Where log lines go.
    pub logger: Logger,
    /// Numbers that the control loops count.
    pub counters: Counters,
    /// Moves between backend server versions.
    pub moves: Arc<MoveController>,
    table: ArcSwapOption<Table>,
    fold: Mutex<Fold>,
    members: Mutex<Members>,
    recovery: Mutex<Recovery>,
    floors: Mutex<Floors>,
    journal: Mutex<Option<Journal>>,
    pub(super) heard: SharedHeard,
    topics: Mutex<BTreeMap<Topic, TopicHandler>>,
    is_serving: AtomicBool,
    allowed: AtomicU64,
    has_joined: AtomicBool,
    started: Tick,
    current_as_of: AtomicU64,
    log_next: AtomicU64,
    events: async_channel::Sender<Event>,
    waiting: async_channel::Receiver<Event>,
}

/// What operators read about a node's control side.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ControlSnapshot {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Version in force on this node; zero when none is.
    pub version: ConfigVersion,
    /// Position of the fold.
    pub position: Position,
    /// Whether the node knows that it holds all that it ever served.
    pub recovered: bool,
    /// Lowest position at which the node may serve.
    pub floor: Position,
    /// Time in milliseconds since the position was known to be the end of the log.
    pub current_ago_ms: Option<u64>,
    /// Offset of a record of unknown format at which the fold stands still.
    pub stopped_at: Option<u64>,
    /// Whether this node reads the log for its availability zone.
    pub reads_log: bool,
    /// Members by liveness.
    pub members: MemberCounts,
    /// Bytes of control messages and replies sent since the start.
    pub control_bytes_sent: u64,
    /// Bytes of control messages and replies received since the start.
    pub control_bytes_received: u64,
    /// Reads of the log service since the start.
    pub log_reads: u64,
    /// Appends to the log service since the start.
    pub log_appends: u64,
    /// Failures of the log service since the start.
    pub log_failures: u64,
}

/// Numbers of members by liveness, the node itself included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct MemberCounts {
    /// Members that answer.
    pub alive: usize,
    /// Members that didn't answer lately.
    pub suspect: usize,
    /// Members that nobody reaches.
    pub unreachable: usize,
    /// Members that left.
    pub gone: usize,
}

impl ControlState {
    /// Makes the state of a node that starts.
    ///
    /// The incarnation is the wall clock, so that a restarted node's records win
    /// over those of its earlier life.
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
        let (events, waiting) = async_channel::bounded(EVENT_QUEUE);
        Ok(Arc::new(Self {
            identity,
            clock,
            logger,
            counters: Counters::default(),
            moves,
            table: ArcSwapOption::empty(),
            fold: Mutex::default(),
            members: Mutex::new(Members::new(own, (clock.tick)())),
            recovery: Mutex::default(),
            floors: Mutex::default(),
            journal: Mutex::new(journal),
            heard: SharedHeard::default(),
            topics: Mutex::new(BTreeMap::from([(Topic::Moves, move_handler)])),
            is_serving: AtomicBool::new(false),
            allowed: AtomicU64::new(0),
            has_joined: AtomicBool::new(false),
            started: (clock.tick)(),
            current_as_of: AtomicU64::new(NEVER),
            log_next: AtomicU64::new(0),
            events,
            waiting,
        }))
    }

    /// Returns the table in force; none before the node has recovered.
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

    /// Returns what became of a publish, if this node remembers it.
    pub fn publish(&self, id: &PublishId) -> Option<Publish> {
        self.fold.lock().publish(id).cloned()
    }

    /// Returns the remembered publishes, oldest first.
    pub fn publishes(&self) -> Vec<Publish> {
        self.fold.lock().publishes().cloned().collect()
    }

    /// Returns the newest configuration that this node holds as it was published.
    pub(crate) fn published(&self) -> Option<PublishedConfiguration> {
        let fold = self.fold.lock();
        let configuration = fold.raw()?.as_ref().clone();
        Some(PublishedConfiguration { version: fold.version(), configuration })
    }

    /// Returns every member that is known.
    pub fn members(&self) -> Vec<Entry> {
        self.members.lock().entries().cloned().collect()
    }

    /// Tells other nodes what runs beside this one; `None` once it left.
    pub fn set_backend(&self, backend: Option<BackendRecord>) {
        let applied = self.applied_version();
        let changed = self.members.lock().update_own(self.now(), |record| {
            if record.backend != backend {
                record.backend = backend;
                record.applied = applied;
            }
        });
        if changed {
            self.own_changed();
        }
    }

    /// Tells other nodes that this one takes no new work.
    pub fn begin_leaving(&self) {
        let changed = self.members.lock().update_own(self.now(), |record| record.leaving = true);
        if changed {
            self.own_changed();
        }
    }

    /// Tells other nodes that this one is about to end.
    pub fn declare_gone(&self) {
        self.members.lock().declare_gone(self.now());
        self.own_changed();
    }

    pub(super) fn own_changed(&self) {
        let members = vec![self.identity.instance.clone()];
        self.emit(Event::Changed { members, source: None });
        self.rebuild();
    }

    fn applied_version(&self) -> ConfigVersion {
        self.table().map_or(ConfigVersion::default(), |table| table.version)
    }

    /// Returns what operators read.
    pub fn snapshot(&self) -> ControlSnapshot {
        let (position, stopped_at) = {
            let fold = self.fold.lock();
            (fold.position(), fold.stopped_at())
        };
        let (members, incarnation, reads_log) = {
            let members = self.members.lock();
            let reads_log = super::duty::reads_log(&members, &self.identity);
            (count_members(&members), members.own().record.stamp.incarnation, reads_log)
        };
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ControlSnapshot {
            instance: self.identity.instance.clone(),
            zone: self.identity.zone.clone(),
            incarnation,
            version: self.applied_version(),
            position,
            recovered: self.is_serving(),
            floor: self.recovery.lock().floor(),
            current_ago_ms: self.current_ago().map(|ago| ago.as_millis() as u64),
            stopped_at,
            reads_log,
            members,
            control_bytes_sent: load(&self.counters.bytes_sent),
            control_bytes_received: load(&self.counters.bytes_received),
            log_reads: load(&self.counters.log_reads),
            log_appends: load(&self.counters.log_appends),
            log_failures: load(&self.counters.log_failures),
        }
    }

    /// Sets what answers the messages on a topic.
    pub fn set_topic_handler(&self, topic: Topic, handler: TopicHandler) {
        self.topics.lock().insert(topic, handler);
    }

    pub(super) fn answer_topic(&self, topic: Topic, body: &[u8]) -> ReplyBody {
        let handler = self.topics.lock().get(&topic).cloned();
        handler.map_or(ReplyBody::Refused, |handler| ReplyBody::Topic(handler(body)))
    }

    /// Tells whether the node has recovered, so that it may serve.
    pub fn is_serving(&self) -> bool {
        self.is_serving.load(Ordering::Acquire)
    }

    /// Tells whether the node has looked for others once.
    pub(super) fn has_joined(&self) -> bool {
        self.has_joined.load(Ordering::Acquire)
    }

    pub(super) fn set_joined(&self) {
        self.has_joined.store(true, Ordering::Release);
    }

    /// Returns the time since the node started.
    pub fn uptime(&self) -> Duration {
        self.now().since(self.started)
    }

    /// Returns the offset after the newest record of the log that was seen.
    pub fn log_next(&self) -> Position {
        Position(self.log_next.load(Ordering::Relaxed))
    }

    pub(super) fn saw_log_next(&self, next: u64) {
        self.log_next.fetch_max(next, Ordering::Relaxed);
    }

    pub(super) fn emit(&self, event: Event) {
        // A full queue drops the event; the next probe finds the difference.
        let _ = self.events.try_send(event);
    }

    pub(super) fn events(&self) -> &async_channel::Receiver<Event> {
        &self.waiting
    }

    pub(super) fn with_fold<T>(&self, f: impl FnOnce(&mut Fold) -> T) -> T {
        f(&mut self.fold.lock())
    }

    pub(crate) fn with_members<T>(&self, f: impl FnOnce(&mut Members) -> T) -> T {
        f(&mut self.members.lock())
    }

    pub(super) fn with_recovery<T>(&self, f: impl FnOnce(&mut Recovery) -> T) -> T {
        f(&mut self.recovery.lock())
    }

    pub(super) fn with_floors<T>(&self, f: impl FnOnce(&mut Floors) -> T) -> T {
        f(&mut self.floors.lock())
    }

    /// Describes this node to another one.
    pub(super) fn speaker(&self) -> Sender {
        let position = self.held_position();
        Sender {
            instance: self.identity.instance.clone(),
            zone: self.identity.zone.clone(),
            addr: self.identity.peer_addr,
            position,
            members: self.members.lock().digest(),
            recovered: self.is_serving(),
            current_ago: self.current_ago(),
        }
    }

    /// Returns the time since the position was known to be the end of the log.
    pub fn current_ago(&self) -> Option<Duration> {
        match self.current_as_of.load(Ordering::Acquire) {
            NEVER => None,
            at => Some(self.now().since(Tick(at))),
        }
    }

    /// Notes that `position` was the end of the log at `as_of`.
    ///
    /// It says something of this node only when it holds that position.
    pub(super) fn confirm(&self, position: Position, as_of: Tick) {
        if as_of > self.started {
            self.recovery.lock().confirm_log_end(position);
        }
        if self.held_position() < position {
            return;
        }
        let raise = |known| (known == NEVER || known < as_of.0).then_some(as_of.0);
        let _ = self.current_as_of.fetch_update(Ordering::AcqRel, Ordering::Acquire, raise);
    }

    /// Returns the position of the fold; what it holds may be about to be applied.
    pub(super) fn held_position(&self) -> Position {
        self.fold.lock().position()
    }

    /// Allows the state at a position to be applied.
    pub(super) fn allow(&self, position: Position) {
        self.allowed.fetch_max(position.0, Ordering::AcqRel);
    }

    /// Joins the configuration in force with the members and swaps the table.
    ///
    /// The fold stays locked until the table is swapped, so that two threads
    /// can't swap in a different order than they read. A state that isn't allowed
    /// yet is left; the endpoints of the table in force are renewed all the same.
    pub(super) fn rebuild(&self) {
        let fold = self.fold.lock();
        if !self.may_serve(fold.position()) {
            return;
        }
        let is_allowed = fold.position().0 <= self.allowed.load(Ordering::Acquire);
        let (version, configuration) = match (is_allowed, self.table(), fold.configuration()) {
            (true, _, Some(configuration)) => (fold.version(), configuration.clone()),
            (false, Some(table), _) => (table.version, table.configuration.clone()),
            _ => return,
        };
        let table = {
            let members = self.members.lock();
            Table::build(version, configuration, members.records())
        };
        if self.applied_version() != table.version {
            info!(self.logger, "configuration applied"; "version" => table.version.0);
            Counters::add(&self.counters.applied, 1);
            self.write_journal(&fold, &table);
        }
        self.table.store(Some(Arc::new(table)));
    }

    fn may_serve(&self, position: Position) -> bool {
        if self.is_serving() {
            return true;
        }
        let answerers = self.answerers();
        let complete = self.recovery.lock().is_complete(position, &answerers);
        self.is_serving.fetch_or(complete, Ordering::AcqRel);
        complete
    }

    /// Finds out which nodes could answer, were there no partition.
    ///
    /// Nodes that nobody reaches count: the side of a partition that answers may
    /// be the one that lags.
    fn answerers(&self) -> RecoveryPeers {
        let members = self.members.lock();
        let is_other = |entry: &&Entry| {
            entry.liveness != Liveness::Gone && entry.record.instance != self.identity.instance
        };
        let others: Vec<&NodeRecord> =
            members.entries().filter(is_other).map(|entry| &*entry.record).collect();
        let zones: std::collections::BTreeSet<&ZoneName> =
            others.iter().map(|record| &record.zone).collect();
        let neighbours = Neighbours::of(&self.identity.instance, &members).all();
        RecoveryPeers {
            nodes: others.len(),
            zones: zones.len(),
            neighbours: neighbours.into_iter().map(|contact| contact.instance).collect(),
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
        // The journal serves tests only; a node doesn't stop for it.
        let _ = journal.write(&applied);
    }
}

fn count_members(members: &Members) -> MemberCounts {
    let mut counts = MemberCounts::default();
    for entry in members.entries() {
        match entry.liveness {
            Liveness::Alive => counts.alive += 1,
            Liveness::Suspect => counts.suspect += 1,
            Liveness::Unreachable => counts.unreachable += 1,
            Liveness::Gone => counts.gone += 1,
        }
    }
    counts
}
