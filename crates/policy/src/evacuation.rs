//! Which availability zones are evacuated: no request is sent to their backend servers.
//!
//! Operators write this to the store, few nodes read it there, and every message between nodes
//! carries it. The merge of two nodes' knowledge doesn't depend on order or repetition. See
//! `docs/design/0020-evacuation.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{distribution::era::StoreEra, ids::ZoneName, time::Tick};

/// Largest number of zones of which a node keeps a statement; further ones are ignored.
pub const MAX_ZONES: usize = 256;

/// Order of the statements about a zone; the highest is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StatementOrder {
    /// Era of the store in which the statement was read.
    pub era: StoreEra,
    /// Number of records of the store after which it held.
    pub position: u64,
}

/// Whether a zone is evacuated, according to the store.
///
/// The derived order is that of the merge: of two statements at the same position, the one that
/// sends no requests is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ZoneStatement {
    /// Order of the statement.
    pub order: StatementOrder,
    /// Whether the zone is evacuated.
    pub is_evacuated: bool,
}

/// What a node knows of evacuations. A zone without a statement was never evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evacuations(BTreeMap<ZoneName, ZoneStatement>);

/// The records about evacuations in the store, as one node has read them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredEvacuations {
    /// Era of the store; the lowest if it states none.
    pub era: StoreEra,
    /// Offset after the newest record that was read.
    pub end: u64,
    /// Offset of the record of each zone whose evacuation is requested.
    pub requested: BTreeMap<ZoneName, u64>,
    /// Offset of the newest record of each zone that revokes an evacuation.
    pub revoked: BTreeMap<ZoneName, u64>,
}

impl Evacuations {
    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.0.get(zone).is_some_and(|statement| statement.is_evacuated)
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneName> {
        self.0.iter().filter(|(_, statement)| statement.is_evacuated).map(|(zone, _)| zone)
    }

    /// Returns the statements.
    pub fn statements(&self) -> impl Iterator<Item = (&ZoneName, &ZoneStatement)> {
        self.0.iter()
    }

    /// Records a statement unless a higher one is known; returns whether it is new.
    pub fn record(&mut self, zone: &ZoneName, statement: ZoneStatement) -> bool {
        let is_full = self.0.len() >= MAX_ZONES;
        match self.0.get_mut(zone) {
            Some(known) => {
                let is_new = statement > *known;
                *known = statement.max(*known);
                is_new
            }
            None if is_full => false,
            None => {
                self.0.insert(zone.clone(), statement);
                true
            }
        }
    }

    /// Merges the statements of another node; returns whether one of them was new.
    pub fn merge(&mut self, other: &Evacuations) -> bool {
        let mut is_changed = false;
        for (zone, statement) in &other.0 {
            is_changed |= self.record(zone, *statement);
        }
        is_changed
    }

    /// Returns what the store says beyond what is known.
    ///
    /// The evacuation of a zone without a record is revoked. While the store may have come back
    /// from an older copy (`may_be_restored`), operators may not have written theirs again yet:
    /// a missing record then revokes nothing, and a record from before the known revocation
    /// requests nothing.
    pub fn news_of(&self, stored: &StoredEvacuations, may_be_restored: bool) -> Evacuations {
        let order = |position| StatementOrder { era: stored.era, position };
        let mut news = Evacuations::default();
        for (zone, offset) in &stored.revoked {
            let order = order(offset.saturating_add(1));
            news.record(zone, ZoneStatement { order, is_evacuated: false });
        }
        for (zone, offset) in &stored.requested {
            let order = order(offset.saturating_add(1));
            let is_earlier = |known: &ZoneStatement| {
                !known.is_evacuated && order.position <= known.order.position
            };
            if !may_be_restored || !self.0.get(zone).is_some_and(is_earlier) {
                news.record(zone, ZoneStatement { order, is_evacuated: true });
            }
        }
        if !may_be_restored {
            let order = order(stored.end);
            for zone in self.evacuated().filter(|zone| !stored.requested.contains_key(zone)) {
                news.record(zone, ZoneStatement { order, is_evacuated: false });
            }
        }
        news
    }
}

impl FromIterator<(ZoneName, ZoneStatement)> for Evacuations {
    fn from_iter<I: IntoIterator<Item = (ZoneName, ZoneStatement)>>(statements: I) -> Self {
        let mut evacuations = Self::default();
        for (zone, statement) in statements {
            evacuations.record(&zone, statement);
        }
        evacuations
    }
}

/// Time without activity after which a node counts as paused. A busy node is active more often,
/// and after a shorter pause what was sent to the node meanwhile arrives soon enough.
pub const PAUSE: Duration = Duration::from_secs(2);

/// Longest time for which a resumed node waits for what others know. Without an answer it goes on
/// with what it knew, as it does while the store is unavailable.
pub const MAX_UNCERTAINTY: Duration = Duration::from_secs(1);

/// Whether what a node knows of evacuations isn't from before a pause of its own.
#[derive(Debug, Default)]
pub struct Certainty {
    active_at: Option<Tick>,
    /// End of the pause since which no answer is known.
    resumed_at: Option<Tick>,
}

impl Certainty {
    /// Creates the state of a node that starts at `now`, which may have missed an evacuation.
    pub fn of_starting_node(now: Tick) -> Self {
        Self { active_at: Some(now), resumed_at: Some(now) }
    }

    /// Records that the node is active; returns whether it has just resumed after a pause.
    pub fn record_activity(&mut self, now: Tick) -> bool {
        let before = self.active_at.replace(now);
        let has_resumed = before.is_some_and(|before| now.since(before) > PAUSE);
        if has_resumed {
            self.resumed_at = Some(now);
        }
        has_resumed
    }

    /// Records an answer to a question that was asked at `asked_at`.
    pub fn record_answer(&mut self, asked_at: Tick) {
        if self.resumed_at.is_some_and(|resumed_at| resumed_at <= asked_at) {
            self.resumed_at = None;
        }
    }

    /// Returns whether the node may rely on what it knows.
    pub fn is_certain(&self, now: Tick) -> bool {
        self.resumed_at.is_none_or(|resumed_at| now.since(resumed_at) >= MAX_UNCERTAINTY)
    }
}

/// Number of the format of [`EvacuationRecord`].
const RECORD_FORMAT: u32 = 1;

/// A record of the log service that names all evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    format: u32,
    /// The evacuated zones.
    pub evacuated: BTreeSet<ZoneName>,
}

impl Default for EvacuationRecord {
    fn default() -> Self {
        Self { format: RECORD_FORMAT, evacuated: BTreeSet::new() }
    }
}

impl EvacuationRecord {
    /// Returns the record of what a node knows.
    pub fn of(evacuations: &Evacuations) -> Self {
        Self { evacuated: evacuations.evacuated().cloned().collect(), ..Self::default() }
    }

    /// Parses a record; the error describes the problem for a log line.
    pub fn parse(bytes: &[u8]) -> Result<Self, String> {
        let record: Self = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
        match record.format {
            RECORD_FORMAT => Ok(record),
            other => Err(format!("unknown format {other}")),
        }
    }

    /// Encodes the record.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
