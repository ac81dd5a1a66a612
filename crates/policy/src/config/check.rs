//! Validation that turns a [`RawConfiguration`] into a [`Configuration`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use crate::{
    ids::{ConfigVersion, RouteName, ServiceName},
    refusal::Checker,
    server::{rate::RequestRate, warm_up::WarmUp},
    time::WallMillis,
};

use super::{
    check_accounts::check_accounts,
    model::{
        AcceptedConfiguration, CONFIGURATION_FORMAT, Configuration, DEFAULT_PRIORITY, DueTime,
        LONGEST_SPAN, LOWEST_PRIORITY, Limits, MAX_ATTEMPTS, MAX_BODY_BYTES, MAX_CALL_DEPTH,
        MAX_HOST_BYTES, MAX_IDLE, MAX_METHODS, MAX_PATH_BYTES, MAX_ROUTES, MAX_SERVICES,
        MAX_SPLIT_SERVICES, MAX_TIMEOUT, MAX_WARM_UP, MAX_WARM_UP_RATE, MAX_WEIGHT, Objective,
        Refusals, Route, Service, WeightedService,
    },
    raw::{RawConfiguration, RawLimits, RawMatch, RawObjective, RawRoute, RawService, RawWarmUp},
    rfc3339::has_rfc3339_shape,
    shadow::EarlierRoutes,
};

/// Checks a configuration for its publisher, who can still mend what is refused.
impl TryFrom<RawConfiguration> for Configuration {
    type Error = Refusals;

    fn try_from(raw: RawConfiguration) -> Result<Self, Refusals> {
        check(&mut Checker::default(), &raw)
    }
}

/// Checks a configuration that a platform has accepted.
///
/// Its operators have been told that it comes into force, so nothing is refused here because of a
/// bound that only this software has. See `docs/design/0002-configuration.md`.
impl TryFrom<RawConfiguration> for AcceptedConfiguration {
    type Error = Refusals;

    fn try_from(mut raw: RawConfiguration) -> Result<Self, Refusals> {
        let mut checker = Checker { is_accepted: true, ..Checker::default() };
        add_missing_services(&mut checker, &mut raw);
        let configuration = check(&mut checker, &raw)?;
        Ok(Self { configuration, unusual: checker.unusual })
    }
}

fn check(checker: &mut Checker, raw: &RawConfiguration) -> Result<Configuration, Refusals> {
    checker.require(raw.format == CONFIGURATION_FORMAT, "format", || {
        format!("{} is not a known format: use {CONFIGURATION_FORMAT}", raw.format)
    });
    checker.bound(raw.services.len() <= MAX_SERVICES, "services", || {
        format!("{} services: use at most {MAX_SERVICES}", raw.services.len())
    });
    checker.bound(raw.routes.len() <= MAX_ROUTES, "routes", || {
        format!("{} routes: use at most {MAX_ROUTES}", raw.routes.len())
    });
    let services = check_services(checker, &raw.services);
    let routes = check_routes(checker, &raw.routes, &services);
    let limits = check_limits(checker, &raw.limits);
    let accounts = raw.accounts.as_deref().map(|raw| check_accounts(checker, raw));
    if checker.refusals.is_empty() {
        Ok(Configuration { services, routes, limits, accounts })
    } else {
        Err(Refusals(std::mem::take(&mut checker.refusals)))
    }
}

/// Defines the services that routes name and the configuration doesn't.
fn add_missing_services(checker: &mut Checker, raw: &mut RawConfiguration) {
    let RawConfiguration { routes, services, .. } = raw;
    for (i, route) in routes.iter().enumerate() {
        let parts = route.split.iter().map(|part| &part.service);
        for name in parts.chain([&route.service]).filter(|name| !name.is_empty()) {
            let is_known = services.contains_key(name);
            checker.bound(is_known, &format!("routes[{i}].service"), || {
                format!("{name:?} is not defined: it gets the defaults of a service")
            });
            if !is_known {
                services.insert(name.clone(), RawService::without_version());
            }
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
        let name = checker.parse_name(&path, raw_name);
        let service = check_service(checker, &path, raw_service);
        if let (Some(name), Some(service)) = (name, service) {
            services.insert(name, service);
        }
    }
    services
}

fn check_service(checker: &mut Checker, path: &str, raw: &RawService) -> Option<Service> {
    let version = match &raw.version {
        Some(version) => Some(checker.parse_name(&format!("{path}.version"), version)?),
        None => None,
    };
    let due = check_due(checker, path, raw);
    if due.is_some() && version.is_none() {
        checker.refuse(format!("{path}.version"), "it is absent while a time is asked for");
    }
    let objective = check_objective(checker, &format!("{path}.objective"), &raw.objective);
    checker.bound(raw.connections != Some(0), &format!("{path}.connections"), || {
        "0 connections: use at least 1, or leave it out".into()
    });
    let asked = raw.asked.map(ConfigVersion);
    let warm_up = raw.warm_up.as_ref();
    let warm_up = warm_up.and_then(|raw| check_warm_up(checker, &format!("{path}.warm_up"), raw));
    let connections = raw.connections.filter(|connections| *connections > 0);
    Some(Service { version, due, asked, connections, objective, warm_up })
}

fn check_warm_up(checker: &mut Checker, path: &str, raw: &RawWarmUp) -> Option<WarmUp> {
    let duration = Duration::from_millis(raw.duration_ms);
    let duration_path = format!("{path}.duration_ms");
    checker.bound(!duration.is_zero() && duration <= MAX_WARM_UP, &duration_path, || {
        format!("{} ms: use 1 to {}", raw.duration_ms, MAX_WARM_UP.as_millis())
    });
    let is_rate = raw.per_second > 0.0 && raw.per_second <= MAX_WARM_UP_RATE;
    checker.bound(is_rate, &format!("{path}.per_second"), || {
        format!("{}: use a number above 0, at most {MAX_WARM_UP_RATE}", raw.per_second)
    });
    let rate = RequestRate::within_each_second(raw.per_second).ok()?;
    Some(WarmUp { duration, rate })
}

fn check_due(checker: &mut Checker, path: &str, raw: &RawService) -> Option<DueTime> {
    if raw.by.is_some() && raw.within_ms.is_some() {
        checker.refuse(format!("{path}.within_ms"), "it stands beside `by`: use one of them");
    }
    let by = raw.by.as_deref().and_then(|by| check_time(checker, &format!("{path}.by"), by));
    let within = raw.within_ms.map(|ms| DueTime::Within(Duration::from_millis(ms)));
    by.map(DueTime::By).or(within)
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
    checker.require_share(&format!("{path}.success"), raw.success);
    checker.require_share(&format!("{path}.fast"), raw.fast);
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
    let mut names = BTreeSet::new();
    let mut earlier = EarlierRoutes::default();
    for (i, raw_route) in raw.iter().enumerate() {
        let path = format!("routes[{i}]");
        let Some(route) = check_route(checker, &path, raw_route, services) else { continue };
        let route = with_own_name(checker, &path, route, &mut names);
        checker.bound(!earlier.shadow(&route), &format!("{path}.match"), || {
            format!("no request reaches route {:?}: routes before it take them all", raw_route.name)
        });
        earlier.add(&route);
        routes.push(Arc::new(route));
    }
    routes
}

/// Gives a route of an accepted configuration a name of its own if an earlier one has its name:
/// what a node learns about routes is kept by name.
fn with_own_name(
    checker: &mut Checker,
    path: &str,
    mut route: Route,
    names: &mut BTreeSet<RouteName>,
) -> Route {
    let is_own = !names.contains(&route.name);
    checker.bound(is_own, &format!("{path}.name"), || {
        format!("{:?} names two routes: give each its own name", route.name.as_str())
    });
    let with_number = |n: usize| RouteName::try_from(format!("{}~{n}", route.name)).ok();
    let free = (2..).map_while(with_number).find(|name| !names.contains(name));
    if let Some(free) = free.filter(|_| !is_own) {
        route.name = free;
    }
    names.insert(route.name.clone());
    route
}

fn check_route(
    checker: &mut Checker,
    path: &str,
    raw: &RawRoute,
    services: &BTreeMap<ServiceName, Service>,
) -> Option<Route> {
    let name = checker.parse_name(&format!("{path}.name"), &raw.name);
    let split = check_split(checker, path, raw, services);
    let priority = check_priority(checker, path, raw);
    let attempts_path = format!("{path}.attempts");
    checker.bound((1..=MAX_ATTEMPTS).contains(&raw.attempts), &attempts_path, || {
        format!("{}: use 1 to {MAX_ATTEMPTS}", raw.attempts)
    });
    let objective = raw.objective_ms.map(Duration::from_millis);
    let objective_path = format!("{path}.objective_ms");
    let is_objective = objective.is_none_or(|o| !o.is_zero() && o <= MAX_TIMEOUT);
    checker.bound(is_objective, &objective_path, || {
        format!("use 1 to {} ms, or leave it out", MAX_TIMEOUT.as_millis())
    });
    check_match(checker, &format!("{path}.match"), &raw.matches);
    let timeout = Duration::from_millis(raw.timeout_ms);
    let timeout_path = format!("{path}.timeout_ms");
    checker.bound(!timeout.is_zero() && timeout <= MAX_TIMEOUT, &timeout_path, || {
        format!("{} ms: use 1 to {}", raw.timeout_ms, MAX_TIMEOUT.as_millis())
    });
    let limit_path = format!("{path}.body_limit_bytes");
    checker.bound(raw.body_limit_bytes <= MAX_BODY_BYTES, &limit_path, || {
        format!("{} bytes: use at most {MAX_BODY_BYTES}", raw.body_limit_bytes)
    });
    Some(Route {
        name: name?,
        host: raw.matches.host.as_ref().map(|host| host.to_ascii_lowercase().into()),
        path: raw.matches.path.as_str().into(),
        methods: raw.matches.methods.iter().map(|m| m.as_str().into()).collect(),
        below: raw.matches.below,
        split: split?,
        idempotent: raw.idempotent,
        large_answers: raw.large_answers,
        priority,
        attempts: raw.attempts.max(1),
        objective: objective.map(effective_span),
        timeout: effective_span(timeout),
        body_limit: raw.body_limit_bytes.min(MAX_BODY_BYTES),
        public: raw.public,
    })
}

/// Checks the services of a route: either one by name, or several with weights.
fn check_split(
    checker: &mut Checker,
    path: &str,
    raw: &RawRoute,
    services: &BTreeMap<ServiceName, Service>,
) -> Option<Vec<WeightedService>> {
    if raw.split.is_empty() {
        let service =
            check_route_service(checker, &format!("{path}.service"), raw, &raw.service, services)?;
        return Some(vec![WeightedService { service, weight: 1 }]);
    }
    checker.bound(raw.service.is_empty(), &format!("{path}.service"), || {
        "it stands beside `split`: use one of them".into()
    });
    checker.bound(raw.split.len() <= MAX_SPLIT_SERVICES, &format!("{path}.split"), || {
        format!("{} services: use at most {MAX_SPLIT_SERVICES}", raw.split.len())
    });
    let mut split = Vec::with_capacity(raw.split.len());
    for (i, part) in raw.split.iter().enumerate() {
        let part_path = format!("{path}.split[{i}]");
        checker.bound(part.weight <= MAX_WEIGHT, &format!("{part_path}.weight"), || {
            format!("{}: use at most {MAX_WEIGHT}", part.weight)
        });
        let service_path = format!("{part_path}.service");
        let service = check_route_service(checker, &service_path, raw, &part.service, services);
        split.extend(service.map(|service| WeightedService { service, weight: part.weight }));
    }
    let has_weight = split.iter().any(|part| part.weight > 0);
    checker.bound(has_weight, &format!("{path}.split"), || {
        "no part has a weight above 0: no service would answer".into()
    });
    Some(split)
}

fn check_route_service(
    checker: &mut Checker,
    path: &str,
    raw: &RawRoute,
    name: &str,
    services: &BTreeMap<ServiceName, Service>,
) -> Option<ServiceName> {
    let service = checker.parse_name::<ServiceName>(path, name)?;
    checker.require(services.contains_key(&service), path, || {
        format!("route {:?} names the unknown service {name:?}: add it under services", raw.name)
    });
    Some(service)
}

fn check_priority(checker: &mut Checker, path: &str, raw: &RawRoute) -> u32 {
    let path = format!("{path}.priority");
    checker.require(!(raw.urgent && raw.priority.is_some()), &path, || {
        "it stands beside `urgent`: use one of them".into()
    });
    let default = if raw.urgent { 0 } else { DEFAULT_PRIORITY };
    let priority = raw.priority.unwrap_or(default);
    checker.bound(priority <= LOWEST_PRIORITY, &path, || {
        format!("{priority}: use 0 to {LOWEST_PRIORITY}")
    });
    priority
}

fn check_match(checker: &mut Checker, path: &str, raw: &RawMatch) {
    let path_path = format!("{path}.path");
    checker.bound(raw.path.starts_with('/'), &path_path, || {
        format!("{:?} is not a path: start it with '/'", raw.path)
    });
    let is_plain = |c: u8| c.is_ascii_graphic() && !matches!(c, b'?' | b'#');
    checker.bound(raw.path.bytes().all(is_plain), &path_path, || {
        "it holds a character that no path does: leave out spaces, '?' and '#'".into()
    });
    checker.bound(raw.path.len() <= MAX_PATH_BYTES, &path_path, || {
        format!("{} bytes: use at most {MAX_PATH_BYTES}", raw.path.len())
    });
    if let Some(host) = &raw.host {
        check_host(checker, &format!("{path}.host"), host);
    }
    checker.bound(raw.methods.len() <= MAX_METHODS, &format!("{path}.methods"), || {
        format!("{} methods: use at most {MAX_METHODS}", raw.methods.len())
    });
    for (i, method) in raw.methods.iter().enumerate() {
        let is_method = !method.is_empty() && method.bytes().all(|c| c.is_ascii_uppercase());
        checker.bound(is_method, &format!("{path}.methods[{i}]"), || {
            format!("{method:?} is not a method: use capital letters, for instance POST")
        });
    }
}

fn check_host(checker: &mut Checker, path: &str, host: &str) {
    let is_allowed = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'.' | b'-' | b'_');
    let is_host = !host.is_empty() && host.len() <= MAX_HOST_BYTES && host.bytes().all(is_allowed);
    checker.bound(is_host, path, || {
        let shown: String = host.chars().take(MAX_HOST_BYTES).collect();
        format!("{shown:?} is not a host name: leave out scheme and port")
    });
}

fn check_limits(checker: &mut Checker, raw: &RawLimits) -> Limits {
    checker.require_share("limits.retry_share", raw.retry_share);
    checker.require_share("limits.unproven_share", raw.unproven_share);
    checker.require((1..=MAX_CALL_DEPTH).contains(&raw.call_depth), "limits.call_depth", || {
        format!("{}: use 1 to {MAX_CALL_DEPTH}", raw.call_depth)
    });
    let idle = Duration::from_millis(raw.idle_ms);
    checker.bound(!idle.is_zero() && idle <= MAX_IDLE, "limits.idle_ms", || {
        format!("{} ms: use 1 to {}", raw.idle_ms, MAX_IDLE.as_millis())
    });
    Limits {
        retry_share: raw.retry_share,
        unproven_share: raw.unproven_share,
        call_depth: raw.call_depth,
        idle: effective_span(idle),
    }
}

/// Returns the time that takes effect for one that a configuration states.
fn effective_span(span: Duration) -> Duration {
    span.clamp(Duration::from_millis(1), LONGEST_SPAN)
}
