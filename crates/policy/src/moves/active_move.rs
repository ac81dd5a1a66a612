//! The current move of a service: the versions that lose and gain its traffic.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

use crate::{
    ids::{BackendVersion, ConfigVersion, ServiceName},
    table::ServiceTable,
};

use super::{
    monitor::Baseline,
    state::{MoveKey, MoveState, Permille},
    status::Phase,
    targets::{FIRST_VERSION, Target},
    tracker::MoveTracker,
};

/// The current move of a service.
pub(super) struct ActiveMove {
    /// The version that gains traffic, with the configuration that requested it.
    pub(super) target: Target,
    /// State of the move.
    pub(super) state: MoveState,
    /// The version that loses traffic; none when it has no live instances.
    pub(super) old: Option<BackendVersion>,
    /// Why `old` may be none.
    pub(super) baseline: Baseline,
}

/// Returns the phase of a move that operators read.
///
/// `share` is the share of traffic that the new version currently gets.
pub(super) fn phase_of(table: &ServiceTable, active: &ActiveMove, share: Permille) -> Phase {
    if active.state.bad.is_some() {
        return Phase::TakenBack;
    }
    if slots_of(table, &active.target.version) == 0 {
        return Phase::WaitingForInstances;
    }
    match (active.state.done, active.state.is_rechecking()) {
        (true, true) => Phase::Rechecking,
        (true, false) => Phase::Done,
        (false, _) if active.old.is_none() => Phase::Rising,
        (false, _) if share < active.state.share => Phase::WaitingForCapacity,
        (false, _) => Phase::Rising,
    }
}

/// Returns the total number of slots of a version's live instances that take requests.
pub(super) fn slots_of(table: &ServiceTable, version: &BackendVersion) -> u32 {
    let live = table.endpoints.iter().filter(|endpoint| endpoint.version == *version);
    live.map(|endpoint| endpoint.slots).sum()
}

/// Returns the number of a version's live instances.
pub(super) fn instances_of(table: &ServiceTable, version: &BackendVersion) -> u32 {
    table.endpoints.iter().filter(|endpoint| endpoint.version == *version).count() as u32
}

impl MoveTracker {
    /// Returns the state of the move to a target.
    ///
    /// It joins the states of all configurations from the one that requested the
    /// target to the one that requested the next, because nodes that skipped
    /// configurations may record the move under a later one.
    pub(super) fn state(&self, service: &ServiceName, target: &Target) -> MoveState {
        let states = self.states.range(self.keys_of(service, target));
        states.fold(MoveState::default(), |joined, (_, state)| joined.joined(state))
    }

    /// Returns the keys under which nodes may know the move to a target: from the id of the
    /// target to that of the next one.
    pub(super) fn keys_of(&self, service: &ServiceName, target: &Target) -> Range<MoveKey> {
        let next =
            self.targets.history(service).into_iter().find(|later| later.asked > target.asked);
        let end = next.map_or(ConfigVersion(u64::MAX), |next| next.asked);
        let key = |asked| MoveKey { service: service.clone(), asked };
        key(target.asked)..key(end)
    }

    /// Returns the current move of a service, or none when no configuration named a
    /// version for it.
    pub(super) fn active_move(
        &self,
        table: &ServiceTable,
        service: &ServiceName,
    ) -> Option<ActiveMove> {
        let mut history = self.targets.history(service);
        let target = history.pop()?;
        let state = self.state(service, &target);
        let live: BTreeSet<&BackendVersion> =
            table.all_endpoints().map(|endpoint| &endpoint.version).collect();
        let baseline = self.baseline(service, &history);
        let is_usable = |candidate: &Target| {
            candidate.version != target.version
                && live.contains(&candidate.version)
                && self.state(service, candidate).bad.is_none()
        };
        let latest_usable = || history.iter().rev().find(|earlier| is_usable(earlier)).cloned();
        if let Some(baseline) = self.carried_by_target(table, &history, &target, &baseline)
            && state.bad.is_none()
        {
            // Requests go elsewhere only while the target has no backend server in reach.
            let is_live = live.contains(&target.version);
            let old = latest_usable().filter(|_| !is_live).map(|earlier| earlier.version);
            return Some(ActiveMove { target, state, old, baseline });
        }
        let usable_baseline = baseline.filter(is_usable);
        let old = usable_baseline
            .map(|earlier| earlier.version)
            .or_else(|| self.unnamed_baseline(table, &history, &target))
            .or_else(|| latest_usable().map(|earlier| earlier.version));
        let baseline = if history.is_empty() { Baseline::Unknown } else { Baseline::Known };
        Some(ActiveMove { target, state, old, baseline })
    }

    /// Returns how well it is known that the target has carried the traffic without interruption,
    /// or none if it hasn't.
    fn carried_by_target(
        &self,
        table: &ServiceTable,
        history: &[Target],
        target: &Target,
        baseline: &Option<Target>,
    ) -> Option<Baseline> {
        if let Some(baseline) = baseline {
            return (baseline.version == target.version).then_some(Baseline::Target);
        }
        if target.is_incumbent {
            return Some(Baseline::Target);
        }
        // No earlier target was done, so that none had all traffic. If no other version can have
        // had the rest, a target that wasn't requested before had it.
        let is_named = |version: &BackendVersion| history.iter().any(|t| t.version == *version);
        let versions = table.all_endpoints().map(|endpoint| &endpoint.version);
        let others = versions.chain(&table.unreachable).filter(|v| **v != target.version);
        let others: Vec<&BackendVersion> = others.collect();
        let is_left_over = !others.is_empty() && others.into_iter().all(is_named);
        (is_left_over && !is_named(&target.version)).then_some(Baseline::Unknown)
    }

    /// Returns whether backend servers of another version than the target, which wasn't found to
    /// be bad, may be running on nodes that can't be reached.
    pub(super) fn may_other_be_cut_off(
        &self,
        table: &ServiceTable,
        service: &ServiceName,
        active: &ActiveMove,
    ) -> bool {
        let history = self.targets.history(service);
        let is_bad = |version: &BackendVersion| {
            let last = history.iter().rev().find(|earlier| earlier.version == *version);
            last.is_some_and(|earlier| self.state(service, earlier).bad.is_some())
        };
        let mut others = table.unreachable.iter().filter(|v| **v != active.target.version);
        others.any(|version| !is_bad(version))
    }

    /// Returns the version that carried all traffic before the target was
    /// requested: the last one whose move was done, else the one before the first request or the
    /// target of the first configuration.
    fn baseline(&self, service: &ServiceName, history: &[Target]) -> Option<Target> {
        let is_done = |earlier: &&Target| {
            let state = self.state(service, earlier);
            state.done && state.bad.is_none()
        };
        if let Some(done) = history.iter().rev().find(is_done) {
            return Some(done.clone());
        }
        // A later target whose move was never done took its traffic from a version
        // that no configuration named, so only the first target can be the baseline.
        let is_first = |earlier: &&Target| earlier.is_incumbent || earlier.asked == FIRST_VERSION;
        history
            .iter()
            .filter(is_first)
            .find(|earlier| self.state(service, earlier).bad.is_none())
            .cloned()
    }

    /// Returns the version that carried the traffic before a move, for its stored status.
    pub(super) fn traffic_before(
        &self,
        service: &ServiceName,
        active: &ActiveMove,
    ) -> Option<BackendVersion> {
        let history = self.targets.history(service);
        let earlier = history.iter().position(|target| target.asked == active.target.asked);
        let baseline = self.baseline(service, &history[..earlier.unwrap_or_default()]);
        baseline.map(|earlier| earlier.version).or_else(|| active.old.clone())
    }

    /// Returns the version with the most live instances among those that were never
    /// a target.
    ///
    /// Without it, a node without history, or a service whose configuration named
    /// no version before, would send all traffic to the target at once. Before the
    /// first configuration no version carried traffic, so its targets have no
    /// baseline and versions that it doesn't name get no calls.
    fn unnamed_baseline(
        &self,
        table: &ServiceTable,
        history: &[Target],
        target: &Target,
    ) -> Option<BackendVersion> {
        let first = history.first().unwrap_or(target);
        if first.asked == FIRST_VERSION {
            return None;
        }
        let mut counts: BTreeMap<&BackendVersion, usize> = BTreeMap::new();
        for endpoint in table.all_endpoints() {
            *counts.entry(&endpoint.version).or_default() += 1;
        }
        for named in history.iter().chain([target]) {
            counts.remove(&named.version);
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map(|(version, _)| version.clone())
    }
}
