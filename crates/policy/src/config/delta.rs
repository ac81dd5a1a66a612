//! The difference between two configurations, as nodes send it to each other.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::raw::{RawAccount, RawConfiguration, RawLimits, RawRoute, RawService};

/// Largest number of routes or accounts that a delta may rebuild. More than the platform's largest
/// record or a publish can hold, it bounds the memory that a malformed delta takes.
const MAX_ITEMS: usize = 1 << 16;

/// A service that is new or changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceChange {
    /// Name of the service.
    pub name: String,
    /// The service after the change.
    pub service: RawService,
}

/// A run of consecutive routes or accounts of the new configuration.
///
/// A change seldom touches more than a few of them, but these may be anywhere in the
/// list, and an added or removed one shifts the index of all after it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Run<T> {
    /// Unchanged items.
    Kept {
        /// Index of the first item in the old configuration.
        first: u32,
        /// Number of items.
        count: u32,
    },
    /// Items that are new or changed.
    New(Vec<T>),
}

/// The accounts of the new configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AccountsChange {
    /// The configuration has no accounts, so that requests need no key.
    Absent,
    /// The list of accounts.
    Listed(Vec<Run<RawAccount>>),
}

/// An item of a list whose changes are sent as runs.
trait Named: Clone + PartialEq {
    fn name(&self) -> &str;
}

impl Named for RawRoute {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for RawAccount {
    fn name(&self) -> &str {
        &self.name
    }
}

/// Changes that turn one configuration into another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Services that are new or changed.
    pub changed: Vec<ServiceChange>,
    /// Names of removed services.
    pub removed: Vec<String>,
    /// All routes of the new configuration, if they differ.
    pub routes: Option<Vec<Run<RawRoute>>>,
    /// Limits of the new configuration, if they differ.
    pub limits: Option<RawLimits>,
    /// Accounts of the new configuration, if they differ.
    pub accounts: Option<AccountsChange>,
}

/// The delta was derived from another configuration than the one to which it is
/// applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "the delta refers to routes or accounts that the configuration doesn't have, or yields too many"
)]
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
            accounts: (from.accounts != to.accounts).then(|| match &to.accounts {
                None => AccountsChange::Absent,
                Some(to) => {
                    AccountsChange::Listed(runs(from.accounts.as_deref().unwrap_or_default(), to))
                }
            }),
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
        match self.accounts {
            None => {}
            Some(AccountsChange::Absent) => to.accounts = None,
            Some(AccountsChange::Listed(runs)) => {
                let from = from.accounts.as_deref().unwrap_or_default();
                to.accounts = Some(join(runs, from)?);
            }
        }
        Ok(to)
    }
}

/// Expresses the items `to` as runs of the items `from` and new items.
///
/// Each item is compared first with the one that follows the current run, so that
/// a long unchanged sequence becomes one run, and then with the one of its name.
fn runs<T: Named>(from: &[T], to: &[T]) -> Vec<Run<T>> {
    let by_name: HashMap<&str, usize> =
        from.iter().enumerate().map(|(i, item)| (item.name(), i)).collect();
    let mut runs = Vec::new();
    for item in to {
        let next = match runs.last() {
            Some(Run::Kept { first, count }) => Some((first + count) as usize),
            _ => None,
        };
        let is_same = |i: &usize| from.get(*i) == Some(item);
        let named = || by_name.get(item.name()).copied().filter(is_same);
        let kept = next.filter(is_same).or_else(named);
        match (runs.last_mut(), kept) {
            (Some(Run::Kept { count, .. }), Some(i)) if Some(i) == next => *count += 1,
            (_, Some(i)) => runs.push(Run::Kept { first: i as u32, count: 1 }),
            (Some(Run::New(items)), None) => items.push(item.clone()),
            (_, None) => runs.push(Run::New(vec![item.clone()])),
        }
    }
    runs
}

/// Rebuilds the items from the runs, at most [`MAX_ITEMS`].
fn join<T: Named>(runs: Vec<Run<T>>, from: &[T]) -> Result<Vec<T>, DeltaMismatch> {
    let mut items = Vec::new();
    for run in runs {
        match run {
            Run::Kept { first, count } => {
                let end = first.checked_add(count).ok_or(DeltaMismatch)?;
                let kept = from.get(first as usize..end as usize).ok_or(DeltaMismatch)?;
                items.extend_from_slice(kept);
            }
            Run::New(new) => items.extend(new),
        }
        if items.len() > MAX_ITEMS {
            return Err(DeltaMismatch);
        }
    }
    Ok(items)
}
