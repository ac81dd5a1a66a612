//! Handles the control messages of other nodes.

use std::time::Duration;

use savorykeel_policy::{
    distribution::{
        message::{
            ControlMessage, ControlReply, MAX_ENTRIES, MessageBody, ReplyBody, Sender, decode,
            encode,
        },
        update::FoldUpdate,
    },
    ids::InstanceName,
    membership::{
        members::{BUCKETS, Change, MAX_MEMBERS, Members},
        merge::{Entry, Rank, Statement},
        rings::Contact,
    },
    time::Tick,
};

use super::{
    event::Event,
    last_contact::LastContact,
    state::{ControlState, Counters},
};

impl ControlState {
    /// Answers a message without I/O; further work is left to the control loops.
    pub fn handle(&self, bytes: &[u8]) -> Vec<u8> {
        Counters::add(&self.counters.bytes_received, bytes.len());
        let (your_floor, body) = match decode::<ControlMessage>(bytes) {
            Ok(message) => {
                let floor = self.with_floors(|floors| floors.position_of(&message.from.instance));
                self.record_sender(&message.from);
                (floor, self.answer(message))
            }
            Err(_) => (Default::default(), ReplyBody::Refused),
        };
        let reply = encode(&ControlReply { from: self.sender(), your_floor, body });
        Counters::add(&self.counters.bytes_sent, reply.len());
        reply
    }

    fn answer(&self, message: ControlMessage) -> ReplyBody {
        let from = &message.from.instance;
        match message.body {
            MessageBody::Probe { about_you } => {
                self.refute_if_outranked(about_you);
                ReplyBody::Ack { about_you: self.rank_of(from) }
            }
            MessageBody::LastContact { instance } => {
                ReplyBody::LastContactAgo(self.last_contact_ago(&instance))
            }
            MessageBody::Updates { entries } => {
                self.merge_entries(entries, from);
                ReplyBody::Ack { about_you: self.rank_of(from) }
            }
            MessageBody::Pull { held } => {
                ReplyBody::Update(self.with_fold(|fold| FoldUpdate::for_state(fold, held)))
            }
            MessageBody::Compare { digests } => self.compare(&digests),
            MessageBody::Exchange { wanted, entries } => {
                self.merge_entries(entries, from);
                ReplyBody::Entries(self.entries_of(&wanted))
            }
            MessageBody::Topic { topic, body } => self.answer_topic(topic, &body),
        }
    }

    /// Records the state of the sender, which every message and reply carries.
    pub(super) fn record_sender(&self, from: &Sender) {
        let now = self.now();
        self.merge_evacuations(&from.evacuations, from.instance.as_str());
        LastContact::record(&self.last_contact, &from.instance, now);
        self.with_floors(|floors| floors.record(&from.instance, from.position));
        if let Some(ago) = from.store_returned_ago {
            self.with_store_era(|known| known.record_return(ago, now));
        }
        if let Some(era) = from.store_era {
            self.record_era(era, from.instance.as_str());
        }
        let contact = Contact { instance: from.instance.clone(), addr: from.addr };
        if from.position > self.held_position() {
            let in_own_zone = from.zone == self.identity.zone;
            let (holder, position) = (contact.clone(), from.position);
            self.emit(Event::NewerConfiguration { holder, position, in_own_zone });
        }
        if from.members != self.with_members(|members| members.digest()) {
            self.emit(Event::MembersDiffer(contact));
        }
    }

    /// Refutes the rank at which another node holds this one, if it outranks this
    /// node's own record.
    pub(super) fn refute_if_outranked(&self, rank: Option<Rank>) {
        let Some(rank) = rank else { return };
        let statement = Statement { instance: self.identity.instance.clone(), rank };
        let now = self.now();
        let change = self.with_members(|members| members.merge_statement(&statement, now));
        if change == Change::Refuted {
            self.notify_own_change();
        }
    }

    /// Merges entries and emits an event for those that changed.
    pub(super) fn merge_entries(&self, entries: Vec<Entry>, source: &InstanceName) {
        let now = self.now();
        let changed = self.with_members(|members| merge_all(members, entries, now));
        if !changed.is_empty() {
            self.emit(Event::MembersChanged { members: changed, source: Some(source.clone()) });
        }
    }

    pub(super) fn rank_of(&self, instance: &InstanceName) -> Option<Rank> {
        self.with_members(|members| members.get(instance).map(Entry::rank))
    }

    fn last_contact_ago(&self, instance: &InstanceName) -> Option<Duration> {
        LastContact::time_of(&self.last_contact, instance).map(|at| self.now().since(at))
    }

    fn compare(&self, other_digests: &[u64]) -> ReplyBody {
        if other_digests.len() != BUCKETS {
            return ReplyBody::Refused;
        }
        self.with_members(|members| {
            let own_digests = *members.digests();
            let differs = |bucket: usize| own_digests[bucket] != other_digests[bucket];
            let buckets = (0..BUCKETS).filter(|bucket| differs(*bucket)).map(|b| b as u8);
            ReplyBody::Statements {
                buckets: buckets.collect(),
                statements: members.statements_in(differs),
            }
        })
    }

    /// Returns the entries with these names, at most [`MAX_ENTRIES`], which is the
    /// limit of one message.
    pub(super) fn entries_of(&self, names: &[InstanceName]) -> Vec<Entry> {
        self.with_members(|members| {
            names.iter().filter_map(|name| members.get(name)).take(MAX_ENTRIES).cloned().collect()
        })
    }
}

fn merge_all(members: &mut Members, entries: Vec<Entry>, now: Tick) -> Vec<InstanceName> {
    entries
        .into_iter()
        .take(MAX_MEMBERS)
        .filter_map(|entry| {
            let instance = entry.record.instance.clone();
            let changed = matches!(members.merge(entry, now), Change::Updated | Change::Refuted);
            changed.then_some(instance)
        })
        .collect()
}
