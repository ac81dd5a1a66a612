//! The checked configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    accounts::Accounts,
    ids::{BackendVersion, ConfigVersion, RouteName, ServiceName},
    refusal::Refusal,
    server::warm_up::WarmUp,
    time::WallMillis,
};

/// Number of the only supported configuration format.
pub const CONFIGURATION_FORMAT: u32 = 1;

/// Largest number of services in a configuration.
pub const MAX_SERVICES: usize = 1_024;

/// Largest number of routes in a configuration.
pub const MAX_ROUTES: usize = 8_192;

/// Longest path prefix of a route, in bytes.
pub const MAX_PATH_BYTES: usize = 1_024;

/// Longest host name of a route, in bytes.
pub const MAX_HOST_BYTES: usize = 253;

/// Largest number of methods that a route may list.
pub const MAX_METHODS: usize = 16;

/// Largest allowed limit on the depth of nested calls.
pub const MAX_CALL_DEPTH: u32 = 1_000;

/// Longest timeout of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(300);

/// Longest time that has an effect: nothing that a configuration bounds lasts a day. Longer ones
/// in an accepted configuration are taken for it, so that sums of times can't overflow.
pub const LONGEST_SPAN: Duration = Duration::from_secs(24 * 3_600);

/// Longest time for which a caller's connection may stay idle.
pub const MAX_IDLE: Duration = Duration::from_secs(3_600);

/// Largest number of backend servers to which one request may be sent.
pub const MAX_ATTEMPTS: u32 = 16;

/// Number of the lowest priority of a route; 0 is the highest.
pub const LOWEST_PRIORITY: u32 = 15;

/// Priority of a route that sets neither `urgent` nor `priority`.
pub const DEFAULT_PRIORITY: u32 = 1;

/// Largest number of services that share a route's requests.
pub const MAX_SPLIT_SERVICES: usize = 64;

/// Largest weight of one of these services.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// Longest time for which a backend server may warm up.
pub const MAX_WARM_UP: Duration = Duration::from_secs(600);

/// Largest number of requests a second that may be stated for that time.
pub const MAX_WARM_UP_RATE: f64 = 1e6;

/// Largest request body that a route may allow, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 << 20;

/// Largest number of client accounts in a configuration.
pub const MAX_ACCOUNTS: usize = 10_000;

/// Largest number of keys of one account.
pub const MAX_ACCOUNT_KEYS: usize = 64;

/// Largest quota of an account, in requests per second.
pub const MAX_ACCOUNT_RATE: f64 = 1_000_000.0;

/// Largest burst of an account's quota, in requests.
pub const MAX_ACCOUNT_BURST: f64 = 10_000_000.0;

/// The complete desired configuration, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes in the order in which they are tried; the first match is used.
    pub routes: Vec<Arc<Route>>,
    /// Limits for the whole mesh.
    pub limits: Limits,
    /// Client accounts; `None` if requests need no key.
    pub accounts: Option<Accounts>,
}

/// One service, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Version of the backend server's software that should carry the traffic; when
    /// absent, any version may.
    pub version: Option<BackendVersion>,
    /// Time by which all traffic should reach `version`.
    pub due: Option<DueTime>,
    /// Configuration version that first requested `version`, if it differs from the
    /// version of this configuration.
    pub asked: Option<ConfigVersion>,
    /// Number of connections that one backend server accepts, unless it announces its
    /// own number.
    pub connections: Option<u32>,
    /// Service-level objective.
    pub objective: Objective,
    /// Limit for backend servers that started recently.
    pub warm_up: Option<WarmUp>,
}

/// Time by which a move should be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueTime {
    /// At this wall-clock time.
    By(WallMillis),
    /// This long after the mesh received the configuration.
    Within(Duration),
}

/// A service-level objective, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Objective {
    /// Share of requests that must be answered without a failure, 0 to 1.
    pub success: f64,
    /// Time within which an answer counts as fast.
    pub latency: Duration,
    /// Share of requests that must be fast, 0 to 1.
    pub fast: f64,
}

/// One route, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: RouteName,
    /// Host name without port, in lower case; any when absent.
    pub host: Option<Arc<str>>,
    /// Path prefix, matched on whole segments.
    pub path: Arc<str>,
    /// Methods; any when empty.
    pub methods: Vec<Arc<str>>,
    /// Whether only paths below the prefix match, and not the prefix itself.
    pub below: bool,
    /// Services that share the requests by weight, at least one.
    pub split: Vec<WeightedService>,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether answers are usually so large that they fill the link of an instance.
    pub large_answers: bool,
    /// Priority among the routes when requests queue, 0 first.
    pub priority: u32,
    /// Number of backend servers to which one request may be sent.
    pub attempts: u32,
    /// Time within which an answer counts as fast, if the route sets its own.
    pub objective: Option<Duration>,
    /// Longest duration of a request.
    pub timeout: Duration,
    /// Largest request body in bytes.
    pub body_limit: u64,
    /// Whether requests need no account's key.
    pub public: bool,
}

/// One of the services that share a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Service to which the requests are routed.
    pub service: ServiceName,
    /// Weight of the service; its share is the weight over the sum of all weights.
    pub weight: u32,
}

/// Limits for the whole mesh, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Retries allowed as a share of requests, 0 to 1.
    pub retry_share: f64,
    /// Largest share of a service's traffic that an unproven version may get.
    pub unproven_share: f64,
    /// Largest depth of nested calls.
    pub call_depth: u32,
    /// Time for which a caller's connection may stay idle.
    pub idle: Duration,
}

/// A configuration that a platform has accepted, with its values that a publisher of this software
/// would have been refused.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptedConfiguration {
    /// The configuration, whole.
    pub configuration: Configuration,
    /// Values beyond the bounds of this software. Each takes effect, or what is nearest to it.
    pub unusual: Vec<Refusal>,
}

/// All reasons for which a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the configuration breaks {} rule(s)", .0.len())]
pub struct Refusals(pub Vec<Refusal>);

impl Route {
    /// Returns whether the route matches a request.
    ///
    /// `path` is the path without query. A prefix matches on whole segments: `/gate`
    /// matches `/gate/open` but not `/gates`.
    pub fn matches(&self, method: &str, host: Option<&str>, path: &str) -> bool {
        self.matches_host(host) && self.matches_path(path) && self.matches_method(method)
    }

    fn matches_host(&self, host: Option<&str>) -> bool {
        let Some(expected) = &self.host else { return true };
        let is_expected = |host: &str| host.eq_ignore_ascii_case(expected);
        host.is_some_and(|host| is_expected(host) || is_expected(without_port(host)))
    }

    fn matches_path(&self, path: &str) -> bool {
        let prefix = self.path.trim_end_matches('/');
        let Some(rest) = path.strip_prefix(prefix) else { return false };
        rest.starts_with('/') || (rest.is_empty() && !self.below)
    }

    /// Returns the service to which a request is routed; `draw` is a random number,
    /// uniform over all `u64` values.
    ///
    /// Only the draw decides, so that each service gets the share of its weight
    /// whatever free capacity the services have.
    pub fn choose_service(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = draw % total.max(1);
        for part in &self.split {
            let weight = u64::from(part.weight);
            if left < weight {
                return &part.service;
            }
            left -= weight;
        }
        &self.split[0].service
    }

    /// Returns whether the route names a service, alone or as part of a split.
    pub fn routes_to(&self, service: &ServiceName) -> bool {
        self.split.iter().any(|part| part.service == *service)
    }

    fn matches_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m.as_ref() == method)
    }
}

fn without_port(host: &str) -> &str {
    let is_port = |port: &str| port.bytes().all(|c| c.is_ascii_digit());
    host.rsplit_once(':').filter(|(_, port)| is_port(port)).map_or(host, |(name, _)| name)
}
