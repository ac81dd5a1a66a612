//! A mesh of two nodes, a log service, a backend server and two relays, each a
//! process.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use anyhow::bail;
use savorykeel_standins::caller::{Client, Request};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::processes::{NodeReady, Process, StandinReady};

/// Longest wait until a call through both nodes succeeds.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Requests that the backend server runs concurrently.
const BACKEND_SLOTS: usize = 200;

/// Connections that the backend server accepts; each round opens new ones.
const BACKEND_CONNECTIONS: usize = 2_000;

/// Pause between two attempts to call through both nodes.
const READY_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Two nodes of which only the second has a backend server, so that each call
/// to the first passes through both.
pub struct Mesh {
    entry: Process<NodeReady>,
    serving: Process<NodeReady>,
    backend: Process<StandinReady>,
    relays: [Process<StandinReady>; 2],
    _log: Process<StandinReady>,
    _dir: TempDir,
}

impl Mesh {
    /// Starts the processes and waits until a call through both nodes succeeds.
    pub fn start() -> anyhow::Result<Self> {
        let dir = TempDir::new()?;
        let log: Process<StandinReady> = Process::start(["standin", "log"])?;
        let entry = start_node(dir.path(), "entry", log.ready.address)?;
        let serving = start_node(dir.path(), "serving", log.ready.address)?;
        let backend = start_backend(dir.path(), serving.ready.backend)?;
        let second = start_relay(backend.ready.address)?;
        let first = start_relay(second.ready.address)?;
        let mesh = Self { entry, serving, backend, relays: [first, second], _log: log, _dir: dir };
        mesh.wait_ready()?;
        Ok(mesh)
    }

    /// Returns the first node's address for callers.
    pub fn entry(&self) -> SocketAddr {
        self.entry.ready.callers
    }

    /// Returns the address of the first of two relays, processes that only forward
    /// bytes: the latency they add is the machine's cost of two more hops.
    pub fn relays(&self) -> SocketAddr {
        self.relays[0].ready.address
    }

    /// Returns the processor time that both nodes together have used so far.
    pub fn node_cpu_time(&self) -> anyhow::Result<Duration> {
        Ok(self.entry.cpu_time()? + self.serving.cpu_time()?)
    }

    /// Returns the backend server's address for direct calls.
    pub fn backend(&self) -> SocketAddr {
        self.backend.ready.address
    }

    fn wait_ready(&self) -> anyhow::Result<()> {
        let client = Client::start()?;
        publish(&client, self._log.ready.address)?;
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let reply = client.call(self.entry(), Request::post("/probe", "ready?"));
            match reply {
                Ok(reply) if reply.status == 200 => return Ok(()),
                _ if Instant::now() < deadline => thread::sleep(READY_RETRY_INTERVAL),
                Ok(reply) => bail!("calls through both nodes fail: {}", reply.text()),
                Err(e) => bail!("calls through both nodes fail: {e}"),
            }
        }
    }
}

fn start_relay(target: SocketAddr) -> anyhow::Result<Process<StandinReady>> {
    Process::start(["standin", "proxy", "--target", &target.to_string()])
}

fn start_node(dir: &Path, instance: &str, log: SocketAddr) -> anyhow::Result<Process<NodeReady>> {
    let any_port = "127.0.0.1:0";
    let settings = json!({
        "instance": instance,
        "zone": "zone-1",
        "region": "region-1",
        "listen": {
            "callers": any_port,
            "backend": any_port,
            "peers": any_port,
            "operators": any_port,
        },
        "log_service": format!("http://{log}"),
    });
    let file = dir.join(format!("{instance}.json"));
    fs::write(&file, settings.to_string())?;
    let args = ["node", "--log-level", "error", "--settings"].map(Path::new);
    Process::start(args.into_iter().chain([file.as_path()]))
}

/// Starts a backend server with enough slots for every pattern, so that time in
/// its queue isn't part of the measurement.
fn start_backend(dir: &Path, node: SocketAddr) -> anyhow::Result<Process<StandinReady>> {
    let settings = json!({
        "service": "probe",
        "version": "v1",
        "node": node,
        "slots": BACKEND_SLOTS,
        "connections": BACKEND_CONNECTIONS,
    });
    let file = dir.join("backend.json");
    fs::write(&file, settings.to_string())?;
    Process::start([Path::new("standin"), Path::new("backend"), Path::new("--settings"), &file])
}

fn publish(client: &Client, log: SocketAddr) -> anyhow::Result<()> {
    let record =
        json!({ "format": 1, "id": "bench-1", "base": 0, "configuration": configuration() });
    let req = Request::post("/v1/streams/configuration/records", record.to_string());
    let reply = client.call(log, req)?;
    anyhow::ensure!(
        reply.status == 201,
        "the log service answered the publish with status {}",
        reply.status
    );
    Ok(())
}

fn configuration() -> Value {
    json!({
        "format": 1,
        "services": { "probe": { "version": "v1" } },
        "routes": [{
            "name": "probe",
            "match": { "path": "/probe" },
            "service": "probe",
            "idempotent": true,
        }],
    })
}
