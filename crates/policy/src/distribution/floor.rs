//! Below which position a node must not serve.
//!
//! An instance keeps nothing across a restart, so its neighbours remember how far
//! it had come. A node that starts serves only once it holds all that it may
//! have served before; see `docs/design/0002-configuration.md`.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::fold::Position,
    distribution::message::Sender,
    ids::{InstanceName, ZoneName},
    membership::members::MAX_MEMBERS,
};

/// Number of nodes that must answer before a start without the log is complete.
pub const MIN_ANSWERS: usize = 3;

/// Number of availability zones from which they must answer.
pub const MIN_ANSWER_ZONES: usize = 2;

/// How far other nodes are known to have come.
#[derive(Debug, Clone, Default)]
pub struct Floors {
    positions: BTreeMap<InstanceName, Position>,
}

impl Floors {
    /// Remembers what a node said that it has applied.
    pub fn record(&mut self, instance: &InstanceName, position: Position) {
        if let Some(known) = self.positions.get_mut(instance) {
            *known = position.max(*known);
        } else if self.positions.len() < MAX_MEMBERS {
            self.positions.insert(instance.clone(), position);
        }
    }

    /// Returns how far a node is known to have come.
    pub fn position_of(&self, instance: &InstanceName) -> Position {
        self.positions.get(instance).copied().unwrap_or_default()
    }

    /// Forgets every node that `keep` doesn't name.
    pub fn retain(&mut self, keep: impl Fn(&InstanceName) -> bool) {
        self.positions.retain(|instance, _| keep(instance));
    }
}

/// What a node has learnt since its start of how far it may have come before.
#[derive(Debug, Clone, Default)]
pub struct Recovery {
    floor: Position,
    answered: BTreeSet<InstanceName>,
    zones: BTreeSet<ZoneName>,
    is_log_end_confirmed: bool,
    has_members_confirmed: bool,
}

/// How far a start has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveryProgress {
    /// Number of recovered nodes that answered.
    pub answered: usize,
    /// Number of their availability zones.
    pub zones: usize,
    /// Lowest position at which the node may serve.
    pub floor: Position,
}

/// Who could have answered a node that starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveryPeers {
    /// Number of other nodes that are known and not given up.
    pub nodes: usize,
    /// Number of availability zones of these.
    pub zones: usize,
    /// Neighbours of the node, most of which knew what it applied.
    pub neighbours: Vec<InstanceName>,
}

impl Recovery {
    /// Notes what another node tells.
    ///
    /// Only a node that has recovered itself counts as an answer: after a restart
    /// of the whole fleet, no node remembers anything.
    pub fn record_answer(&mut self, from: &Sender, your_floor: Position) {
        self.floor = self.floor.max(from.position).max(your_floor);
        if from.recovered {
            self.answered.insert(from.instance.clone());
            self.zones.insert(from.zone.clone());
        }
    }

    /// Notes that a position was the end of the log after this node started, so
    /// that it lies past everything that the node applied before.
    pub fn confirm_log_end(&mut self, position: Position) {
        self.floor = self.floor.max(position);
        self.is_log_end_confirmed = true;
    }

    /// Returns the lowest position at which the node may serve.
    pub fn floor(&self) -> Position {
        self.floor
    }

    /// Notes that the node's membership table equals that of a recovered node, so
    /// that it knows who could answer.
    pub fn confirm_members(&mut self) {
        self.has_members_confirmed = true;
    }

    /// Returns how far the start has come.
    pub fn progress(&self) -> RecoveryProgress {
        let (answered, zones) = (self.answered.len(), self.zones.len());
        RecoveryProgress { answered, zones, floor: self.floor }
    }

    /// Tells whether a node at `position` may serve.
    ///
    /// The end of the log is past everything that was ever applied. Without the
    /// log, answers from several nodes in several availability zones are needed; a
    /// node that doesn't know the other nodes can't tell and doesn't serve.
    pub fn is_complete(&self, position: Position, peers: &RecoveryPeers) -> bool {
        if position < self.floor {
            return false;
        }
        let has_answers = self.has_members_confirmed
            && !self.answered.is_empty()
            && self.answered.len() >= MIN_ANSWERS.min(peers.nodes)
            && self.zones.len() >= MIN_ANSWER_ZONES.min(peers.zones)
            && self.has_neighbour_majority(&peers.neighbours);
        self.is_log_end_confirmed || has_answers
    }

    /// Tells whether more than half of the neighbours answered, so that one of
    /// them is among those that knew what the node applied.
    fn has_neighbour_majority(&self, neighbours: &[InstanceName]) -> bool {
        let answered = neighbours.iter().filter(|name| self.answered.contains(*name)).count();
        neighbours.is_empty() || 2 * answered > neighbours.len()
    }
}
