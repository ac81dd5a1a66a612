//! Which version a service's traffic comes from and goes to.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ids::{BackendVersion, ConfigVersion, ServiceName},
    table::ServiceTable,
};

use super::{
    book::MoveBook,
    state::{MoveKey, MoveState, Permille},
    status::Phase,
    targets::Target,
    watch::Base,
};

/// Version of the first configuration that was ever accepted.
const FIRST_VERSION: ConfigVersion = ConfigVersion(1);

/// Where a service's traffic goes from and to.
pub(super) struct Course {
    /// The target in force.
    pub(super) target: Target,
    /// State of its move.
    pub(super) state: MoveState,
    /// The version that loses traffic, when it has live instances.
    pub(super) old: Option<BackendVersion>,
    /// Why there may be none.
    pub(super) base: Base,
}

/// Returns where the move stands for operators.
pub(super) fn phase_of(table: &ServiceTable, course: &Course, share: Permille) -> Phase {
    if course.state.bad.is_some() {
        return Phase::TakenBack;
    }
    if slots_of(table, &course.target.version) == 0 {
        return Phase::WaitingForInstances;
    }
    match (course.state.done, course.state.is_rechecking()) {
        (true, true) => Phase::Rechecking,
        (true, false) => Phase::Done,
        (false, _) if course.old.is_none() => Phase::Rising,
        (false, _) if share < course.state.share => Phase::WaitingForCapacity,
        (false, _) => Phase::Rising,
    }
}

/// Returns the slots of a version's live instances.
pub(super) fn slots_of(table: &ServiceTable, version: &BackendVersion) -> u32 {
    let live = table.endpoints.iter().filter(|endpoint| endpoint.version == *version);
    live.map(|endpoint| endpoint.slots).sum()
}

/// Returns the number of a version's live instances.
pub(super) fn instances_of(table: &ServiceTable, version: &BackendVersion) -> u32 {
    table.endpoints.iter().filter(|endpoint| endpoint.version == *version).count() as u32
}

impl MoveBook {
    /// Returns the state of a target: all states that were noted under an id
    /// within its run belong to it.
    pub(super) fn state(&self, service: &ServiceName, target: &Target) -> MoveState {
        let from = MoveKey { service: service.clone(), asked: target.asked };
        let next = self.targets.runs(service).into_iter().find(|run| run.asked > target.asked);
        let end = next.map_or(ConfigVersion(u64::MAX), |next| next.asked);
        let to = MoveKey { service: service.clone(), asked: end };
        let states = self.states.range(from..to);
        states.fold(MoveState::default(), |joined, (_, state)| joined.joined(state))
    }

    pub(super) fn course(&self, table: &ServiceTable, service: &ServiceName) -> Option<Course> {
        let mut runs = self.targets.runs(service);
        let target = runs.pop()?;
        let state = self.state(service, &target);
        let live: BTreeSet<&BackendVersion> =
            table.endpoints.iter().map(|endpoint| &endpoint.version).collect();
        let base = self.base(service, &runs);
        let is_return = base.as_ref().is_some_and(|base| base.version == target.version);
        if is_return && state.bad.is_none() {
            // The target never stopped carrying the traffic.
            return Some(Course { target, state, old: None, base: Base::Target });
        }
        let is_usable = |run: &Target| {
            run.version != target.version
                && live.contains(&run.version)
                && self.state(service, run).bad.is_none()
        };
        let known = base.filter(is_usable);
        let earlier = || runs.iter().rev().find(|run| is_usable(run)).cloned();
        let old = known
            .map(|run| run.version)
            .or_else(|| self.unnamed_base(table, &runs, &target))
            .or_else(|| earlier().map(|run| run.version));
        let base = if runs.is_empty() { Base::Unknown } else { Base::Known };
        Some(Course { target, state, old, base })
    }

    /// Returns the version that carried all traffic before the target was asked
    /// for: the last that was done, else the oldest known.
    fn base(&self, service: &ServiceName, runs: &[Target]) -> Option<Target> {
        let is_done = |run: &&Target| {
            let state = self.state(service, run);
            state.done && state.bad.is_none()
        };
        if let Some(done) = runs.iter().rev().find(is_done) {
            return Some(done.clone());
        }
        // A target of a later configuration that was never done took traffic from
        // a version that no configuration named.
        let named = runs.iter().filter(|run| run.asked == FIRST_VERSION);
        named.into_iter().find(|run| self.state(service, run).bad.is_none()).cloned()
    }

    /// Takes the version with most live instances among those that were never a
    /// target, so that a node without history, or a service whose configuration
    /// named no version before, doesn't hand all traffic to the target.
    ///
    /// Before the first configuration no version carried traffic, so that its
    /// targets have no base and versions that it doesn't name get no call.
    fn unnamed_base(
        &self,
        table: &ServiceTable,
        runs: &[Target],
        target: &Target,
    ) -> Option<BackendVersion> {
        let first = runs.first().unwrap_or(target);
        if first.asked == FIRST_VERSION {
            return None;
        }
        let mut counts: BTreeMap<&BackendVersion, usize> = BTreeMap::new();
        for endpoint in &table.endpoints {
            *counts.entry(&endpoint.version).or_default() += 1;
        }
        for named in runs.iter().chain([target]) {
            counts.remove(&named.version);
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map(|(version, _)| version.clone())
    }
}
