//! Checks [`RawSettings`] and converts them to [`Settings`].

use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive, sync::Arc, time::Duration};

use savorykeel_platform::{MeshDefaults, StoreSettings, parse_span};
use savorykeel_policy::{
    calls::link_schedule::LinkRate, refusal::Checker, server::tracker::ExpectedServer,
};

use super::{
    BackendSettings, Limits, Listen, MetricsSettings, RawBackend, RawLimits, RawListen, RawMetrics,
    RawSettings, RawTesting, Settings, SettingsRefusals, StoreChoice, Testing,
};

const WORKERS_RANGE: RangeInclusive<usize> = 1..=64;
const HEADER_BYTES_RANGE: RangeInclusive<usize> = 1_024..=1 << 20;
const BODY_BYTES_RANGE: RangeInclusive<usize> = 1_024..=64 << 20;
const BODY_MEMORY_BYTES_RANGE: RangeInclusive<usize> = 1 << 20..=1 << 34;
const CALLER_CONNECTIONS_RANGE: RangeInclusive<usize> = 1..=100_000;
const RECEIVE_BUFFER_BYTES_RANGE: RangeInclusive<usize> = 8 << 10..=16 << 20;
const KEPT_ANSWERS_RANGE: RangeInclusive<usize> = 1..=10_000_000;
const KEPT_BYTES_RANGE: RangeInclusive<usize> = 1_024..=1 << 30;
/// Range of short time-outs and intervals, in milliseconds.
const TIMEOUT_MILLIS_RANGE: RangeInclusive<u128> = 10..=60_000;
/// Range of leases and of periods of repeated work, in milliseconds.
const PERIOD_MILLIS_RANGE: RangeInclusive<u128> = 100..=3_600_000;
/// Range of retentions and of waits at shutdown, in milliseconds.
const RETENTION_MILLIS_RANGE: RangeInclusive<u128> = 0..=3_600_000;

/// Time between the end of a graceful shutdown's wait for requests and the end of the grace
/// period, in which the process closes its listeners and ends.
const STOP_MARGIN: Duration = Duration::from_millis(500);

fn check_addr(checker: &mut Checker, path: &str, raw: &str) -> Option<SocketAddr> {
    let addr = raw.parse().ok();
    if addr.is_none() {
        checker.refuse(
            path,
            format!(
                "{raw:?} is not an address: use IP number and port, for instance 127.0.0.1:7001"
            ),
        );
    }
    addr
}

/// Checks an address that has to be reachable, which needs an IP number and a port that
/// are not 0.
fn check_remote_addr(checker: &mut Checker, path: &str, raw: &str) -> Option<SocketAddr> {
    let addr = check_addr(checker, path, raw)?;
    if addr.ip().is_unspecified() || addr.port() == 0 {
        checker.refuse(
            path,
            format!("{raw:?} can't be reached: use an IP number other than 0.0.0.0 or [::] and a port other than 0"),
        );
        return None;
    }
    Some(addr)
}

fn check_range<T: PartialOrd + Display>(
    checker: &mut Checker,
    path: &str,
    found: T,
    range: &RangeInclusive<T>,
) {
    if !range.contains(&found) {
        let (min, max) = (range.start(), range.end());
        checker.refuse(path, format!("{found} is out of range: use {min} to {max}"));
    }
}

fn check_millis(checker: &mut Checker, path: &str, found: Duration, range: &RangeInclusive<u128>) {
    check_range(checker, path, found.as_millis(), range);
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsRefusals;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsRefusals> {
        let mut checker = Checker::default();
        let settings = check_settings(&mut checker, raw);
        match settings {
            Some(settings) if checker.refusals.is_empty() => Ok(settings),
            _ => Err(SettingsRefusals(checker.refusals)),
        }
    }
}

fn check_settings(checker: &mut Checker, raw: RawSettings) -> Option<Settings> {
    let instance = checker.parse_name("instance", &raw.instance);
    let zone = checker.parse_name("zone", &raw.zone);
    let region = checker.parse_name("region", &raw.region);
    let listen = check_listen(checker, &raw.listen);
    let advertised = raw.advertise.peers.as_deref();
    let advertise_peers =
        advertised.and_then(|addr| check_remote_addr(checker, "advertise.peers", addr));
    let store = check_store(checker, &raw, listen.as_ref());
    let backend = raw.backend.as_ref().map(|backend| check_backend(checker, backend));
    let metrics = raw.metrics.as_ref().map(|metrics| check_metrics(checker, metrics));
    check_range(checker, "workers", raw.workers, &WORKERS_RANGE);
    let mut limits = check_limits(checker, &raw.limits);
    let stop_grace = raw.platform.as_ref().and_then(|platform| platform.stop_grace.as_deref());
    if let Some(drain) = stop_grace.and_then(|text| check_stop_grace(checker, text, &limits)) {
        limits.drain = drain;
    }
    let testing = check_testing(checker, raw.testing.as_ref());
    check_millis(checker, "control.checkpoint_ms", raw.control.checkpoint, &PERIOD_MILLIS_RANGE);
    check_millis(checker, "control.presence_ms", raw.control.presence, &PERIOD_MILLIS_RANGE);
    let listen = listen?;
    if listen.peers.ip().is_unspecified() && advertised.is_none() {
        checker.refuse(
            "advertise.peers",
            format!(
                "it is absent while listen.peers is {}: name the address at which other nodes reach this one",
                listen.peers
            ),
        );
    }
    Some(Settings {
        instance: instance?,
        zone: zone?,
        region: region?,
        listen,
        advertise_peers,
        store: store?,
        backend: backend.flatten(),
        metrics: metrics.flatten(),
        token_file: raw.operators.token_file,
        journal_file: raw.journal_file,
        workers: raw.workers,
        control: raw.control,
        limits,
        testing,
    })
}

fn check_listen(checker: &mut Checker, raw: &RawListen) -> Option<Listen> {
    let callers = check_addr(checker, "listen.callers", &raw.callers);
    let backend = check_addr(checker, "listen.backend", &raw.backend);
    let peers = check_addr(checker, "listen.peers", &raw.peers);
    let operators = check_addr(checker, "listen.operators", &raw.operators);
    let readiness = raw.readiness.as_ref();
    let readiness = readiness.and_then(|raw| check_addr(checker, "listen.readiness", raw));
    let metrics = raw.metrics.as_ref();
    let metrics = metrics.and_then(|raw| check_addr(checker, "listen.metrics", raw));
    let mut listeners = vec![
        ("listen.callers", callers?),
        ("listen.backend", backend?),
        ("listen.peers", peers?),
        ("listen.operators", operators?),
    ];
    listeners.extend(readiness.map(|addr| ("listen.readiness", addr)));
    listeners.extend(metrics.map(|addr| ("listen.metrics", addr)));
    for (i, (path, addr)) in listeners.iter().enumerate() {
        let duplicate = listeners[..i].iter().find(|(_, other)| other == addr && addr.port() != 0);
        if let Some((other, _)) = duplicate {
            checker.refuse(*path, format!("{addr} is also {other}: give each its own port"));
        }
    }
    Some(Listen {
        callers: callers?,
        backend: backend?,
        peers: peers?,
        operators: operators?,
        readiness,
        metrics,
    })
}

/// Checks the source of the configuration: the log service or the platform.
fn check_store(
    checker: &mut Checker,
    raw: &RawSettings,
    listen: Option<&Listen>,
) -> Option<StoreChoice> {
    let Some(platform) = &raw.platform else {
        return check_log_service(checker, &raw.log_service).map(StoreChoice::LogService);
    };
    if !raw.log_service.is_empty() {
        checker.refuse("platform", "it stands beside log_service: use one of them");
    }
    checker.require_share("platform.retry_share", platform.retry_share);
    checker.require_share("platform.unproven_share", platform.unproven_share);
    let addr = check_remote_addr(checker, "platform.store", &platform.store)?;
    Some(StoreChoice::Platform(StoreSettings {
        addr,
        source: listen?.peers.ip(),
        defaults: MeshDefaults {
            retry_share: platform.retry_share,
            unproven_share: platform.unproven_share,
        },
    }))
}

/// Returns the time that a graceful shutdown may wait for requests in flight, so that the
/// process has ended before the platform kills it.
fn check_stop_grace(checker: &mut Checker, text: &str, limits: &Limits) -> Option<Duration> {
    const PATH: &str = "platform.stop_grace";
    let Some(grace) = parse_span(text) else {
        checker.refuse(PATH, format!("{text:?} is not a duration: use for instance 6s or 6000ms"));
        return None;
    };
    let drain = grace.checked_sub(limits.linger + STOP_MARGIN);
    if drain.is_none() {
        checker.refuse(
            PATH,
            format!(
                "{text} is too short: use at least {} ms more than limits.linger_ms, which is {}",
                STOP_MARGIN.as_millis(),
                limits.linger.as_millis()
            ),
        );
    }
    drain
}

fn check_backend(checker: &mut Checker, raw: &RawBackend) -> Option<BackendSettings> {
    check_millis(checker, "backend.lease_ms", raw.lease, &PERIOD_MILLIS_RANGE);
    let service = checker.parse_name("backend.service", &raw.service);
    let addr = check_remote_addr(checker, "backend.address", &raw.address);
    let expected = ExpectedServer { service: service?, addr: addr? };
    Some(BackendSettings { expected, lease: raw.lease })
}

fn check_log_service(checker: &mut Checker, raw: &str) -> Option<Arc<str>> {
    let base = raw.trim_end_matches('/');
    let authority = base.strip_prefix("http://").and_then(|rest| rest.split('/').next());
    let Some(authority) = authority else {
        checker.refuse(
            "log_service",
            format!("{raw:?} is not a base URL: use for instance http://127.0.0.1:7000"),
        );
        return None;
    };
    check_remote_addr(checker, "log_service", authority)?;
    Some(base.into())
}

fn check_metrics(checker: &mut Checker, raw: &RawMetrics) -> Option<MetricsSettings> {
    let is_allowed = |c: u8| c.is_ascii_alphanumeric() || matches!(c, b'.' | b'_' | b'-');
    if raw.prefix.is_empty() || !raw.prefix.bytes().all(is_allowed) {
        checker.refuse(
            "metrics.prefix",
            format!("{:?} is not a prefix: use letters, digits, '.', '_' and '-'", raw.prefix),
        );
    }
    let statsd = check_remote_addr(checker, "metrics.statsd", &raw.statsd)?;
    Some(MetricsSettings { statsd, prefix: raw.prefix.as_str().into() })
}

fn check_testing(checker: &mut Checker, raw: Option<&RawTesting>) -> Testing {
    let Some(raw) = raw else { return Testing::default() };
    if !raw.breaks_promises {
        checker.refuse(
            "testing.breaks_promises",
            "it is false: leave out `testing`, or set it to true in a test whose callers may be harmed",
        );
    }
    Testing {
        without_settle: raw.without_settle,
        without_fences: raw.without_fences,
        without_ledger: raw.without_ledger,
        without_admission: raw.without_admission,
        without_quarantine: raw.without_quarantine,
        round_robin: raw.round_robin,
    }
}

/// Checks the limits for callers that send or read slowly.
fn check_caller_limits(checker: &mut Checker, raw: &RawLimits) {
    let buffer = raw.receive_buffer_bytes;
    check_range(checker, "limits.receive_buffer_bytes", buffer, &RECEIVE_BUFFER_BYTES_RANGE);
    let bodies = raw.unfinished_bodies;
    check_range(checker, "limits.unfinished_bodies", bodies, &CALLER_CONNECTIONS_RANGE);
    let pipelined = raw.pipelined_requests;
    check_range(checker, "limits.pipelined_requests", pipelined, &CALLER_CONNECTIONS_RANGE);
    check_millis(checker, "limits.header_ms", raw.header, &PERIOD_MILLIS_RANGE);
    check_millis(checker, "limits.stall_ms", raw.stall, &PERIOD_MILLIS_RANGE);
    check_millis(checker, "limits.busy_stall_ms", raw.busy_stall, &PERIOD_MILLIS_RANGE);
}

fn check_limits(checker: &mut Checker, raw: &RawLimits) -> Limits {
    check_range(checker, "limits.header_bytes", raw.header_bytes, &HEADER_BYTES_RANGE);
    check_range(checker, "limits.body_bytes", raw.body_bytes, &BODY_BYTES_RANGE);
    check_range(
        checker,
        "limits.body_memory_bytes",
        raw.body_memory_bytes,
        &BODY_MEMORY_BYTES_RANGE,
    );
    check_range(
        checker,
        "limits.caller_connections",
        raw.caller_connections,
        &CALLER_CONNECTIONS_RANGE,
    );
    check_caller_limits(checker, raw);
    check_range(checker, "limits.kept_answers", raw.kept_answers, &KEPT_ANSWERS_RANGE);
    check_range(checker, "limits.kept_bytes", raw.kept_bytes, &KEPT_BYTES_RANGE);
    check_millis(checker, "limits.heartbeat_ms", raw.heartbeat, &TIMEOUT_MILLIS_RANGE);
    check_millis(checker, "limits.silence_ms", raw.silence, &TIMEOUT_MILLIS_RANGE);
    check_millis(checker, "limits.connect_ms", raw.connect, &TIMEOUT_MILLIS_RANGE);
    check_millis(checker, "limits.settle_ms", raw.settle, &TIMEOUT_MILLIS_RANGE);
    check_millis(checker, "limits.kept_ms", raw.kept, &RETENTION_MILLIS_RANGE);
    check_millis(checker, "limits.key_kept_ms", raw.key_kept, &RETENTION_MILLIS_RANGE);
    check_millis(checker, "limits.drain_ms", raw.drain, &RETENTION_MILLIS_RANGE);
    check_millis(checker, "limits.linger_ms", raw.linger, &RETENTION_MILLIS_RANGE);
    check_millis(checker, "limits.leave_grace_ms", raw.leave_grace, &RETENTION_MILLIS_RANGE);
    let link = raw.link_mbps.and_then(|mbps| {
        let link = LinkRate::from_mbps(mbps);
        link.map_err(|e| checker.refuse("limits.link_mbps", e.to_string())).ok()
    });
    if raw.silence < raw.heartbeat * 2 {
        checker.refuse(
            "limits.silence_ms",
            format!(
                "{} is too short: use at least twice limits.heartbeat_ms, which is {}",
                raw.silence.as_millis(),
                raw.heartbeat.as_millis()
            ),
        );
    }
    Limits {
        header_bytes: raw.header_bytes,
        body_bytes: raw.body_bytes,
        body_memory_bytes: raw.body_memory_bytes,
        caller_connections: raw.caller_connections,
        receive_buffer_bytes: raw.receive_buffer_bytes,
        unfinished_bodies: raw.unfinished_bodies,
        pipelined_requests: raw.pipelined_requests,
        header: raw.header,
        stall: raw.stall,
        busy_stall: raw.busy_stall,
        heartbeat: raw.heartbeat,
        silence: raw.silence,
        connect: raw.connect,
        settle: raw.settle,
        kept_answers: raw.kept_answers,
        kept_bytes: raw.kept_bytes,
        answer_retention: raw.kept,
        key_retention: raw.key_kept,
        drain: raw.drain,
        linger: raw.linger,
        leave_grace: raw.leave_grace,
        link,
        learn_concurrency: raw.learn_concurrency,
    }
}
