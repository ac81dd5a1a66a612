//! The floor: the position below which a restarted node must not serve.
//!
//! An instance keeps no state across a restart, so its neighbours record the
//! position that it had applied. A starting node serves only once it has applied
//! everything that it may have served before; see
//! `docs/design/0002-configuration.md`.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::fold::Position,
    distribution::message::Sender,
    ids::{InstanceName, ZoneName},
    membership::{
        members::MAX_MEMBERS,
        rings::{Contact, Neighbours},
    },
};

/// Number of recovered nodes that must answer before a node may complete its
/// recovery without the log.
pub const MIN_ANSWERS: usize = 3;

/// Number of availability zones from which these answers must come.
pub const MIN_ANSWER_ZONES: usize = 2;

/// Highest known applied position of each other node.
#[derive(Debug, Clone, Default)]
pub struct Floors {
    positions: BTreeMap<InstanceName, Position>,
}

impl Floors {
    /// Records the applied position that a node reported.
    ///
    /// A lower position than the recorded one is ignored. At most [`MAX_MEMBERS`]
    /// nodes are recorded.
    pub fn record(&mut self, instance: &InstanceName, position: Position) {
        if let Some(known) = self.positions.get_mut(instance) {
            *known = position.max(*known);
        } else if self.positions.len() < MAX_MEMBERS {
            self.positions.insert(instance.clone(), position);
        }
    }

    /// Returns the highest position that a node is known to have applied.
    pub fn position_of(&self, instance: &InstanceName) -> Position {
        self.positions.get(instance).copied().unwrap_or_default()
    }

    /// Removes every node for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&InstanceName) -> bool) {
        self.positions.retain(|instance, _| keep(instance));
    }
}

/// State of a starting node's recovery: what it has received about the position that
/// it may have applied before the restart.
#[derive(Debug, Clone, Default)]
pub struct Recovery {
    floor: Position,
    answered: BTreeSet<InstanceName>,
    zones: BTreeSet<ZoneName>,
    is_log_end_confirmed: bool,
    has_members_confirmed: bool,
    has_asked_neighbours: bool,
    has_heard_others: bool,
    has_store_returned: bool,
    moves: MoveKnowledge,
    awaits_evacuations: bool,
    are_evacuations_read: bool,
}

/// What a starting node has learned of moves, where orders to move are stored apart from the
/// configuration.
#[derive(Debug, Clone, Copy, Default)]
struct MoveKnowledge {
    is_required: bool,
    /// Whether another node that knows what it needs has sent all that it knows.
    is_received: bool,
    are_orders_read: bool,
    are_ends_read: bool,
    /// Whether the node has waited long enough for recovered nodes.
    is_isolated: bool,
}

/// Progress of a recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveryProgress {
    /// Number of recovered nodes that have answered.
    pub answered: usize,
    /// Number of availability zones of these nodes.
    pub zones: usize,
    /// Lowest position at which the node may serve.
    pub floor: Position,
    /// Whether the end of the log was confirmed since the node started.
    pub is_log_end_confirmed: bool,
    /// Whether the log has come back from an older copy lately, as other nodes say.
    pub has_store_returned: bool,
    /// Whether the node knows what it needs of moves.
    pub knows_moves: bool,
}

/// The nodes that can answer a starting node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveryPeers {
    /// Number of other known nodes that are not gone, whether reachable or not.
    pub nodes: usize,
    /// Number of availability zones of these nodes.
    pub zones: usize,
    /// Nodes that record the position of the starting node.
    pub witnesses: Witnesses,
}

/// Neighbours of a node that record its position, so that they can report it after a crash.
///
/// A node applies a position once [`Witnesses::suffice_to_apply`], and takes the positions that
/// witnesses report after its restart for complete once [`Witnesses::suffice_to_recover`].
/// Whichever witnesses these are, one of them is in both sets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Witnesses {
    /// All of them, most in the availability zone of the node, if that zone is large.
    pub all: Vec<InstanceName>,
    /// Those next to the node on the ring of all nodes. The others may be lost together with
    /// the node's zone.
    pub on_fleet_ring: Vec<InstanceName>,
}

impl Witnesses {
    /// Returns the witnesses of the node with these neighbours.
    pub fn of(neighbours: &Neighbours) -> Self {
        let names = |contacts: &[Contact]| contacts.iter().map(|c| c.instance.clone()).collect();
        Self { all: names(&neighbours.all()), on_fleet_ring: names(&neighbours.on_fleet_ring) }
    }

    /// Returns whether the witnesses that have recorded a position suffice to apply it: most of
    /// all, and one on the ring of all nodes.
    pub fn suffice_to_apply(&self, has_recorded: impl Fn(&InstanceName) -> bool) -> bool {
        let is_recorded_on_fleet_ring =
            self.on_fleet_ring.is_empty() || self.on_fleet_ring.iter().any(&has_recorded);
        is_recorded_on_fleet_ring && self.are_most(has_recorded)
    }

    /// Returns whether at least one of the witnesses that have answered had recorded each
    /// position that the node applied: most of all answered, or each on the ring of all nodes.
    pub fn suffice_to_recover(&self, has_answered: impl Fn(&InstanceName) -> bool) -> bool {
        let has_fleet_ring_answered =
            !self.on_fleet_ring.is_empty() && self.on_fleet_ring.iter().all(&has_answered);
        has_fleet_ring_answered || self.are_most(has_answered)
    }

    fn are_most(&self, is_counted: impl Fn(&InstanceName) -> bool) -> bool {
        let counted = self.all.iter().filter(|name| is_counted(name)).count();
        self.all.is_empty() || 2 * counted > self.all.len()
    }
}

impl Recovery {
    /// Records the answer of another node and raises the floor accordingly.
    ///
    /// Only the answer of a node that has itself recovered counts, because after a
    /// restart of the whole fleet no node has recorded anything.
    pub fn record_answer(&mut self, from: &Sender, your_floor: Position) {
        self.floor = self.floor.max(from.position).max(your_floor);
        self.has_heard_others = true;
        self.has_store_returned |= from.store_returned_ago.is_some();
        if from.recovered {
            self.answered.insert(from.instance.clone());
            self.zones.insert(from.zone.clone());
        }
    }

    /// Records that `position` was the end of the log after this node started and
    /// is thus not below any position that the node applied before.
    pub fn confirm_log_end(&mut self, position: Position) {
        self.floor = self.floor.max(position);
        self.is_log_end_confirmed = true;
    }

    /// Records that each neighbour has answered or failed to answer since the node found others.
    pub fn record_round(&mut self) {
        self.has_asked_neighbours = true;
    }

    /// Makes the recovery wait until the node knows the orders to move and the moves that have
    /// ended. Without them, it would send calls to any version of a service.
    pub fn await_moves(&mut self) {
        self.moves.is_required = true;
    }

    /// Records that the node has read the orders from the store.
    pub fn confirm_orders(&mut self) {
        self.moves.are_orders_read = true;
    }

    /// Records that the node has read the ends of moves from the store.
    pub fn confirm_ends(&mut self) {
        self.moves.are_ends_read = true;
    }

    /// Records that the node has received all moves from another node that knows what it needs
    /// of them.
    pub fn record_moves(&mut self) {
        self.moves.is_received = true;
    }

    /// Records that the node has waited long enough for what recovered nodes know of moves.
    pub fn give_up_moves(&mut self) {
        self.moves.is_isolated = true;
    }

    /// Makes the recovery wait until the node has read the evacuations itself or another node
    /// that has recovered has answered. Platforms store them with the configuration.
    pub fn await_evacuations(&mut self) {
        self.awaits_evacuations = true;
    }

    /// Records that the node has read the evacuations from the log service.
    pub fn confirm_evacuations(&mut self) {
        self.are_evacuations_read = true;
    }

    fn knows_evacuations(&self) -> bool {
        !self.awaits_evacuations || self.are_evacuations_read || !self.answered.is_empty()
    }

    /// Returns the recovered nodes that have answered.
    pub fn answered(&self) -> &BTreeSet<InstanceName> {
        &self.answered
    }

    /// Returns whether the node knows what it needs of moves.
    ///
    /// What the store holds suffices only while no recovered node is known, because a store that
    /// came back from an older copy may lack orders and ends.
    pub fn knows_moves(&self) -> bool {
        let MoveKnowledge { is_required, is_received, are_orders_read, are_ends_read, is_isolated } =
            self.moves;
        let may_use_store = is_isolated || self.answered.is_empty();
        !is_required || is_received || (may_use_store && are_orders_read && are_ends_read)
    }

    /// Returns the lowest position at which the node may serve.
    pub fn floor(&self) -> Position {
        self.floor
    }

    /// Records that the node's membership table equals that of a recovered node, so
    /// that it contains the nodes that can answer.
    pub fn confirm_members(&mut self) {
        self.has_members_confirmed = true;
    }

    /// Returns the progress of the recovery.
    pub fn progress(&self) -> RecoveryProgress {
        let (answered, zones) = (self.answered.len(), self.zones.len());
        RecoveryProgress {
            answered,
            zones,
            floor: self.floor,
            is_log_end_confirmed: self.is_log_end_confirmed,
            has_store_returned: self.has_store_returned,
            knows_moves: self.knows_moves(),
        }
    }

    /// Returns whether a node that has applied `position` may serve.
    ///
    /// The end of the log covers everything that was ever applied, unless the log has come
    /// back from an older copy. If another node says so, or none has said anything, the
    /// neighbours, which recorded what the node had applied, are asked first. Without the log,
    /// answers from several nodes in several availability zones are needed; a node whose
    /// membership table isn't confirmed can't decide whether the answers suffice and doesn't
    /// serve.
    pub fn is_complete(&self, position: Position, peers: &RecoveryPeers) -> bool {
        if position < self.floor || !self.knows_moves() || !self.knows_evacuations() {
            return false;
        }
        let has_answers = self.has_members_confirmed
            && !self.answered.is_empty()
            && self.answered.len() >= MIN_ANSWERS.min(peers.nodes)
            && self.zones.len() >= MIN_ANSWER_ZONES.min(peers.zones)
            && peers.witnesses.suffice_to_recover(|name| self.answered.contains(name));
        let is_end_proof = self.has_heard_others && !self.has_store_returned;
        (self.is_log_end_confirmed && (is_end_proof || self.has_asked_neighbours)) || has_answers
    }
}
