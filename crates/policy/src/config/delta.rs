//! The difference between two configurations, as one node sends it to another.

use serde::{Deserialize, Serialize};

use super::raw::{RawConfiguration, RawLimits, RawRoute, RawService};

/// A service that is new or changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceChange {
    /// Name of the service.
    pub name: String,
    /// The service as it is now.
    pub service: RawService,
}

/// The routes between an unchanged front and an unchanged back.
///
/// The order of routes matters, and an operator mostly edits one place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteSplice {
    /// Number of routes at the front that stay.
    pub front: u32,
    /// Number of routes at the back that stay.
    pub back: u32,
    /// Routes that stand between them now.
    pub middle: Vec<RawRoute>,
}

/// Turns one configuration into another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Services that are new or changed.
    pub changed: Vec<ServiceChange>,
    /// Names of services that are no more.
    pub removed: Vec<String>,
    /// Routes, when they differ.
    pub routes: Option<RouteSplice>,
    /// Limits, when they differ.
    pub limits: Option<RawLimits>,
}

/// A delta that doesn't fit the configuration to which it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the delta keeps more routes than the configuration has")]
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
            routes: splice(&from.routes, &to.routes),
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
        if let Some(splice) = self.routes {
            to.routes = splice.apply(&from.routes)?;
        }
        if let Some(limits) = self.limits {
            to.limits = limits;
        }
        Ok(to)
    }
}

fn splice(from: &[RawRoute], to: &[RawRoute]) -> Option<RouteSplice> {
    if from == to {
        return None;
    }
    let shorter = from.len().min(to.len());
    let front = from.iter().zip(to).take_while(|(a, b)| a == b).count();
    let same_back = from.iter().rev().zip(to.iter().rev()).take_while(|(a, b)| a == b).count();
    let back = same_back.min(shorter - front);
    let middle = to[front..to.len() - back].to_vec();
    Some(RouteSplice { front: front as u32, back: back as u32, middle })
}

impl RouteSplice {
    fn apply(self, from: &[RawRoute]) -> Result<Vec<RawRoute>, DeltaMismatch> {
        let (front, back) = (self.front as usize, self.back as usize);
        if front.saturating_add(back) > from.len() {
            return Err(DeltaMismatch);
        }
        let mut routes = from[..front].to_vec();
        routes.extend(self.middle);
        routes.extend_from_slice(&from[from.len() - back..]);
        Ok(routes)
    }
}
