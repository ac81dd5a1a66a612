//! The membership table of one node.
//!
//! The table merges the records and statements that other nodes send, refutes
//! those that are wrong about the local node, and moves silent nodes from suspect
//! to unreachable to gone.

use std::{collections::BTreeMap, time::Duration};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    ids::{InstanceName, ZoneName},
    time::Tick,
};

use super::{
    drain_memory::DrainMemory,
    entry::{BackendRecord, Liveness, NodeRecord, Stamp},
    merge::{Entry, Rank, Statement},
};

/// Number of buckets of the table that two nodes compare by digest.
pub const BUCKETS: usize = 64;

/// Largest number of nodes in the table, tombstones included.
pub const MAX_MEMBERS: usize = 16_384;

/// Time from a suspicion until a node that hasn't refuted it is unreachable.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which a node stays unreachable before it is declared gone.
pub const UNREACHABLE_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Time for which a tombstone is kept; longer than any record of the node can be
/// in flight, so that no late record adds the node again.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(48 * 3_600);

/// Result of a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No change: the statement was known or outdated.
    None,
    /// The entry of another node was added or replaced.
    Updated,
    /// The own record was replaced by one that outranks a statement about this node.
    Refuted,
    /// No change: the table is full.
    Full,
}

/// Entries that two nodes have to exchange to make their tables equal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Nodes of which the other table has a newer entry.
    pub to_request: Vec<InstanceName>,
    /// Nodes of which this table has a newer entry.
    pub to_send: Vec<InstanceName>,
}

/// An entry with the time of its last change, from which its age is measured.
#[derive(Debug, Clone, PartialEq)]
struct Member {
    entry: Entry,
    changed_at: Tick,
    drain: DrainMemory,
}

/// Membership table: the newest entry of every known node, the local one included.
#[derive(Debug, Clone)]
pub struct Members {
    own: InstanceName,
    entries: BTreeMap<InstanceName, Member>,
    digests: [u64; BUCKETS],
    revision: u64,
}

/// Returns the bucket of a node, in `0..BUCKETS`.
pub fn bucket_of(instance: &InstanceName) -> usize {
    (xxh3_64_with_seed(instance.as_str().as_bytes(), BUCKETS as u64) % BUCKETS as u64) as usize
}

impl Members {
    /// Creates a table whose only entry is that of the local node.
    pub fn new(own: NodeRecord, now: Tick) -> Self {
        let mut members = Self {
            own: own.instance.clone(),
            entries: BTreeMap::new(),
            digests: [0; BUCKETS],
            revision: 0,
        };
        members.put(Entry::alive(own), now);
        members
    }

    /// Returns the name of the local node.
    pub fn own_name(&self) -> &InstanceName {
        &self.own
    }

    /// Returns the entry of the local node.
    pub fn own(&self) -> &Entry {
        &self.entries[&self.own].entry
    }

    /// Returns a number that grows with every entry that is added or replaced.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entry of a node.
    pub fn get(&self, instance: &InstanceName) -> Option<&Entry> {
        self.entries.get(instance).map(|member| &member.entry)
    }

    /// Returns every entry in order of instance names, tombstones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|member| &member.entry)
    }

    /// Returns the records, with their liveness, of the nodes whose backend servers may be used,
    /// from which the request table is built.
    pub fn usable_records(&self, now: Tick) -> impl Iterator<Item = (&NodeRecord, Liveness)> {
        let usable = self.entries.values().filter(move |member| !member.drain.withholds(now));
        usable.map(|member| (&*member.entry.record, member.entry.liveness))
    }

    /// Ends the time for which backend servers were withheld after a restart; returns whether
    /// it ended for any.
    pub fn release_withheld(&mut self, now: Tick) -> bool {
        let mut is_released = false;
        for member in self.entries.values_mut().filter(|member| member.drain.is_over(now)) {
            member.drain = DrainMemory::InUse;
            is_released = true;
        }
        is_released
    }

    /// Returns each record with its liveness.
    pub fn records(&self) -> impl Iterator<Item = (&NodeRecord, Liveness)> {
        self.entries().map(|entry| (&*entry.record, entry.liveness))
    }

    /// Returns the alive and the suspect nodes, which take part in rings and gossip.
    pub fn active(&self) -> impl Iterator<Item = &NodeRecord> {
        let is_active = |entry: &&Entry| entry.liveness <= Liveness::Suspect;
        self.entries().filter(is_active).map(|entry| &*entry.record)
    }

    /// Returns the alive nodes of an availability zone that aren't leaving.
    pub fn alive_in<'a>(&'a self, zone: &'a ZoneName) -> impl Iterator<Item = &'a NodeRecord> {
        let is_alive = |entry: &&Entry| entry.liveness == Liveness::Alive;
        let records = self.entries().filter(is_alive).map(|entry| &*entry.record);
        records.filter(move |record| record.zone == *zone && !record.leaving)
    }

    /// Returns the unreachable nodes.
    pub fn unreachable(&self) -> impl Iterator<Item = &NodeRecord> {
        let is_unreachable = |entry: &&Entry| entry.liveness == Liveness::Unreachable;
        self.entries().filter(is_unreachable).map(|entry| &*entry.record)
    }

    /// Merges an entry that another node sent.
    ///
    /// An entry about the local node is refuted if it outranks the own record.
    pub fn merge(&mut self, entry: Entry, now: Tick) -> Change {
        if entry.record.instance == self.own {
            return self.refute(entry.rank(), now);
        }
        match self.entries.get(&entry.record.instance) {
            Some(known) if !entry.supersedes(&known.entry) => return Change::None,
            None if self.entries.len() >= MAX_MEMBERS => return Change::Full,
            _ => {}
        }
        self.put(entry, now);
        Change::Updated
    }

    /// Merges a statement that another node sent without the record.
    ///
    /// It is ignored unless its stamp equals that of the record in this table.
    pub fn merge_statement(&mut self, statement: &Statement, now: Tick) -> Change {
        if statement.instance == self.own {
            return self.refute(statement.rank, now);
        }
        let Some(known) = self.get(&statement.instance) else { return Change::None };
        if known.record.stamp != statement.rank.stamp {
            return Change::None;
        }
        let entry = known.with_liveness(statement.rank.liveness);
        self.merge(entry, now)
    }

    /// Replaces the own record by one that outranks a statement of other nodes about this
    /// node.
    fn refute(&mut self, reported: Rank, now: Tick) -> Change {
        if reported <= self.own().rank() {
            return Change::None;
        }
        let mut record = NodeRecord::clone(&self.own().record);
        record.stamp = if reported.stamp.incarnation > record.stamp.incarnation {
            Stamp { incarnation: reported.stamp.incarnation + 1, sequence: 0 }
        } else {
            let sequence = reported.stamp.sequence.max(record.stamp.sequence) + 1;
            Stamp { sequence, ..record.stamp }
        };
        self.put(Entry::alive(record), now);
        Change::Refuted
    }

    /// Changes the own record and raises its sequence; returns whether anything
    /// changed.
    pub fn update_own(&mut self, now: Tick, change: impl FnOnce(&mut NodeRecord)) -> bool {
        let before = self.own().record.clone();
        let mut record = NodeRecord::clone(&before);
        change(&mut record);
        if record == *before {
            return false;
        }
        record.stamp = Stamp { sequence: before.stamp.sequence + 1, ..before.stamp };
        self.put(Entry::alive(record), now);
        true
    }

    /// Sets or clears the backend server in the own record; returns whether anything
    /// changed.
    pub fn set_backend(&mut self, backend: Option<BackendRecord>, now: Tick) -> bool {
        self.update_own(now, |record| record.backend = backend)
    }

    /// Declares the own node gone, as its last update before the process ends.
    pub fn declare_gone(&mut self, now: Tick) {
        self.update_own(now, |record| record.leaving = true);
        let gone = self.own().with_liveness(Liveness::Gone);
        self.put(gone, now);
    }

    /// Sets a worse liveness of another node; returns whether anything changed.
    ///
    /// A better liveness is ignored: only the node itself can refute a statement.
    pub fn degrade(&mut self, instance: &InstanceName, liveness: Liveness, now: Tick) -> bool {
        match self.get(instance) {
            Some(known) if *instance != self.own && known.liveness < liveness => {
                let entry = known.with_liveness(liveness);
                self.put(entry, now);
                true
            }
            _ => false,
        }
    }

    /// Degrades nodes whose time as suspect or unreachable is over and removes old
    /// tombstones; returns the degraded nodes.
    pub fn expire(&mut self, now: Tick) -> Vec<InstanceName> {
        let mut changed = Vec::new();
        let mut expired = Vec::new();
        for (name, member) in &self.entries {
            let age = now.since(member.changed_at);
            match member.entry.liveness {
                Liveness::Suspect if age >= SUSPICION_TIMEOUT => {
                    changed.push((name.clone(), Liveness::Unreachable));
                }
                Liveness::Unreachable if age >= UNREACHABLE_RETENTION => {
                    changed.push((name.clone(), Liveness::Gone));
                }
                Liveness::Gone if age >= TOMBSTONE_RETENTION && *name != self.own => {
                    expired.push(name.clone());
                }
                _ => {}
            }
        }
        for name in expired {
            self.entries.remove(&name);
        }
        changed.retain(|(name, liveness)| self.degrade(name, *liveness, now));
        changed.into_iter().map(|(name, _)| name).collect()
    }

    /// Returns the digests of the buckets; equal digests mean equal content.
    ///
    /// Tombstones are left out, so that nodes which remove them at different times
    /// still have equal digests.
    pub fn digests(&self) -> &[u64; BUCKETS] {
        &self.digests
    }

    /// Returns one digest of the whole table.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.digests.iter().flat_map(|digest| digest.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// Returns the statements about the nodes in the buckets whose digest differs.
    pub fn statements_in(&self, differs: impl Fn(usize) -> bool) -> Vec<Statement> {
        let is_in_bucket = |entry: &&Entry| differs(bucket_of(&entry.record.instance));
        self.entries().filter(is_in_bucket).map(Entry::statement).collect()
    }

    /// Compares the table with another one by statements.
    ///
    /// `theirs` has every statement of the other table in `buckets`. Tombstones of
    /// nodes that one of the tables doesn't have are left out.
    pub fn compare(&self, buckets: &[u8], theirs: &[Statement]) -> Comparison {
        let mut comparison = Comparison::default();
        let is_compared = |name: &InstanceName| buckets.contains(&(bucket_of(name) as u8));
        let known: BTreeMap<&InstanceName, Rank> =
            theirs.iter().map(|s| (&s.instance, s.rank)).collect();
        for statement in theirs {
            let is_newer_there = match self.get(&statement.instance) {
                Some(own) => own.rank() < statement.rank,
                None => statement.rank.liveness != Liveness::Gone,
            };
            if is_newer_there {
                comparison.to_request.push(statement.instance.clone());
            }
        }
        for entry in self.entries() {
            let name = &entry.record.instance;
            let is_newer = match known.get(name) {
                Some(rank) => *rank < entry.rank(),
                None => entry.liveness != Liveness::Gone,
            };
            if is_newer && is_compared(name) {
                comparison.to_send.push(name.clone());
            }
        }
        comparison
    }

    fn put(&mut self, entry: Entry, now: Tick) {
        let name = entry.record.instance.clone();
        let bucket = bucket_of(&name);
        self.digests[bucket] ^= entry_digest(&entry);
        let drain = match self.entries.get(&name) {
            Some(known) => known.drain.after(&known.entry.record, &entry.record, now),
            None => DrainMemory::default(),
        };
        let member = Member { entry, changed_at: now, drain };
        if let Some(replaced) = self.entries.insert(name, member) {
            self.digests[bucket] ^= entry_digest(&replaced.entry);
        }
        self.revision += 1;
    }
}

fn entry_digest(entry: &Entry) -> u64 {
    if entry.liveness == Liveness::Gone {
        return 0;
    }
    let bytes = postcard::to_stdvec(&entry.statement()).unwrap_or_default();
    xxh3_64(&bytes)
}
