//! Finds routes that no request can reach.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::model::Route;

/// The methods that earlier routes take at one key.
#[derive(Default)]
struct CoveredMethods {
    has_any_method: bool,
    methods: BTreeSet<Arc<str>>,
}

/// A host, a path prefix without its last slash, and whether only paths below it
/// are covered.
type MatchKey = (Option<Arc<str>>, Arc<str>, bool);

/// The keys of earlier routes, in the order in which routes are tried.
#[derive(Default)]
pub(super) struct EarlierRoutes {
    covered: BTreeMap<MatchKey, CoveredMethods>,
}

impl EarlierRoutes {
    /// Tells whether earlier routes take every request that `route` would take.
    ///
    /// Only the key itself and those above it are looked up, so that the cost
    /// of a hostile configuration stays bounded.
    pub(super) fn shadow(&self, route: &Route) -> bool {
        let covering: Vec<&CoveredMethods> =
            covering_keys(route).iter().filter_map(|key| self.covered.get(key)).collect();
        if covering.iter().any(|covered| covered.has_any_method) {
            return true;
        }
        let is_covered = |method: &Arc<str>| covering.iter().any(|t| t.methods.contains(method));
        !route.methods.is_empty() && route.methods.iter().all(is_covered)
    }

    /// Adds a route after those that are known.
    pub(super) fn add(&mut self, route: &Route) {
        let key = (route.host.clone(), trim(&route.path).into(), route.below);
        let covered = self.covered.entry(key).or_default();
        covered.has_any_method |= route.methods.is_empty();
        covered.methods.extend(route.methods.iter().cloned());
    }
}

/// Returns the keys from which a prefix takes the route's path.
fn covering_keys(route: &Route) -> Vec<MatchKey> {
    let path = trim(&route.path);
    let slashes = path.match_indices('/').map(|(at, _)| &path[..at]);
    let mut keys = Vec::new();
    for prefix in slashes.chain([path]) {
        // A route that takes only what is below a prefix hides the prefix itself
        // from no other route.
        let is_itself = prefix.len() == path.len();
        for below in [false, true] {
            if below && is_itself && !route.below {
                continue;
            }
            keys.push((None, prefix.into(), below));
            if route.host.is_some() {
                keys.push((route.host.clone(), prefix.into(), below));
            }
        }
    }
    keys
}

fn trim(path: &str) -> &str {
    path.trim_end_matches('/')
}
