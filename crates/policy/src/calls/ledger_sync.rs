//! Synchronization of claims after a service's group changed.
//!
//! A view is the list of the group's members as one node sees it. Any two quorums of
//! one view share a replica. Across two views that holds only if a member that becomes
//! a replica of a key has fetched the claims of enough former replicas. The tracker returns the members to fetch claims from and the keys
//! that this node can already decide on. See `docs/design/0005-ledger.md`.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use crate::{ids::InstanceName, time::Tick};

use super::ledger_view::{Identity, LedgerKey, LedgerMember, LedgerView, REPLICAS, read_quorum};

/// Maximum number of views in which a member was complete that it retains.
const MAX_COMPLETE_VIEWS: usize = 32;

/// Whether a node founded its group or joined an existing one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// According to the log, the group had no member before this node.
    Founder,
    /// The group may have granted claims that this node hasn't fetched.
    Joiner,
}

/// State of a member, sent with the last page of its claims.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Handover {
    /// Instance and incarnation of the member.
    pub from: Identity,
    /// Whether it is itself joining and hasn't fetched enough claims yet.
    pub joining: bool,
    /// Digests of the views in which it was complete, that is, could decide on
    /// every key.
    pub complete_in: Vec<u64>,
    /// Instances of the newest of these views.
    pub complete_with: Vec<InstanceName>,
    /// Incarnations of members that it has seen.
    pub seen: Vec<Identity>,
}

/// A former view from whose members claims have to be fetched.
#[derive(Debug)]
struct Transition {
    old: LedgerView,
    /// Members of `old` whose claims haven't been fetched.
    missing: BTreeSet<Identity>,
    /// Whether this node was in `old` and still has its claims.
    was_member: bool,
    changed_at: Tick,
}

impl Transition {
    /// Returns whether this node can decide on a key, because it was a replica of the
    /// key or has fetched the claims of enough former replicas.
    fn covers(&self, own: &Identity, key: LedgerKey) -> bool {
        let replicas = self.old.replicas(key);
        let is_own = |member: &&LedgerMember| self.was_member && member.identity == *own;
        if replicas.iter().any(is_own) {
            return true;
        }
        let received = replicas.iter().filter(|m| !self.missing.contains(&m.identity)).count();
        !replicas.is_empty() && received >= read_quorum(replicas.len())
    }

    /// Returns whether every key is covered, whichever members are its replicas.
    fn covers_all(&self) -> bool {
        let replicas = self.old.members().len().min(REPLICAS);
        replicas > 0 && self.missing.len() + read_quorum(replicas) <= replicas
    }
}

/// Handovers that a joining node has received in the current view.
#[derive(Debug, Default)]
struct Joining {
    /// Members that were complete and whose claims have been fetched.
    handed_over: BTreeSet<Identity>,
    /// Members that are joining themselves.
    joiners: BTreeSet<Identity>,
}

/// Tracks the changes of a node's own group and the claims it has to fetch.
#[derive(Debug)]
pub struct SyncTracker {
    own: Identity,
    view: LedgerView,
    /// Set while the node is joining: it hasn't been complete since it (re)joined.
    joining: Option<Joining>,
    /// Time at which the node joined; once `retention` has passed, every claim
    /// that was granted before has expired.
    started: Tick,
    transitions: Vec<Transition>,
    seen: BTreeMap<InstanceName, BTreeSet<u64>>,
    complete_in: VecDeque<u64>,
    /// Instances of the newest view in which the node was complete.
    complete_with: Vec<InstanceName>,
    retention: Duration,
}

impl SyncTracker {
    /// Creates the tracker of a node that starts.
    ///
    /// `retention` is the time for which every replica stores claims.
    pub fn new(own: LedgerMember, origin: Origin, retention: Duration, now: Tick) -> Self {
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
            retention,
        };
        tracker.record_seen();
        tracker.record_complete();
        tracker
    }

    /// Returns this node's identity in the group.
    pub fn own(&self) -> &Identity {
        &self.own
    }

    /// Returns the current view of the group.
    pub fn view(&self) -> &LedgerView {
        &self.view
    }

    /// Replaces the view by the group according to the membership table; returns
    /// whether it changed.
    pub fn update_view(&mut self, view: LedgerView, now: Tick) -> bool {
        self.expire(now);
        if view.digest() == self.view.digest() {
            return false;
        }
        let old = std::mem::replace(&mut self.view, view);
        self.record_seen();
        if let Some(joining) = &mut self.joining {
            *joining = Joining::default();
            return true;
        }
        if !old.contains(&self.own) && self.view.contains(&self.own) {
            self.rejoin(now);
        } else if self.has_lost_instance(&old) {
            self.transitions.push(self.transition_from(old, now));
        }
        self.record_complete();
        true
    }

    /// Returns the members whose claims still have to be fetched.
    pub fn members_to_fetch(&self) -> Vec<LedgerMember> {
        let mut members: Vec<LedgerMember> = match &self.joining {
            Some(joining) => {
                let has_handed_over = |id: &Identity| joining.handed_over.contains(id);
                self.view.without(has_handed_over).members().to_vec()
            }
            None => self.transitions.iter().flat_map(missing_members).cloned().collect(),
        };
        members.sort();
        members.dedup();
        members.retain(|member| member.identity != self.own);
        members
    }

    /// Records that all claims of a member with the same view were fetched.
    pub fn record_handover(&mut self, handover: &Handover) {
        for identity in &handover.seen {
            self.seen.entry(identity.instance.clone()).or_default().insert(identity.incarnation);
        }
        match &mut self.joining {
            Some(joining) if handover.joining => {
                joining.joiners.insert(handover.from.clone());
            }
            Some(joining) if handover.complete_in.contains(&self.view.digest()) => {
                joining.handed_over.insert(handover.from.clone());
            }
            Some(_) => {}
            None => self.record_transition_handover(handover),
        }
        self.finish_joining();
        self.record_complete();
    }

    /// Returns the state that this node sends with the last page of its claims.
    pub fn handover(&self) -> Handover {
        let identities = |(instance, incarnations): (&InstanceName, &BTreeSet<u64>)| {
            let instance = instance.clone();
            let identity =
                move |&incarnation: &u64| Identity { instance: instance.clone(), incarnation };
            incarnations.iter().map(identity).collect::<Vec<_>>()
        };
        Handover {
            from: self.own.clone(),
            joining: self.joining.is_some(),
            complete_in: self.complete_in.iter().copied().collect(),
            complete_with: self.complete_with.clone(),
            seen: self.seen.iter().flat_map(identities).collect(),
        }
    }

    /// Returns whether this node can decide on every key.
    pub fn is_complete(&self) -> bool {
        self.joining.is_none() && self.transitions.iter().all(Transition::covers_all)
    }

    /// Returns whether this node can decide on a key.
    pub fn covers(&mut self, key: LedgerKey, now: Tick) -> bool {
        self.expire(now);
        if let Some(joining) = &self.joining {
            return self.pre_join_transition(joining).covers(&self.own, key);
        }
        self.transitions.iter().all(|transition| transition.covers(&self.own, key))
    }

    /// Ends transitions and joins that concern only expired claims.
    fn expire(&mut self, now: Tick) {
        let retention = self.retention;
        self.transitions.retain(|transition| now.since(transition.changed_at) <= retention);
        if self.joining.is_some() && now.since(self.started) > retention {
            self.joining = None;
        }
        self.record_complete();
    }

    /// Starts to fetch the claims that were granted while this node wasn't in the
    /// group.
    fn rejoin(&mut self, now: Tick) {
        self.joining = Some(Joining::default());
        self.started = now;
        self.transitions.clear();
    }

    /// Returns whether an instance of `old` is no longer in the view.
    ///
    /// Only then can a member become a replica of a key that it wasn't a replica of
    /// before: members that join or restart only displace others.
    fn has_lost_instance(&self, old: &LedgerView) -> bool {
        old.members().iter().any(|member| !self.view.contains_instance(&member.identity.instance))
    }

    fn transition_from(&self, old: LedgerView, now: Tick) -> Transition {
        let was_member = old.contains(&self.own);
        let others = old.members().iter().map(|member| member.identity.clone());
        let missing = others.filter(|identity| *identity != self.own).collect();
        Transition { old, missing, was_member, changed_at: now }
    }

    fn record_transition_handover(&mut self, handover: &Handover) {
        let is_complete_now = handover.complete_in.contains(&self.view.digest());
        for transition in &mut self.transitions {
            if is_complete_now || was_complete(handover, &transition.old) {
                transition.missing.remove(&handover.from);
            }
        }
        self.transitions.retain(|transition| !transition.missing.is_empty());
    }

    fn finish_joining(&mut self) {
        let Some(joining) = &self.joining else { return };
        if self.pre_join_transition(joining).covers_all() {
            self.joining = None;
        }
    }

    /// Returns the group that may have granted claims before this node joined.
    ///
    /// Members that are joining themselves are left out, and so is this node,
    /// unless a member has seen another incarnation of theirs.
    fn pre_join_transition(&self, joining: &Joining) -> Transition {
        let is_new = |identity: &Identity| {
            let is_joiner = *identity == self.own || joining.joiners.contains(identity);
            is_joiner && !self.had_other_incarnation(identity)
        };
        let old = match joining.handed_over.is_empty() {
            true => self.view.clone(),
            false => self.view.without(is_new),
        };
        let members = old.members().iter().map(|member| member.identity.clone());
        let missing = members.filter(|identity| !joining.handed_over.contains(identity)).collect();
        Transition { old, missing, was_member: false, changed_at: self.started }
    }

    fn had_other_incarnation(&self, identity: &Identity) -> bool {
        let known = self.seen.get(&identity.instance);
        known.is_some_and(|known| known.iter().any(|other| *other != identity.incarnation))
    }

    fn record_seen(&mut self) {
        for member in self.view.members() {
            let identity = &member.identity;
            self.seen.entry(identity.instance.clone()).or_default().insert(identity.incarnation);
        }
    }

    fn record_complete(&mut self) {
        let digest = self.view.digest();
        if !self.is_complete() || !self.view.contains(&self.own) {
            return;
        }
        let names = self.view.members().iter().map(|member| member.identity.instance.clone());
        self.complete_with = names.collect();
        if self.complete_in.contains(&digest) {
            return;
        }
        if self.complete_in.len() == MAX_COMPLETE_VIEWS {
            self.complete_in.pop_front();
        }
        self.complete_in.push_back(digest);
    }
}

/// Returns whether a member was complete in a former view.
///
/// A member keeps its claims when others join, so it is enough if the former view
/// has all instances of one in which the member was complete. The member may have
/// seen the changes of the group in other steps than this node.
fn was_complete(handover: &Handover, old: &LedgerView) -> bool {
    let is_in_old = |name: &InstanceName| old.contains_instance(name);
    let only_grew = handover.complete_with.iter().all(is_in_old);
    let had_complete_view = !handover.complete_with.is_empty();
    handover.complete_in.contains(&old.digest()) || (had_complete_view && only_grew)
}

fn missing_members(transition: &Transition) -> impl Iterator<Item = &LedgerMember> {
    transition.old.members().iter().filter(|member| transition.missing.contains(&member.identity))
}
