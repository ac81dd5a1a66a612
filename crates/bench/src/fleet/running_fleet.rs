//! A fleet of a log service and node processes, each node behind a proxy.

use std::{
    net::{Ipv4Addr, SocketAddr},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use savorykeel_node::settings::{
    ControlSettings, RawAdvertise, RawLimits, RawListen, RawOperators, RawSettings,
};
use savorykeel_ports::log::CONFIGURATION_STREAM;
use savorykeel_standins::{
    caller::{Client, Request},
    log,
    proxy::{self, Faults, Zone},
};
use serde_json::json;
use tempfile::TempDir;

use super::{
    Plan,
    configuration::{publish_record, service_name},
    process::{NodeProcess, ReadyLine, Usage},
};

/// Delay that a proxy adds to requests from other availability zones, in
/// milliseconds. With `ANSWER_DELAY_MS` it makes a round trip of twice 1.5 ms.
const REQUEST_DELAY_MS: u64 = 1;

/// Delay that a proxy adds to answers to other availability zones, in
/// milliseconds.
const ANSWER_DELAY_MS: u64 = 2;

/// Longest wait until every node has applied a version.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two reads of the journals.
const JOURNAL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Lease of the announced backend servers in milliseconds, longer than any
/// measurement so that none expires during it.
const LEASE_MS: u64 = 3_600_000;

/// One node and the proxy through which other nodes reach it.
pub(crate) struct Instance {
    /// The node process.
    pub(crate) node: NodeProcess,
    /// The node's ready line, with its addresses.
    pub(crate) ready: ReadyLine,
    /// The proxy before the node's address for other nodes.
    pub(crate) proxy: proxy::Handle,
}

/// A running fleet of nodes with its log service.
pub(crate) struct RunningFleet {
    /// The instances that have not been killed.
    pub(crate) instances: Vec<Instance>,
    /// The stand-in of the log service.
    pub(crate) log: log::Handle,
    /// Client for single requests to nodes.
    pub(crate) client: Client,
    services: usize,
    _dir: TempDir,
}

/// Resource use of the fleet over a period of rest; per node and second unless a
/// field states otherwise.
#[derive(Debug, Clone, Copy, Default, serde::Serialize)]
pub(crate) struct RestUsage {
    /// Bytes on the control links, sent and received together.
    pub(crate) link_bytes: f64,
    /// Processor time as a fraction of one core.
    pub(crate) cpu_share: f64,
    /// Mean resident memory of the nodes in megabytes.
    pub(crate) rss_mb: f64,
    /// Largest resident memory of any node in megabytes.
    pub(crate) max_rss_mb: f64,
    /// Reads of the log by the whole fleet, per second.
    pub(crate) log_reads: f64,
    /// Appends to the log by the whole fleet, per second.
    pub(crate) log_appends: f64,
}

/// Totals over the fleet since its start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Totals {
    /// Bytes that passed through the proxies, both ways.
    pub(crate) link_bytes: u64,
    /// Processor time of the nodes.
    pub(crate) cpu: Duration,
    /// Records of the configuration stream returned by the log.
    pub(crate) publishes_read: u64,
    log_reads: u64,
    log_appends: u64,
}

impl RunningFleet {
    /// Starts all nodes without waiting between them, then waits until each is
    /// ready.
    pub(crate) fn start(plan: &Plan) -> anyhow::Result<Self> {
        let dir = TempDir::new()?;
        let log = log::start(log::Settings::default())?;
        let mut started = Vec::new();
        for i in 0..plan.nodes {
            let zone = (i % usize::from(plan.zones)) as u8 + 1;
            let ip = Ipv4Addr::new(127, 0, zone, (i / usize::from(plan.zones)) as u8 + 1);
            let proxy = start_proxy(ip, zone, plan.zones)?;
            let settings = settings(plan, &dir, i, zone, ip, proxy.addr(), &log.url());
            let node = NodeProcess::spawn(&plan.binary, dir.path(), &settings)?;
            started.push((node, proxy));
        }
        let mut instances = Vec::new();
        for (mut node, proxy) in started {
            let ready = node.wait_ready()?;
            proxy.set_target(ready.peers);
            instances.push(Instance { node, ready, proxy });
        }
        let (client, services) = (Client::start()?, plan.services);
        Ok(Self { instances, log, client, services, _dir: dir })
    }

    /// Appends publish `n` and waits until every node has applied it; returns the
    /// time from the answer to the append until the last node applied it.
    pub(crate) fn publish_and_wait(&self, n: u64) -> anyhow::Result<Duration> {
        let body = publish_record(n, self.services);
        self.log
            .append(CONFIGURATION_STREAM, body)
            .context("the log service refused the append")?;
        let accepted = Instant::now();
        let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
        let is_applied = |instance: &Instance| {
            instance.node.last_applied().is_some_and(|applied| applied.version.0 > n)
        };
        let mut lagging: Vec<&Instance> = self.instances.iter().collect();
        while !lagging.is_empty() {
            ensure!(
                accepted.elapsed() < CONVERGENCE_TIMEOUT,
                "{} nodes have not applied publish {n} in time",
                lagging.len()
            );
            thread::sleep(JOURNAL_POLL_INTERVAL);
            lagging.retain(|instance| !is_applied(instance));
        }
        let applied_at = |instance: &Instance| {
            let journal = instance.node.journal();
            journal.iter().find(|applied| applied.version.0 > n).map(|applied| applied.at.0)
        };
        let last = self.instances.iter().filter_map(applied_at).max().unwrap_or_default();
        Ok(Duration::from_millis(last).saturating_sub(wall))
    }

    /// Announces a local backend server to each node.
    pub(crate) fn announce_backends(&self) -> anyhow::Result<()> {
        for (i, instance) in self.instances.iter().enumerate() {
            let body = json!({
                "service": service_name(i % self.services), "version": "v1",
                "address": "127.0.0.1:1", "slots": 20, "connections": 120, "lease_ms": LEASE_MS,
            });
            let req = Request::put(ANNOUNCEMENT_PATH, serde_json::to_vec(&body)?);
            let reply = self.client.call(instance.ready.backend, req)?;
            ensure!(reply.status == 200, "the node refused the announcement: {}", reply.text());
        }
        Ok(())
    }

    /// Returns the number of services in the configuration.
    pub(crate) fn services(&self) -> usize {
        self.services
    }

    /// Returns the current totals.
    pub(crate) fn totals(&self) -> anyhow::Result<Totals> {
        let mut totals = Totals::default();
        for instance in &self.instances {
            let counts = instance.proxy.counts();
            totals.link_bytes += counts.request_bytes + counts.answer_bytes;
            totals.cpu += instance.node.usage()?.cpu;
        }
        for (stream, counts) in self.log.counts() {
            totals.log_reads += counts.reads;
            totals.log_appends += counts.appends;
            if stream == CONFIGURATION_STREAM {
                totals.publishes_read += counts.records_read;
            }
        }
        Ok(totals)
    }

    /// Measures the resource use of the fleet over `duration`.
    pub(crate) fn measure_at_rest(&self, duration: Duration) -> anyhow::Result<RestUsage> {
        let before = self.totals()?;
        let started = Instant::now();
        thread::sleep(duration);
        let seconds = started.elapsed().as_secs_f64();
        let after = self.totals()?;
        let nodes = self.instances.len() as f64;
        let usages: Vec<Usage> =
            self.instances.iter().map(|i| i.node.usage()).collect::<Result<_, _>>()?;
        let rss: Vec<f64> = usages.iter().map(|usage| usage.rss_kb as f64 / 1_024.0).collect();
        Ok(RestUsage {
            // Counted twice: each byte is sent by one node and received by another.
            link_bytes: 2.0 * (after.link_bytes - before.link_bytes) as f64 / nodes / seconds,
            cpu_share: (after.cpu - before.cpu).as_secs_f64() / nodes / seconds,
            rss_mb: rss.iter().sum::<f64>() / nodes,
            max_rss_mb: rss.iter().copied().fold(0.0, f64::max),
            log_reads: (after.log_reads - before.log_reads) as f64 / seconds,
            log_appends: (after.log_appends - before.log_appends) as f64 / seconds,
        })
    }
}

/// Path at which a backend server announces itself to its node.
pub(crate) const ANNOUNCEMENT_PATH: &str = "/savorykeel/v1/announcement";

fn start_proxy(ip: Ipv4Addr, zone: u8, zones: u8) -> anyhow::Result<proxy::Handle> {
    let listen = SocketAddr::from((ip, 0));
    let unset_target = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let proxy =
        proxy::start(proxy::Settings { listen, ..proxy::Settings::for_target(unset_target) })?;
    let delay = Faults {
        request_delay_ms: REQUEST_DELAY_MS,
        answer_delay_ms: ANSWER_DELAY_MS,
        ..Faults::default()
    };
    for other in (1..=zones).filter(|other| *other != zone) {
        proxy.set_zone_faults(Zone(other), Some(delay));
    }
    Ok(proxy)
}

fn settings(
    plan: &Plan,
    dir: &TempDir,
    i: usize,
    zone: u8,
    ip: Ipv4Addr,
    advertised: SocketAddr,
    log_service: &str,
) -> RawSettings {
    let any_port = || SocketAddr::from((ip, 0)).to_string();
    let instance = format!("instance-{i:04}");
    RawSettings {
        zone: format!("zone-{zone}"),
        region: "region-1".into(),
        listen: RawListen {
            callers: any_port(),
            backend: any_port(),
            peers: any_port(),
            operators: any_port(),
            readiness: None,
            metrics: None,
        },
        advertise: RawAdvertise { peers: Some(advertised.to_string()) },
        log_service: log_service.to_owned(),
        platform: None,
        backend: None,
        metrics: None,
        operators: RawOperators::default(),
        journal_file: Some(dir.path().join(format!("{instance}.journal"))),
        workers: 1,
        control: ControlSettings { mode: plan.mode, ..ControlSettings::default() },
        limits: RawLimits::default(),
        testing: None,
        instance,
    }
}
