//! Detection of routes that no request can reach.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::model::{MAX_PATH_BYTES, Route};

/// The methods that earlier routes match under one [`MatchKey`].
#[derive(Default)]
struct CoveredMethods {
    has_any_method: bool,
    methods: BTreeSet<Arc<str>>,
}

/// A host (any when absent), a path prefix without its trailing slash, and whether
/// only paths below the prefix match.
type MatchKey = (Option<Arc<str>>, Arc<str>, bool);

/// What the routes that are tried before a given route match.
#[derive(Default)]
pub(super) struct EarlierRoutes {
    covered: BTreeMap<MatchKey, CoveredMethods>,
}

impl EarlierRoutes {
    /// Returns whether earlier routes match every request that `route` would match.
    ///
    /// Only the route's own key and those of shorter prefixes are looked up, and none for a path
    /// beyond the bound, so that a hostile configuration can't cause unbounded cost.
    pub(super) fn shadow(&self, route: &Route) -> bool {
        if route.path.len() > MAX_PATH_BYTES {
            return false;
        }
        let covering: Vec<&CoveredMethods> =
            covering_keys(route).iter().filter_map(|key| self.covered.get(key)).collect();
        if covering.iter().any(|covered| covered.has_any_method) {
            return true;
        }
        let is_covered = |method: &Arc<str>| covering.iter().any(|t| t.methods.contains(method));
        !route.methods.is_empty() && route.methods.iter().all(is_covered)
    }

    /// Adds a route that is tried after those added before.
    pub(super) fn add(&mut self, route: &Route) {
        let key = (route.host.clone(), trim(&route.path).into(), route.below);
        let covered = self.covered.entry(key).or_default();
        covered.has_any_method |= route.methods.is_empty();
        covered.methods.extend(route.methods.iter().cloned());
    }
}

/// Returns the keys under which an earlier route can match every path of `route`.
fn covering_keys(route: &Route) -> Vec<MatchKey> {
    let path = trim(&route.path);
    let slashes = path.match_indices('/').map(|(at, _)| &path[..at]);
    let mut keys = Vec::new();
    for prefix in slashes.chain([path]) {
        // A route that matches only paths below a prefix doesn't shadow a route that
        // also matches the prefix itself.
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
