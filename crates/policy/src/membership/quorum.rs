//! Decides whether a node reaches most of the fleet.
//!
//! A node behind a partition sees the nodes of the other side end. Decisions that can't be
//! taken back, such as the end of a move, are therefore left to the side that reaches most of
//! the nodes. See `docs/design/0009-moves-agreement.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{ids::InstanceName, time::Tick};

use super::{entry::Liveness, failure::Silence, members::Members};

/// Time after which a node that can't be reached no longer counts. Only time in which this node
/// has the quorum counts, so that the smaller side of a partition never becomes the larger one.
pub const RETIREMENT_TIME: Duration = Duration::from_secs(60);

/// Time without the quorum from which the evidence of a node is out of date.
const BRIEF_LOSS: Duration = Duration::from_secs(2);

/// Time for which a node collects evidence again after that, before it decides anything.
const WARM_UP: Duration = Duration::from_secs(2);

/// What a node knows of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// Membership table of the node.
    pub members: &'a Members,
    /// Nodes that have announced themselves in the log, of which the node has not heard
    /// otherwise. Only a node that has just started has any.
    pub unheard: &'a BTreeSet<InstanceName>,
    /// How many of the nodes that the node probes are silent. A cut shows here first: each node
    /// probes few others, so that it takes long until it knows that it reaches none.
    pub silence: Silence,
}

/// What a node may conclude from what it sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// It reaches most of the fleet, and no other side of a partition does.
    Majority,
    /// It reaches others, but there may be as many that it doesn't reach.
    Minority,
    /// It reaches no other node, so that all that it sees may be the effect of a cut.
    Alone,
}

/// Number of nodes that count, and of those that can be reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reach {
    /// Nodes that count: all that have neither left nor been retired.
    pub counted: usize,
    /// Those among them that can be reached, the node itself included.
    pub reached: usize,
    /// Whether the first of all by name is among them, which decides between equal halves.
    has_first: bool,
}

impl Reach {
    /// Returns whether no other side of a partition can reach as many nodes.
    fn is_quorum(self) -> bool {
        2 * self.reached > self.counted || (2 * self.reached == self.counted && self.has_first)
    }
}

/// Tracks whether a node reaches most of the fleet, and for how long.
#[derive(Debug, Default)]
pub struct Quorum {
    reach: Reach,
    has_quorum: bool,
    is_alone: bool,
    /// Start of the time with the quorum; brief losses don't interrupt it.
    held_since: Option<Tick>,
    lost_since: Option<Tick>,
    unreachable: BTreeMap<InstanceName, Absence>,
}

/// How long a node has been unreachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Absence {
    /// Since this time, in which this node has had the quorum without interruption.
    Since(Tick),
    /// So long that it doesn't count until it can be reached again.
    Retired,
}

impl Absence {
    fn after(self, had_quorum: bool, now: Tick) -> Self {
        match self {
            Self::Since(_) if !had_quorum => Self::Since(now),
            Self::Since(since) if now.since(since) >= RETIREMENT_TIME => Self::Retired,
            unchanged => unchanged,
        }
    }
}

impl Quorum {
    /// Updates the state from what the node knows at `now`.
    pub fn update(&mut self, view: &FleetView<'_>, now: Tick) {
        let known = std::mem::take(&mut self.unreachable);
        let absence_of = |name| known.get(name).copied().unwrap_or(Absence::Since(now));
        let unreachable = view.members.unreachable().map(|record| &record.instance);
        self.unreachable = unreachable
            .map(|name| (name.clone(), absence_of(name).after(self.has_quorum, now)))
            .collect();
        self.reach = self.count(view);
        self.is_alone = self.reach.reached < 2.min(self.reach.counted);
        self.is_alone |= view.silence == Silence::All;
        self.set(self.reach.is_quorum() && view.silence == Silence::Few, now);
    }

    /// Returns what the node may conclude.
    pub fn standing(&self, now: Tick) -> Standing {
        let is_warm = self.held_since.is_some_and(|since| now.since(since) >= WARM_UP);
        match (self.has_quorum, self.is_alone) {
            (true, _) if is_warm => Standing::Majority,
            (false, true) => Standing::Alone,
            _ => Standing::Minority,
        }
    }

    /// Returns the counts of the last update.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    fn count(&self, view: &FleetView<'_>) -> Reach {
        let is_retired =
            |name: &InstanceName| self.unreachable.get(name) == Some(&Absence::Retired);
        let mut reach = Reach::default();
        let mut first: Option<(&InstanceName, bool)> = None;
        let mut add = |name, is_reached| {
            reach.counted += 1;
            reach.reached += usize::from(is_reached);
            if first.is_none_or(|(least, _)| name < least) {
                first = Some((name, is_reached));
            }
        };
        for entry in view.members.entries() {
            let name = &entry.record.instance;
            let is_departing = entry.liveness == Liveness::Gone || entry.record.leaving;
            if !is_departing && !is_retired(name) {
                add(name, entry.liveness == Liveness::Alive);
            }
        }
        let is_unheard = |name: &&InstanceName| view.members.get(name).is_none();
        view.unheard.iter().filter(is_unheard).for_each(|name| add(name, false));
        reach.has_first = first.is_some_and(|(_, is_reached)| is_reached);
        reach
    }

    fn set(&mut self, has_quorum: bool, now: Tick) {
        self.has_quorum = has_quorum;
        if !has_quorum {
            self.lost_since.get_or_insert(now);
            return;
        }
        let lost_since = self.lost_since.take();
        let is_stale = lost_since.is_some_and(|since| now.since(since) >= BRIEF_LOSS);
        if is_stale || self.held_since.is_none() {
            self.held_since = Some(now);
        }
    }
}
