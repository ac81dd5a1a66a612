//! When a member may answer for an idempotency key after its group changed.
//!
//! Any two quorums of one view share a replica. Across two views that holds only
//! if a replica that is new to a key has heard from enough of the former ones.
//! The tracker says whom to ask and which keys may be answered already. See
//! `docs/design/0005-ledger.md`.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use crate::{ids::InstanceName, time::Tick};

use super::ledger_view::{Identity, LedgerKey, LedgerMember, LedgerView, REPLICAS, read_quorum};

/// Number of views that a member remembers having been complete in.
const REMEMBERED_VIEWS: usize = 32;

/// How a node came to be in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The log says that the group had no member before this node.
    Founder,
    /// The group may have claims that this node doesn't know.
    Joiner,
}

/// What a member says of itself when it has handed over its claims.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Handover {
    /// Which life of which member it is.
    pub from: Identity,
    /// Whether it has fetched nothing of use yet.
    pub joining: bool,
    /// Digests of the views in which it could answer for every key.
    pub complete_in: Vec<u64>,
    /// Instances of the newest of these views.
    pub complete_with: Vec<InstanceName>,
    /// Lives of members that it has seen.
    pub seen: Vec<Identity>,
}

/// A former view from whose members claims have to be fetched.
#[derive(Debug)]
struct Transition {
    old: LedgerView,
    /// Members of `old` that haven't handed over their claims.
    missing: BTreeSet<Identity>,
    /// Whether this node was in `old` and remembers its claims.
    was_member: bool,
    at: Tick,
}

impl Transition {
    fn covers(&self, own: &Identity, key: LedgerKey) -> bool {
        let replicas = self.old.replicas(key);
        let is_own = |member: &&LedgerMember| self.was_member && member.identity == *own;
        if replicas.iter().any(is_own) {
            return true;
        }
        let heard = replicas.iter().filter(|m| !self.missing.contains(&m.identity)).count();
        !replicas.is_empty() && heard >= read_quorum(replicas.len())
    }

    /// Tells whether every key is covered, whatever its replicas are.
    fn covers_all(&self) -> bool {
        let replicas = self.old.members().len().min(REPLICAS);
        replicas > 0 && self.missing.len() + read_quorum(replicas) <= replicas
    }
}

/// What a joining node has heard in the current view.
#[derive(Debug, Default)]
struct Joining {
    /// Members that were complete and handed over their claims.
    heard: BTreeSet<Identity>,
    /// Members that are joining as well.
    joiners: BTreeSet<Identity>,
}

/// Follows the changes of a node's own group.
#[derive(Debug)]
pub struct SyncTracker {
    own: Identity,
    view: LedgerView,
    /// Set while the node hasn't been complete in any view.
    joining: Option<Joining>,
    /// Start of the node's membership; older claims than `keep` don't exist.
    started: Tick,
    transitions: Vec<Transition>,
    seen: BTreeMap<InstanceName, BTreeSet<u64>>,
    complete_in: VecDeque<u64>,
    /// Instances of the newest view in which the node was complete.
    complete_with: Vec<InstanceName>,
    keep: Duration,
}

impl SyncTracker {
    /// Creates the tracker of a node that starts.
    ///
    /// `keep` is the time for which claims are kept anywhere.
    pub fn new(own: LedgerMember, origin: Origin, keep: Duration, now: Tick) -> Self {
        let joining = match origin {
            Origin::Founder => None,
            Origin::Joiner => Some(Joining::default()),
        };
        let mut tracker = Self {
            own: own.identity.clone(),
            view: LedgerView::new(vec![own]),
            joining,
            started: now,
            transitions: Vec::new(),
            seen: BTreeMap::new(),
            complete_in: VecDeque::new(),
            complete_with: Vec::new(),
            keep,
        };
        tracker.note_seen();
        tracker.note_complete();
        tracker
    }

    /// Returns who this node is in the group.
    pub fn own(&self) -> &Identity {
        &self.own
    }

    /// Returns the current view.
    pub fn view(&self) -> &LedgerView {
        &self.view
    }

    /// Takes in the group as the membership shows it; tells whether it changed.
    pub fn adopt(&mut self, view: LedgerView, now: Tick) -> bool {
        self.expire(now);
        if view.digest() == self.view.digest() {
            return false;
        }
        let old = std::mem::replace(&mut self.view, view);
        self.note_seen();
        if let Some(joining) = &mut self.joining {
            *joining = Joining::default();
            return true;
        }
        if !old.contains(&self.own) && self.view.contains(&self.own) {
            self.join_again(now);
        } else if self.loses_a_member(&old) {
            self.transitions.push(self.transition_from(old, now));
        }
        self.note_complete();
        true
    }

    /// Returns the members whose claims are still wanted.
    pub fn wanted(&self) -> Vec<LedgerMember> {
        let mut wanted: Vec<LedgerMember> = match &self.joining {
            Some(joining) => {
                let is_heard = |id: &Identity| joining.heard.contains(id);
                self.view.without(is_heard).members().to_vec()
            }
            None => self.transitions.iter().flat_map(missing_members).cloned().collect(),
        };
        wanted.sort();
        wanted.dedup();
        wanted.retain(|member| member.identity != self.own);
        wanted
    }

    /// Takes note of a member in the same view that handed over all its claims.
    pub fn fetched(&mut self, handover: &Handover) {
        for identity in &handover.seen {
            self.seen.entry(identity.instance.clone()).or_default().insert(identity.incarnation);
        }
        match &mut self.joining {
            Some(joining) if handover.joining => {
                joining.joiners.insert(handover.from.clone());
            }
            Some(joining) if handover.complete_in.contains(&self.view.digest()) => {
                joining.heard.insert(handover.from.clone());
            }
            Some(_) => {}
            None => self.fetched_for_transitions(handover),
        }
        self.finish_joining();
        self.note_complete();
    }

    /// Returns what this node says of itself when it hands over its claims.
    pub fn handover(&self) -> Handover {
        let lives = |(instance, lives): (&InstanceName, &BTreeSet<u64>)| {
            let instance = instance.clone();
            let identity =
                move |&incarnation: &u64| Identity { instance: instance.clone(), incarnation };
            lives.iter().map(identity).collect::<Vec<_>>()
        };
        Handover {
            from: self.own.clone(),
            joining: self.joining.is_some(),
            complete_in: self.complete_in.iter().copied().collect(),
            complete_with: self.complete_with.clone(),
            seen: self.seen.iter().flat_map(lives).collect(),
        }
    }

    /// Tells whether this node can answer for every key.
    pub fn is_complete(&self) -> bool {
        self.joining.is_none() && self.transitions.iter().all(Transition::covers_all)
    }

    /// Tells whether this node can answer for a key.
    pub fn covers(&mut self, key: LedgerKey, now: Tick) -> bool {
        self.expire(now);
        if let Some(joining) = &self.joining {
            return self.joined_from(joining).covers(&self.own, key);
        }
        self.transitions.iter().all(|transition| transition.covers(&self.own, key))
    }

    /// Drops what concerns only claims that are past their time.
    fn expire(&mut self, now: Tick) {
        let keep = self.keep;
        self.transitions.retain(|transition| now.since(transition.at) <= keep);
        if self.joining.is_some() && now.since(self.started) > keep {
            self.joining = None;
        }
        self.note_complete();
    }

    /// Begins to fetch what was claimed while this node wasn't in the group.
    fn join_again(&mut self, now: Tick) {
        self.joining = Some(Joining::default());
        self.started = now;
        self.transitions.clear();
    }

    /// Tells whether an instance of `old` is gone.
    ///
    /// Only then can a member become a replica of a key that it didn't know:
    /// members that come, or start again, only push others out.
    fn loses_a_member(&self, old: &LedgerView) -> bool {
        old.members().iter().any(|member| !self.view.names(&member.identity.instance))
    }

    fn transition_from(&self, old: LedgerView, now: Tick) -> Transition {
        let was_member = old.contains(&self.own);
        let others = old.members().iter().map(|member| member.identity.clone());
        let missing = others.filter(|identity| *identity != self.own).collect();
        Transition { old, missing, was_member, at: now }
    }

    fn fetched_for_transitions(&mut self, handover: &Handover) {
        let now_complete = handover.complete_in.contains(&self.view.digest());
        for transition in &mut self.transitions {
            if now_complete || was_complete(handover, &transition.old) {
                transition.missing.remove(&handover.from);
            }
        }
        self.transitions.retain(|transition| !transition.missing.is_empty());
    }

    fn finish_joining(&mut self) {
        let Some(joining) = &self.joining else { return };
        if self.joined_from(joining).covers_all() {
            self.joining = None;
        }
    }

    /// Returns the group that may have granted claims before this node joined.
    ///
    /// Members that are joining themselves are left out, and so is this node,
    /// unless somebody has seen an earlier life of theirs.
    fn joined_from(&self, joining: &Joining) -> Transition {
        let is_new = |identity: &Identity| {
            let is_joiner = *identity == self.own || joining.joiners.contains(identity);
            is_joiner && !self.had_other_life(identity)
        };
        let old = match joining.heard.is_empty() {
            true => self.view.clone(),
            false => self.view.without(is_new),
        };
        let members = old.members().iter().map(|member| member.identity.clone());
        let missing = members.filter(|identity| !joining.heard.contains(identity)).collect();
        Transition { old, missing, was_member: false, at: self.started }
    }

    fn had_other_life(&self, identity: &Identity) -> bool {
        let lives = self.seen.get(&identity.instance);
        lives.is_some_and(|lives| lives.iter().any(|life| *life != identity.incarnation))
    }

    fn note_seen(&mut self) {
        for member in self.view.members() {
            let identity = &member.identity;
            self.seen.entry(identity.instance.clone()).or_default().insert(identity.incarnation);
        }
    }

    fn note_complete(&mut self) {
        let digest = self.view.digest();
        if !self.is_complete() || !self.view.contains(&self.own) {
            return;
        }
        let names = self.view.members().iter().map(|member| member.identity.instance.clone());
        self.complete_with = names.collect();
        if self.complete_in.contains(&digest) {
            return;
        }
        if self.complete_in.len() == REMEMBERED_VIEWS {
            self.complete_in.pop_front();
        }
        self.complete_in.push_back(digest);
    }
}

/// Tells whether a member could answer for every key in a former view.
///
/// Members that come take nothing away from it, so that a view with more
/// instances than one in which it was complete will do. It may have seen the
/// changes of the group in other steps than this node.
fn was_complete(handover: &Handover, old: &LedgerView) -> bool {
    let is_in_old = |name: &InstanceName| old.names(name);
    let only_grew = handover.complete_with.iter().all(is_in_old);
    let was_any = !handover.complete_with.is_empty();
    handover.complete_in.contains(&old.digest()) || (was_any && only_grew)
}

fn missing_members(transition: &Transition) -> impl Iterator<Item = &LedgerMember> {
    transition.old.members().iter().filter(|member| transition.missing.contains(&member.identity))
}
