//! The difference between two configurations, as one node sends it to another.

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
    /// The service as it is now.
    pub service: RawService,
}

/// A stretch of the routes as they are now, in their order.
///
/// An operator's change seldom touches more than a few routes, but those may stand
/// anywhere, and routes that come or go shift all that follow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RouteRun {
    /// Routes that stay as they were.
    Kept {
        /// Index of the first one before the change.
        first: u32,
        /// Number of them.
        count: u32,
    },
    /// Routes that are new or changed.
    New(Vec<RawRoute>),
}

/// Turns one configuration into another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Services that are new or changed.
    pub changed: Vec<ServiceChange>,
    /// Names of services that are no more.
    pub removed: Vec<String>,
    /// All routes, when they differ.
    pub routes: Option<Vec<RouteRun>>,
    /// Limits, when they differ.
    pub limits: Option<RawLimits>,
}

/// A delta that doesn't fit the configuration to which it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the delta keeps routes that the configuration doesn't have, or gives too many")]
pub struct DeltaMismatch;

impl ConfigDelta {
    /// Returns what turns `from` into `to`.
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

/// Describes routes by those that there were before.
///
/// A route is looked for right after the last one that stayed, so that long
/// stretches become one run, and then by its name.
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

/// Puts the routes together again.
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
