//! The demo's mesh: a log service, nodes and backend servers in one process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use savorykeel_node::{
    Addresses, Lifecycle,
    settings::{self, Settings},
};
use savorykeel_standins::{
    backend::{self, Behaviour, Run},
    caller::{Client, Request},
    log,
};
use serde_json::json;
use slog::{Discard, Logger, o};
use tokio_util::sync::CancellationToken;

/// Longest wait for a node to listen.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for calls through every node to be answered.
const ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two calls that test whether a node answers.
const ANSWERS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An instance to start: a node with its backend server.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    /// Service of its backend server.
    pub service: &'static str,
    /// Version of its backend server.
    pub version: &'static str,
    /// Number of its availability zone, counted from 1.
    pub zone: u8,
    /// Latency and failures of its backend server.
    pub behaviour: Behaviour,
}

impl InstanceSpec {
    fn name(&self) -> String {
        format!("{}-{}-zone-{}", self.service, self.version, self.zone)
    }
}

/// A node that runs on threads of this process; dropping it stops the node gracefully.
struct NodeThread {
    addresses: Addresses,
    stop: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl NodeThread {
    fn start(settings: Settings) -> anyhow::Result<Self> {
        let stop = CancellationToken::new();
        let (ready_tx, ready_rx) = mpsc::channel();
        let failed_tx = ready_tx.clone();
        let lifecycle = Lifecycle::without_reloads(stop.clone());
        let name = settings.instance.as_str().to_owned();
        let body = move || {
            let log = Logger::root(Discard, o!());
            let on_ready = move |addresses: &Addresses| {
                let _ = ready_tx.send(Ok(addresses.clone()));
            };
            if let Err(e) = savorykeel_node::run(settings, log, lifecycle, on_ready) {
                let _ = failed_tx.send(Err(e));
            }
        };
        let thread = thread::Builder::new().name(name.clone()).spawn(body)?;
        let ready = ready_rx.recv_timeout(READY_TIMEOUT);
        let addresses =
            ready.with_context(|| format!("node {name} did not start to listen in time"))??;
        Ok(Self { addresses, stop, thread: Some(thread) })
    }
}

impl Drop for NodeThread {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}

/// The running mesh; dropping it stops every part.
pub struct Mesh {
    backends: Vec<backend::Handle>,
    nodes: Vec<NodeThread>,
    _log: log::Handle,
}

impl Mesh {
    /// Starts a node and a backend server for each instance.
    pub fn start(instances: &[InstanceSpec], token_file: &Path) -> anyhow::Result<Self> {
        let log = log::start(log::Settings::default())?;
        let mut mesh = Self { backends: Vec::new(), nodes: Vec::new(), _log: log };
        for spec in instances {
            let settings = node_settings(spec, &mesh._log.url(), token_file)?;
            let node = NodeThread::start(settings)?;
            let backend = backend::Settings::new(spec.service, spec.version)
                .with_name(&spec.name())
                .with_node(node.addresses.backend)
                .with_behaviour(spec.behaviour.clone());
            mesh.nodes.push(node);
            mesh.backends.push(backend::start(backend)?);
        }
        Ok(mesh)
    }

    /// Returns the addresses on which the nodes accept callers.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.addresses.callers).collect()
    }

    /// Waits until each node answers a `GET` on each path, and returns whether all
    /// did in time.
    pub fn wait_until_answering(&self, paths: &[&str]) -> anyhow::Result<bool> {
        let client = Client::start()?;
        let deadline = Instant::now() + ANSWERS_TIMEOUT;
        for caller_addr in self.caller_addrs() {
            for path in paths {
                let is_answered = || {
                    client
                        .call(caller_addr, Request::get(path))
                        .is_ok_and(|reply| reply.status == 200)
                };
                while !is_answered() {
                    if Instant::now() > deadline {
                        return Ok(false);
                    }
                    thread::sleep(ANSWERS_POLL_INTERVAL);
                }
            }
        }
        Ok(true)
    }

    /// Returns the addresses on which the nodes accept operators.
    pub fn operator_addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.addresses.operators).collect()
    }

    /// Returns every run of a request on any backend server, from their ledgers.
    pub fn runs(&self) -> Vec<Run> {
        self.backends.iter().flat_map(backend::Handle::ledger).collect()
    }
}

impl Drop for Mesh {
    /// Signals every node to stop before the fields are dropped, which waits for each
    /// node in turn, so that the nodes stop concurrently.
    fn drop(&mut self) {
        for node in &self.nodes {
            node.stop.cancel();
        }
    }
}

/// Returns a node's settings, parsed and checked like a settings file.
fn node_settings(
    spec: &InstanceSpec,
    log_service: &str,
    token_file: &Path,
) -> anyhow::Result<Settings> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).to_string();
    let document = json!({
        "instance": spec.name(),
        "zone": format!("zone-{}", spec.zone),
        "region": "region-1",
        "listen": {
            "callers": any_port,
            "backend": any_port,
            "peers": any_port,
            "operators": any_port,
        },
        "log_service": log_service,
        "operators": { "token_file": token_file },
        "workers": 1,
    });
    Ok(settings::parse(Path::new("demo"), &document.to_string())?)
}
