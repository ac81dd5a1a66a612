//! The configuration after every check.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    ids::{BackendVersion, InvalidName, RouteName, ServiceName},
    time::WallMillis,
};

use super::raw::{RawConfiguration, RawLimits, RawMatch, RawObjective, RawRoute, RawService};
use super::rfc3339::has_rfc3339_shape;
use super::shadow::EarlierRoutes;

/// Number of the only configuration format that this program knows.
pub const CONFIGURATION_FORMAT: u32 = 1;

/// Largest number of services in a configuration.
pub const MAX_SERVICES: usize = 1_024;

/// Largest number of routes in a configuration.
pub const MAX_ROUTES: usize = 8_192;

/// Longest path prefix of a route, in bytes.
pub const MAX_PATH_BYTES: usize = 1_024;

/// Longest host name of a route, in bytes.
pub const MAX_HOST_BYTES: usize = 253;

/// Largest number of methods that a route names.
pub const MAX_METHODS: usize = 16;

/// Largest limit on calls below one another.
pub const MAX_CALL_DEPTH: u32 = 1_000;

/// Longest timeout of a route.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(300);

/// Largest request body that a route may allow, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 << 20;

/// The whole desired configuration, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes in order: the first that matches takes the request.
    pub routes: Vec<Arc<Route>>,
    /// Limits for the whole mesh.
    pub limits: Limits,
}

/// One service, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Version of the backend server's software that should carry traffic.
    pub version: BackendVersion,
    /// Time by which all traffic should reach `version`.
    pub by: Option<WallMillis>,
    /// Service-level objective.
    pub objective: Objective,
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
    /// Service that answers.
    pub service: ServiceName,
    /// Whether running a request twice does the same as running it once.
    pub idempotent: bool,
    /// Whether requests go before others when a queue forms.
    pub urgent: bool,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Largest request body in bytes.
    pub body_limit: u64,
}

/// Limits for the whole mesh, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Retries allowed as a share of requests, 0 to 1.
    pub retry_share: f64,
    /// Largest share of a service's traffic that an unproven version may get.
    pub unproven_share: f64,
    /// Largest number of calls below one another.
    pub call_depth: u32,
}

/// Why a configuration is refused, with the JSON path of what was found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
#[error("{path}: {problem}")]
pub struct Refusal {
    /// JSON path of the value that breaks a rule.
    pub path: String,
    /// What was found and what would do.
    pub problem: String,
}

/// Every reason for which a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the configuration breaks {} rule(s)", .0.len())]
pub struct Refusals(pub Vec<Refusal>);

/// Collects refusals, so that an operator reads all of them at once.
#[derive(Default)]
struct Checker {
    refusals: Vec<Refusal>,
}

impl Checker {
    fn refuse(&mut self, path: impl Into<String>, problem: impl Into<String>) {
        self.refusals.push(Refusal { path: path.into(), problem: problem.into() });
    }

    fn require(&mut self, holds: bool, path: &str, problem: impl FnOnce() -> String) {
        if !holds {
            self.refuse(path, problem());
        }
    }

    fn name<T>(&mut self, path: &str, raw: &str) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = InvalidName>,
    {
        T::try_from(raw).map_err(|e| self.refuse(path, e.to_string())).ok()
    }

    fn share(&mut self, path: &str, value: f64) {
        self.require((0.0..=1.0).contains(&value), path, || {
            format!("{value} is not a share: use a number from 0 to 1")
        });
    }
}

impl TryFrom<RawConfiguration> for Configuration {
    type Error = Refusals;

    fn try_from(raw: RawConfiguration) -> Result<Self, Refusals> {
        let mut checker = Checker::default();
        checker.require(raw.format == CONFIGURATION_FORMAT, "format", || {
            format!("{} is not a known format: use {CONFIGURATION_FORMAT}", raw.format)
        });
        checker.require(raw.services.len() <= MAX_SERVICES, "services", || {
            format!("{} services: use at most {MAX_SERVICES}", raw.services.len())
        });
        checker.require(raw.routes.len() <= MAX_ROUTES, "routes", || {
            format!("{} routes: use at most {MAX_ROUTES}", raw.routes.len())
        });
        let services = check_services(&mut checker, &raw.services);
        let routes = check_routes(&mut checker, &raw.routes, &services);
        let limits = check_limits(&mut checker, &raw.limits);
        if checker.refusals.is_empty() {
            Ok(Self { services, routes, limits })
        } else {
            Err(Refusals(checker.refusals))
        }
    }
}

fn check_services(
    checker: &mut Checker,
    raw: &BTreeMap<String, RawService>,
) -> BTreeMap<ServiceName, Service> {
    let mut services = BTreeMap::new();
    for (raw_name, raw_service) in raw {
        let path = format!("services.{raw_name}");
        let name = checker.name(&path, raw_name);
        let service = check_service(checker, &path, raw_service);
        if let (Some(name), Some(service)) = (name, service) {
            services.insert(name, service);
        }
    }
    services
}

fn check_service(checker: &mut Checker, path: &str, raw: &RawService) -> Option<Service> {
    let version = checker.name(&format!("{path}.version"), &raw.version);
    let by = raw.by.as_deref().and_then(|by| check_time(checker, &format!("{path}.by"), by));
    let objective = check_objective(checker, &format!("{path}.objective"), &raw.objective);
    Some(Service { version: version?, by, objective })
}

fn check_time(checker: &mut Checker, path: &str, raw: &str) -> Option<WallMillis> {
    let time = raw.parse::<jiff::Timestamp>().ok().filter(|_| has_rfc3339_shape(raw));
    let millis = time.map(|at| at.as_millisecond());
    match millis.and_then(|at| u64::try_from(at).ok()) {
        Some(at) => Some(WallMillis(at)),
        None => {
            checker.refuse(
                path,
                format!("{raw:?} is not a time: use RFC 3339, for instance 2026-12-04T18:00:00Z"),
            );
            None
        }
    }
}

fn check_objective(checker: &mut Checker, path: &str, raw: &RawObjective) -> Objective {
    checker.share(&format!("{path}.success"), raw.success);
    checker.share(&format!("{path}.fast"), raw.fast);
    let latency = Duration::from_millis(raw.latency_ms);
    let latency_path = format!("{path}.latency_ms");
    checker.require(!latency.is_zero() && latency <= MAX_TIMEOUT, &latency_path, || {
        format!("{} ms: use 1 to {}", raw.latency_ms, MAX_TIMEOUT.as_millis())
    });
    Objective { success: raw.success, latency, fast: raw.fast }
}

fn check_routes(
    checker: &mut Checker,
    raw: &[RawRoute],
    services: &BTreeMap<ServiceName, Service>,
) -> Vec<Arc<Route>> {
    let mut routes: Vec<Arc<Route>> = Vec::with_capacity(raw.len());
    let mut names = std::collections::BTreeSet::new();
    let mut earlier = EarlierRoutes::default();
    for (i, raw_route) in raw.iter().enumerate() {
        let path = format!("routes[{i}]");
        let Some(route) = check_route(checker, &path, raw_route, services) else { continue };
        checker.require(names.insert(route.name.clone()), &format!("{path}.name"), || {
            format!("{:?} names two routes: give each its own name", raw_route.name)
        });
        checker.require(!earlier.hide(&route), &format!("{path}.match"), || {
            format!("no request reaches route {:?}: routes before it take them all", raw_route.name)
        });
        earlier.add(&route);
        routes.push(Arc::new(route));
    }
    routes
}

fn check_route(
    checker: &mut Checker,
    path: &str,
    raw: &RawRoute,
    services: &BTreeMap<ServiceName, Service>,
) -> Option<Route> {
    let name = checker.name(&format!("{path}.name"), &raw.name);
    let service = checker.name::<ServiceName>(&format!("{path}.service"), &raw.service);
    if let Some(service) = &service {
        checker.require(services.contains_key(service), &format!("{path}.service"), || {
            format!(
                "route {:?} names the unknown service {:?}: add it under services",
                raw.name, raw.service
            )
        });
    }
    check_match(checker, &format!("{path}.match"), &raw.matches);
    let timeout = Duration::from_millis(raw.timeout_ms);
    let timeout_path = format!("{path}.timeout_ms");
    checker.require(!timeout.is_zero() && timeout <= MAX_TIMEOUT, &timeout_path, || {
        format!("{} ms: use 1 to {}", raw.timeout_ms, MAX_TIMEOUT.as_millis())
    });
    let limit_path = format!("{path}.body_limit_bytes");
    checker.require(raw.body_limit_bytes <= MAX_BODY_BYTES, &limit_path, || {
        format!("{} bytes: use at most {MAX_BODY_BYTES}", raw.body_limit_bytes)
    });
    Some(Route {
        name: name?,
        host: raw.matches.host.as_ref().map(|host| host.to_ascii_lowercase().into()),
        path: raw.matches.path.as_str().into(),
        methods: raw.matches.methods.iter().map(|m| m.as_str().into()).collect(),
        service: service?,
        idempotent: raw.idempotent,
        urgent: raw.urgent,
        timeout,
        body_limit: raw.body_limit_bytes,
    })
}

fn check_match(checker: &mut Checker, path: &str, raw: &RawMatch) {
    let path_path = format!("{path}.path");
    checker.require(raw.path.starts_with('/'), &path_path, || {
        format!("{:?} is not a path: start it with '/'", raw.path)
    });
    let is_plain = |c: u8| c.is_ascii_graphic() && !matches!(c, b'?' | b'#');
    checker.require(raw.path.bytes().all(is_plain), &path_path, || {
        "it holds a character that no path does: leave out spaces, '?' and '#'".into()
    });
    checker.require(raw.path.len() <= MAX_PATH_BYTES, &path_path, || {
        format!("{} bytes: use at most {MAX_PATH_BYTES}", raw.path.len())
    });
    if let Some(host) = &raw.host {
        check_host(checker, &format!("{path}.host"), host);
    }
    checker.require(raw.methods.len() <= MAX_METHODS, &format!("{path}.methods"), || {
        format!("{} methods: use at most {MAX_METHODS}", raw.methods.len())
    });
    for (i, method) in raw.methods.iter().enumerate() {
        let is_method = !method.is_empty() && method.bytes().all(|c| c.is_ascii_uppercase());
        checker.require(is_method, &format!("{path}.methods[{i}]"), || {
            format!("{method:?} is not a method: use capital letters, for instance POST")
        });
    }
}

fn check_host(checker: &mut Checker, path: &str, host: &str) {
    let is_allowed = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'.' | b'-' | b'_');
    let is_host = !host.is_empty() && host.len() <= MAX_HOST_BYTES && host.bytes().all(is_allowed);
    checker.require(is_host, path, || {
        let shown: String = host.chars().take(MAX_HOST_BYTES).collect();
        format!("{shown:?} is not a host name: leave out scheme and port")
    });
}

fn check_limits(checker: &mut Checker, raw: &RawLimits) -> Limits {
    checker.share("limits.retry_share", raw.retry_share);
    checker.share("limits.unproven_share", raw.unproven_share);
    checker.require((1..=MAX_CALL_DEPTH).contains(&raw.call_depth), "limits.call_depth", || {
        format!("{}: use 1 to {MAX_CALL_DEPTH}", raw.call_depth)
    });
    Limits {
        retry_share: raw.retry_share,
        unproven_share: raw.unproven_share,
        call_depth: raw.call_depth,
    }
}

impl Route {
    /// Tells whether the route takes a request.
    ///
    /// `path` is the path without query. A prefix matches on whole segments, so
    /// that `/gate` takes `/gate/open` and leaves `/gates`.
    pub fn takes(&self, method: &str, host: Option<&str>, path: &str) -> bool {
        self.takes_host(host) && self.takes_path(path) && self.takes_method(method)
    }

    fn takes_host(&self, host: Option<&str>) -> bool {
        let Some(wanted) = &self.host else { return true };
        host.is_some_and(|host| host.split(':').next().unwrap_or("").eq_ignore_ascii_case(wanted))
    }

    fn takes_path(&self, path: &str) -> bool {
        let prefix = self.path.trim_end_matches('/');
        let Some(rest) = path.strip_prefix(prefix) else { return false };
        rest.is_empty() || rest.starts_with('/')
    }

    fn takes_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m.as_ref() == method)
    }
}
