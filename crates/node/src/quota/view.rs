//! The members as the quotas see them: owners of accounts and the share of nodes reached.

use std::{collections::BTreeSet, time::Duration};

use savorykeel_policy::{
    accounts::Quota,
    ids::{AccountName, InstanceName},
    membership::entry::Liveness,
    quota::{
        meter::{Allowance, Reach},
        owner::Ownership,
        slots::{Slots, rank},
    },
    time::Tick,
};

use crate::control::state::ControlState;

/// Shortest time between two looks at the members, which may change often in a large fleet.
const REFRESH_PERIOD: Duration = Duration::from_millis(50);

/// What a node knows about the members.
pub(super) struct View {
    own: InstanceName,
    slots: Slots,
    known: BTreeSet<InstanceName>,
    reached: u32,
    revision: u64,
    refreshed_at: Tick,
}

impl View {
    /// Creates the view of a node that knows no other.
    pub(super) fn new(own: InstanceName, now: Tick) -> Self {
        let slots = Slots::new(own.clone(), now);
        let known = BTreeSet::from([own.clone()]);
        Self { own, slots, known, reached: 1, revision: 0, refreshed_at: now }
    }

    /// Takes over the members if they have changed.
    pub(super) fn refresh(&mut self, control: &ControlState, now: Tick) {
        if now.since(self.refreshed_at) < REFRESH_PERIOD {
            return;
        }
        self.refreshed_at = now;
        let live = control.with_members(|members| {
            if members.revision() == self.revision {
                return None;
            }
            self.revision = members.revision();
            let staying = || {
                members
                    .records()
                    .filter(|(record, liveness)| *liveness != Liveness::Gone && !record.leaving)
            };
            self.known = staying().map(|(record, _)| record.instance.clone()).collect();
            let is_alive = |liveness: Liveness| liveness == Liveness::Alive;
            self.reached = staying().filter(|(_, l)| is_alive(*l)).count() as u32;
            let is_live = |l: Liveness| matches!(l, Liveness::Alive | Liveness::Suspect);
            let live = staying().filter(|(_, l)| is_live(*l));
            Some(live.map(|(record, _)| record.instance.clone()).collect())
        });
        if let Some(live) = live {
            self.slots.update(live, now);
        }
    }

    /// Returns the owner of an account's quota.
    pub(super) fn owner_of(&self, account: &AccountName) -> InstanceName {
        self.slots.owner_of(account).0.clone()
    }

    /// Returns what this node knows as the owner of an account's quota.
    pub(super) fn ownership(&self, account: &AccountName, quota: Option<Quota>) -> Ownership {
        let known = self.known.len() as u32;
        let reach = Reach { reached: self.reached, known };
        let (owner, since) = self.slots.owner_of(account);
        Ownership {
            quota,
            allowance: self.allowance(account, quota, reach),
            since: (*owner == self.own).then_some(since),
            nodes: known,
        }
    }

    /// Returns what this node may grant by itself while it can't reach the owner.
    pub(super) fn static_allowance(&self, account: &AccountName, quota: Quota) -> Allowance {
        let reach = Reach { reached: 1, known: self.known.len() as u32 };
        self.allowance(account, Some(quota), reach)
    }

    fn allowance(&self, account: &AccountName, quota: Option<Quota>, reach: Reach) -> Allowance {
        let rank = || rank(&self.own, account, self.known.iter());
        quota.map_or(Allowance::Nothing, |quota| Allowance::of(quota, reach, rank))
    }
}
