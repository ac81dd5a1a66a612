//! Behaviour of the backend server, which can be changed while it runs.

use serde::{Deserialize, Serialize};

/// What `/health` or `/load` reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HintMode {
    /// The actual state.
    #[default]
    Honest,
    /// Healthy, and no request running or waiting, regardless of the actual
    /// state.
    AlwaysGood,
    /// Unhealthy, and every slot and waiting place in use, regardless of the
    /// actual state.
    AlwaysBad,
}

/// Failures that occur only above a given load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFailures {
    /// Number of concurrently running requests above which requests fail.
    pub above: usize,
    /// Share of requests that then fail, from 0 to 1.
    pub rate: f64,
}

/// Behaviour for requests whose path has a given prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteBehaviour {
    /// Path prefix.
    pub path: String,
    /// Share of requests that fail, from 0 to 1.
    #[serde(default)]
    pub failure_rate: f64,
    /// Latency added to each request, in milliseconds.
    #[serde(default)]
    pub extra_latency_ms: u64,
}

/// Latency and failures of requests, and the hints that the server returns.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Latency of a request, in milliseconds.
    pub latency_ms: u64,
    /// Time after each start or restart during which the server is cold and
    /// requests are slower, in milliseconds.
    pub cold_ms: u64,
    /// Latency added to each request while the server is cold, in milliseconds.
    pub cold_extra_latency_ms: u64,
    /// Share of all requests that fail, from 0 to 1.
    pub failure_rate: f64,
    /// Failures and latency of single routes; the first matching prefix applies.
    pub routes: Vec<RouteBehaviour>,
    /// Failures above a given load.
    pub under_load: Option<LoadFailures>,
    /// What `/health` reports.
    pub health: HintMode,
    /// What `/load` reports.
    pub load: HintMode,
    /// Requests a second that each answer states as the most that the server takes;
    /// the server doesn't enforce it.
    pub stated_rate: Option<f64>,
    /// Whether each answer says that the server is leaving.
    pub states_leaving: bool,
}

impl Behaviour {
    /// Returns the behaviour of the first route whose prefix matches the path.
    pub(crate) fn route(&self, path: &str) -> Option<&RouteBehaviour> {
        self.routes.iter().find(|route| path.starts_with(&route.path))
    }

    /// Returns the share of requests, from 0 to 1, that fail on a path with the
    /// given number of running requests: the highest of the rates that apply.
    pub(crate) fn failure_rate_for(&self, path: &str, running: usize) -> f64 {
        let route = self.route(path).map_or(0.0, |route| route.failure_rate);
        let load =
            self.under_load.filter(|load| running > load.above).map_or(0.0, |load| load.rate);
        self.failure_rate.max(route).max(load)
    }
}
