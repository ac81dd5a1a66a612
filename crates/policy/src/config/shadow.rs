//! Finds routes that no request can reach.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::model::Route;

/// The methods that earlier routes take at one place.
#[derive(Default)]
struct Taken {
    is_all: bool,
    methods: BTreeSet<Arc<str>>,
}

/// A host, a path prefix without its last slash, and whether only paths below it
/// are taken.
type Place = (Option<Arc<str>>, Arc<str>, bool);

/// The places of earlier routes, in the order in which routes are tried.
#[derive(Default)]
pub(super) struct EarlierRoutes {
    taken: BTreeMap<Place, Taken>,
}

impl EarlierRoutes {
    /// Tells whether earlier routes take every request that `route` would take.
    ///
    /// Only the place itself and those above it are looked up, so that the cost
    /// of a hostile configuration stays bounded.
    pub(super) fn hide(&self, route: &Route) -> bool {
        let covering: Vec<&Taken> =
            places_above(route).iter().filter_map(|place| self.taken.get(place)).collect();
        if covering.iter().any(|taken| taken.is_all) {
            return true;
        }
        let is_taken = |method: &Arc<str>| covering.iter().any(|t| t.methods.contains(method));
        !route.methods.is_empty() && route.methods.iter().all(is_taken)
    }

    /// Adds a route after those that are known.
    pub(super) fn add(&mut self, route: &Route) {
        let place = (route.host.clone(), trim(&route.path).into(), route.below);
        let taken = self.taken.entry(place).or_default();
        taken.is_all |= route.methods.is_empty();
        taken.methods.extend(route.methods.iter().cloned());
    }
}

/// Returns the places from which a prefix takes the route's path.
fn places_above(route: &Route) -> Vec<Place> {
    let path = trim(&route.path);
    let slashes = path.match_indices('/').map(|(at, _)| &path[..at]);
    let mut places = Vec::new();
    for prefix in slashes.chain([path]) {
        // A route that takes only what is below a prefix hides the prefix itself
        // from no other route.
        let is_itself = prefix.len() == path.len();
        for below in [false, true] {
            if below && is_itself && !route.below {
                continue;
            }
            places.push((None, prefix.into(), below));
            if route.host.is_some() {
                places.push((route.host.clone(), prefix.into(), below));
            }
        }
    }
    places
}

fn trim(path: &str) -> &str {
    path.trim_end_matches('/')
}
