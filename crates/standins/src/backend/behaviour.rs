//! How the backend server behaves, changeable while it runs.

use serde::{Deserialize, Serialize};

/// What a hint endpoint says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HintMode {
    /// The truth.
    #[default]
    Honest,
    /// All is well and nothing runs, whatever is true.
    AlwaysGood,
    /// All is lost and every slot is taken, whatever is true.
    AlwaysBad,
}

/// Failures that show only above a load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFailures {
    /// Requests running at once above which failures begin.
    pub above: usize,
    /// Share of requests that then fail, 0 to 1.
    pub rate: f64,
}

/// Behaviour on requests below a path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteBehaviour {
    /// Path prefix.
    pub path: String,
    /// Share of requests that fail, 0 to 1.
    #[serde(default)]
    pub failure_rate: f64,
    /// Milliseconds added to each request.
    #[serde(default)]
    pub extra_latency_ms: u64,
}

/// How requests run and fail, and what the hints say.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Milliseconds that a request takes.
    pub latency_ms: u64,
    /// Milliseconds after the start during which requests are slower.
    pub cold_ms: u64,
    /// Milliseconds added to a request while the server is cold.
    pub cold_extra_latency_ms: u64,
    /// Share of all requests that fail, 0 to 1.
    pub failure_rate: f64,
    /// Failures and latency of single routes; the first prefix that matches.
    pub routes: Vec<RouteBehaviour>,
    /// Failures above a load.
    pub under_load: Option<LoadFailures>,
    /// What `/health` says.
    pub health: HintMode,
    /// What `/load` says.
    pub load: HintMode,
}

impl Behaviour {
    /// Returns the behaviour on the route that a path belongs to.
    pub(crate) fn route(&self, path: &str) -> Option<&RouteBehaviour> {
        self.routes.iter().find(|route| path.starts_with(&route.path))
    }

    /// Returns the share of requests that fail on a path at a load.
    pub(crate) fn failure_rate_for(&self, path: &str, running: usize) -> f64 {
        let route = self.route(path).map_or(0.0, |route| route.failure_rate);
        let load =
            self.under_load.filter(|load| running > load.above).map_or(0.0, |load| load.rate);
        self.failure_rate.max(route).max(load)
    }
}
