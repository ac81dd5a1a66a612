//! The configuration as operators publish it, before validation.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, de::Error};
use serde_with::{MapPreventDuplicates, serde_as};

/// The complete desired configuration.
///
/// No field may be skipped in serialization, because nodes exchange it as postcard,
/// which has no field names and can't express a missing field.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfiguration {
    /// Number of the format; see [`super::model::CONFIGURATION_FORMAT`].
    pub format: u32,
    /// Services by name; a duplicate name is an error.
    #[serde_as(as = "MapPreventDuplicates<_, _>")]
    pub services: BTreeMap<String, RawService>,
    /// Routes in the order in which they are tried; the first match is used.
    pub routes: Vec<RawRoute>,
    /// Limits for the whole mesh.
    #[serde(default)]
    pub limits: RawLimits,
    /// Client accounts. Without the field, requests need no key; with an empty list, no key is
    /// known and only public routes can be used.
    #[serde(default)]
    pub accounts: Option<Vec<RawAccount>>,
}

/// One client account.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAccount {
    /// Name, unique in the configuration.
    pub name: String,
    /// SHA-256 digests in hex of the account's keys. The keys themselves appear nowhere in a
    /// configuration.
    #[serde(deserialize_with = "key_digests")]
    pub key_digests: Vec<String>,
    /// Priority of the account's requests in queues, 0 first; that of the route when absent.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Quota in requests per second, over all nodes together; no quota when absent or 0.
    #[serde(default)]
    pub requests_per_second: Option<f64>,
    /// Requests above the rate that the account may send at once.
    #[serde(default)]
    pub burst: Option<f64>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Version of the backend server's software that should carry the traffic; when
    /// null, any version may. The field is required, so that it can't be omitted by
    /// mistake.
    #[serde(deserialize_with = "Option::deserialize")]
    pub version: Option<String>,
    /// Time in RFC 3339 format by which all traffic should reach `version`.
    #[serde(default)]
    pub by: Option<String>,
    /// Time in milliseconds, counted from when the mesh receives the configuration,
    /// within which all traffic should reach `version`; mutually exclusive with `by`.
    #[serde(default)]
    pub within_ms: Option<u64>,
    /// Configuration version that first requested `version`, for platforms that store
    /// such requests apart from the configuration; the current one when absent.
    #[serde(default)]
    pub asked: Option<u64>,
    /// Number of connections that one backend server accepts, unless it announces its
    /// own number.
    #[serde(default)]
    pub connections: Option<u32>,
    /// Service-level objective.
    #[serde(default)]
    pub objective: RawObjective,
    /// Limit for backend servers that started recently; none when absent.
    #[serde(default)]
    pub warm_up: Option<RawWarmUp>,
}

impl RawService {
    /// Returns a service whose traffic `version` should carry, with the default
    /// objective.
    pub fn with_version(version: impl Into<String>) -> Self {
        Self { version: Some(version.into()), ..Self::without_version() }
    }

    /// Returns a service whose traffic any version may carry, with the default objective.
    pub fn without_version() -> Self {
        Self {
            version: None,
            by: None,
            within_ms: None,
            asked: None,
            connections: None,
            objective: RawObjective::default(),
            warm_up: None,
        }
    }
}

/// Limit for backend servers that started recently.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWarmUp {
    /// Time in milliseconds after a start for which a backend server warms up.
    pub duration_ms: u64,
    /// Requests that it accepts in any second of that time, from all nodes together.
    pub per_second: f64,
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
    /// Condition on the requests that the route serves.
    #[serde(rename = "match")]
    pub matches: RawMatch,
    /// Service to which requests are routed; empty when `split` is used.
    #[serde(default)]
    pub service: String,
    /// Services that share the requests by weight, instead of `service`.
    #[serde(default)]
    pub split: Vec<RawWeightedService>,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether answers are usually so large that they fill the link of an instance.
    #[serde(default)]
    pub large_answers: bool,
    /// Whether the route has the highest priority when requests queue.
    #[serde(default)]
    pub urgent: bool,
    /// Priority among the routes when requests queue, 0 first; mutually exclusive
    /// with `urgent`.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Number of backend servers to which one request may be sent.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Time in milliseconds within which an answer counts as fast; the latency of the
    /// service's objective when absent.
    #[serde(default)]
    pub objective_ms: Option<u64>,
    /// Longest duration of a request in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Largest request body in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
    /// Whether requests need no account's key where the configuration has accounts.
    #[serde(default)]
    pub public: bool,
}

impl RawRoute {
    /// Returns a route to one service for any host and method, with default limits.
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
            large_answers: false,
            urgent: false,
            priority: None,
            attempts: default_attempts(),
            objective_ms: None,
            timeout_ms: default_timeout_ms(),
            body_limit_bytes: default_body_limit_bytes(),
            public: false,
        }
    }
}

/// One of the services that share a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWeightedService {
    /// Service to which the requests are routed.
    pub service: String,
    /// Weight of the service; its share is the weight over the sum of all weights.
    pub weight: u32,
}

/// Condition that a request must meet for a route to match it.
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
    /// Largest depth of nested calls.
    pub call_depth: u32,
    /// Time in milliseconds for which a caller's connection may stay idle.
    pub idle_ms: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self { retry_share: 0.1, unproven_share: 0.05, call_depth: 32, idle_ms: 75_000 }
    }
}

/// Reads the digests of an account's keys.
///
/// The message of the library would repeat a value of the wrong type, which may be a key.
fn key_digests<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    if !deserializer.is_human_readable() {
        return Vec::deserialize(deserializer);
    }
    let value = serde_json::Value::deserialize(deserializer)?;
    serde_json::from_value(value).map_err(|_| D::Error::custom("invalid type: use a list of texts"))
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
