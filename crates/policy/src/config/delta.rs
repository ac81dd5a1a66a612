//! The difference between two configurations, as nodes send it to each other.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::{
    model::MAX_ROUTES,
    raw::{RawConfiguration, RawLimits, RawRoute, RawService},
};

/// A service that is new or changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceChange {
    /// Name of the service.
    pub name: String,
    /// The service after the change.
    pub service: RawService,
}

/// A run of consecutive routes of the new configuration.
///
/// A change seldom touches more than a few routes, but these may be anywhere in the
/// list, and an added or removed route shifts the index of all routes after it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RouteRun {
    /// Unchanged routes.
    Kept {
        /// Index of the first route in the old configuration.
        first: u32,
        /// Number of routes.
        count: u32,
    },
    /// Routes that are new or changed.
    New(Vec<RawRoute>),
}

/// Changes that turn one configuration into another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Services that are new or changed.
    pub changed: Vec<ServiceChange>,
    /// Names of removed services.
    pub removed: Vec<String>,
    /// All routes of the new configuration, if they differ.
    pub routes: Option<Vec<RouteRun>>,
    /// Limits of the new configuration, if they differ.
    pub limits: Option<RawLimits>,
}

/// The delta was derived from another configuration than the one to which it is
/// applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the delta refers to routes that the configuration doesn't have, or yields too many")]
pub struct DeltaMismatch;

impl ConfigDelta {
    /// Returns the delta that turns `from` into `to`.
    pub fn between(from: &RawConfiguration, to: &RawConfiguration) -> Self {
        let changed = to
            .services
            .iter()
            .filter(|(name, service)| from.services.get(*name) != Some(service))
            .map(|(name, service)| ServiceChange { name: name.clone(), service: service.clone() })
            .collect();
        let is_removed = |name: &&String| !to.services.contains_key(*name);
        Self {
            changed,
            removed: from.services.keys().filter(is_removed).cloned().collect(),
            routes: (from.routes != to.routes).then(|| runs(&from.routes, &to.routes)),
            limits: (from.limits != to.limits).then(|| to.limits.clone()),
        }
    }

    /// Applies the delta to the configuration from which it was derived.
    pub fn apply(self, from: &RawConfiguration) -> Result<RawConfiguration, DeltaMismatch> {
        let mut to = from.clone();
        for name in &self.removed {
            to.services.remove(name);
        }
        for change in self.changed {
            to.services.insert(change.name, change.service);
        }
        if let Some(runs) = self.routes {
            to.routes = join(runs, &from.routes)?;
        }
        if let Some(limits) = self.limits {
            to.limits = limits;
        }
        Ok(to)
    }
}

/// Expresses the routes `to` as runs of the routes `from` and new routes.
///
/// Each route is compared first with the one that follows the current run, so that
/// a long unchanged sequence becomes one run, and then with the one of its name.
fn runs(from: &[RawRoute], to: &[RawRoute]) -> Vec<RouteRun> {
    let by_name: HashMap<&str, usize> =
        from.iter().enumerate().map(|(i, route)| (route.name.as_str(), i)).collect();
    let mut runs = Vec::new();
    for route in to {
        let next = match runs.last() {
            Some(RouteRun::Kept { first, count }) => Some((first + count) as usize),
            _ => None,
        };
        let is_same = |i: &usize| from.get(*i) == Some(route);
        let named = || by_name.get(route.name.as_str()).copied().filter(is_same);
        let kept = next.filter(is_same).or_else(named);
        match (runs.last_mut(), kept) {
            (Some(RouteRun::Kept { count, .. }), Some(i)) if Some(i) == next => *count += 1,
            (_, Some(i)) => runs.push(RouteRun::Kept { first: i as u32, count: 1 }),
            (Some(RouteRun::New(routes)), None) => routes.push(route.clone()),
            (_, None) => runs.push(RouteRun::New(vec![route.clone()])),
        }
    }
    runs
}

/// Rebuilds the routes from the runs, at most [`MAX_ROUTES`].
fn join(runs: Vec<RouteRun>, from: &[RawRoute]) -> Result<Vec<RawRoute>, DeltaMismatch> {
    let mut routes = Vec::new();
    for run in runs {
        match run {
            RouteRun::Kept { first, count } => {
                let end = first.checked_add(count).ok_or(DeltaMismatch)?;
                let kept = from.get(first as usize..end as usize).ok_or(DeltaMismatch)?;
                routes.extend_from_slice(kept);
            }
            RouteRun::New(new) => routes.extend(new),
        }
        if routes.len() > MAX_ROUTES {
            return Err(DeltaMismatch);
        }
    }
    Ok(routes)
}
