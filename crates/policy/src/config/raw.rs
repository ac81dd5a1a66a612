//! The configuration as operators print it, before any check.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_with::{MapPreventDuplicates, serde_as};

/// The whole desired configuration.
///
/// No field is left out when it is serialised, because nodes exchange it in
/// postcard, which has no field names to tell what is missing.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfiguration {
    /// Number of the format; see [`super::model::CONFIGURATION_FORMAT`].
    pub format: u32,
    /// Services by name; a name that stands twice is an error.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub services: BTreeMap<String, RawService>,
    /// Routes in order: the first that matches takes the request.
    pub routes: Vec<RawRoute>,
    /// Limits for the whole mesh.
    #[serde(default)]
    pub limits: RawLimits,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Version of the backend server's software that should carry traffic; any
    /// version takes calls when it is null. It can't be left out by mistake.
    #[serde(deserialize_with = "Option::deserialize")]
    pub version: Option<String>,
    /// Time as RFC 3339 by which all traffic should reach `version`.
    #[serde(default)]
    pub by: Option<String>,
    /// Time in milliseconds, from when the mesh learns of the configuration, within
    /// which all traffic should reach `version`; it can't stand beside `by`.
    #[serde(default)]
    pub within_ms: Option<u64>,
    /// Configuration version that first asked for `version`, where a platform keeps
    /// orders apart from the configuration; the present one when absent.
    #[serde(default)]
    pub asked: Option<u64>,
    /// Connections that one backend server takes, where it doesn't say so itself.
    #[serde(default)]
    pub connections: Option<u32>,
    /// Service-level objective.
    #[serde(default)]
    pub objective: RawObjective,
}

impl RawService {
    /// Returns a service whose traffic `version` should carry, with the usual
    /// objective.
    pub fn with_version(version: impl Into<String>) -> Self {
        Self {
            version: Some(version.into()),
            by: None,
            within_ms: None,
            asked: None,
            connections: None,
            objective: RawObjective::default(),
        }
    }
}

/// A service-level objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawObjective {
    /// Share of requests that must be answered without a failure, 0 to 1.
    pub success: f64,
    /// Time in milliseconds within which an answer counts as fast.
    pub latency_ms: u64,
    /// Share of requests that must be fast, 0 to 1.
    pub fast: f64,
}

impl Default for RawObjective {
    fn default() -> Self {
        Self { success: 0.999, latency_ms: 1_000, fast: 0.99 }
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    /// Name, unique in the configuration.
    pub name: String,
    /// Which requests the route takes.
    #[serde(rename = "match")]
    pub matches: RawMatch,
    /// Service that answers; empty when `split` names several.
    #[serde(default)]
    pub service: String,
    /// Services that share the requests by weight, in place of `service`.
    #[serde(default)]
    pub split: Vec<RawWeightedService>,
    /// Whether running a request twice does the same as running it once.
    pub idempotent: bool,
    /// Whether requests go before others when a queue forms.
    #[serde(default)]
    pub urgent: bool,
    /// Rank among the routes when a queue forms, 0 first; it can't stand beside
    /// `urgent`.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Backend servers that one request may be sent to.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Time in milliseconds within which an answer counts as fast; that of the
    /// service's objective when absent.
    #[serde(default)]
    pub objective_ms: Option<u64>,
    /// Longest time in milliseconds that a request may take.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Largest request body in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
}

impl RawRoute {
    /// Returns a route of any host and method to one service, with the usual limits.
    pub fn to_service(
        service: impl Into<String>,
        name: impl Into<String>,
        path: impl Into<String>,
        idempotent: bool,
    ) -> Self {
        Self {
            name: name.into(),
            matches: RawMatch { path: path.into(), ..RawMatch::default() },
            service: service.into(),
            split: Vec::new(),
            idempotent,
            urgent: false,
            priority: None,
            attempts: default_attempts(),
            objective_ms: None,
            timeout_ms: default_timeout_ms(),
            body_limit_bytes: default_body_limit_bytes(),
        }
    }
}

/// One of the services that share a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWeightedService {
    /// Service that answers.
    pub service: String,
    /// Share of the requests, as a part of the sum of all weights.
    pub weight: u32,
}

/// What a request must look like for a route to take it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawMatch {
    /// Host name without port; any when absent.
    #[serde(default)]
    pub host: Option<String>,
    /// Path prefix, matched on whole segments.
    pub path: String,
    /// Methods; any when empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Whether only paths below the prefix match, and not the prefix itself.
    #[serde(default)]
    pub below: bool,
}

/// Limits for the whole mesh.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
    /// Retries allowed as a share of requests, 0 to 1.
    pub retry_share: f64,
    /// Largest share of a service's traffic that an unproven version may get.
    pub unproven_share: f64,
    /// Largest number of calls below one another.
    pub call_depth: u32,
    /// Time in milliseconds for which a caller's connection may stay idle.
    pub idle_ms: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self { retry_share: 0.1, unproven_share: 0.05, call_depth: 32, idle_ms: 75_000 }
    }
}

fn default_attempts() -> u32 {
    3
}

fn default_timeout_ms() -> u64 {
    5_000
}

fn default_body_limit_bytes() -> u64 {
    1 << 20
}
