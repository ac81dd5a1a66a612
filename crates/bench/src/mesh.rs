//! A mesh of real `savorykeel` node processes with stand-ins of the systems around
//! them.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, bail};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use savorykeel_node::settings::{
    ControlSettings, RawAdvertise, RawLimits, RawListen, RawOperators, RawPlatform, RawSettings,
    RawTesting,
};
use savorykeel_policy::config::raw::RawConfiguration;
use savorykeel_ports::log::CONFIGURATION_STREAM;
use savorykeel_standins::{
    backend::{self, Run},
    caller::{Client, Request},
    log, proxy,
};
use serde::{Deserialize, Serialize};
use tempfile::TempDir;

/// Longest wait until a node answers a request with status 200.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time that an orderly stop of a node may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(45);

/// Time between a copy of the log and its use.
const LOG_COPY_AGE: Duration = Duration::from_millis(1_000);

/// Time for which the log service is away before it comes back from a copy.
const LOG_OUTAGE: Duration = Duration::from_millis(300);

/// Longest time that nodes may take to write lost records to the log again.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two checks whether a node answers or has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Settings common to all nodes of a mesh.
#[derive(Debug, Clone)]
pub struct MeshOptions {
    /// Path of the `savorykeel` binary.
    pub binary: PathBuf,
    /// Limits of each node.
    pub limits: RawLimits,
    /// Settings that only tests use.
    pub testing: Option<RawTesting>,
    /// Whether other nodes reach each node through a separate proxy.
    pub proxies: bool,
    /// Worker threads of each node.
    pub workers: usize,
}

/// Description of one instance to start.
#[derive(Debug, Clone)]
pub struct MemberSpec {
    /// Service that its backend server runs.
    pub service: String,
    /// Number of the availability zone, from 1.
    pub zone: u8,
    /// Requests that the backend server runs concurrently.
    pub slots: usize,
    /// Behaviour of the backend server.
    pub behaviour: backend::Behaviour,
}

/// The line that a node prints when it is ready.
#[derive(Debug, Clone, Deserialize)]
struct ReadyLine {
    callers: SocketAddr,
    backend: SocketAddr,
    peers: SocketAddr,
}

/// A node process, killed on drop.
struct NodeProcess {
    child: Child,
    // Held open so that the node can still write to its standard output.
    _stdout: BufReader<ChildStdout>,
    ready: ReadyLine,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Ignores errors: the node may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One instance: a node and its local backend server.
pub struct Member {
    /// Name of the instance.
    pub name: String,
    /// Proxy through which other nodes reach the node.
    pub proxy: Option<proxy::Handle>,
    backend: Option<backend::Handle>,
    process: Option<NodeProcess>,
    settings: RawSettings,
    backend_settings: backend::Settings,
    past_runs: Vec<Run>,
}

impl Member {
    /// Returns the node's address for callers, or `None` while the node is stopped.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.process.as_ref().map(|process| process.ready.callers)
    }

    /// Returns the backend server, or `None` while it is stopped.
    pub fn backend(&self) -> Option<&backend::Handle> {
        self.backend.as_ref()
    }

    /// Returns the service that its backend server runs.
    pub fn service(&self) -> &str {
        &self.backend_settings.service
    }

    /// Sends a signal to the node.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let process = self.process.as_ref().context("the node is not running")?;
        kill(Pid::from_raw(process.child.id().try_into()?), signal)?;
        Ok(())
    }

    /// Kills the node and stops the backend server, as when the instance fails.
    pub fn kill(&mut self) {
        self.process = None;
        self.stop_backend();
    }

    /// Waits until the node has exited by itself, then stops the backend server.
    ///
    /// Returns false if the node had to be killed because it didn't exit within
    /// `STOP_TIMEOUT`.
    pub fn wait_for_exit(&mut self) -> anyhow::Result<bool> {
        let started = Instant::now();
        let mut has_exited = false;
        while let Some(process) = &mut self.process {
            has_exited = process.child.try_wait()?.is_some();
            if has_exited || started.elapsed() > STOP_TIMEOUT {
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.kill();
        Ok(has_exited)
    }

    /// Returns every run of a request on this instance's backend server, including
    /// runs before a restart.
    pub fn runs(&self) -> Vec<Run> {
        let current = self.backend.iter().flat_map(backend::Handle::ledger);
        self.past_runs.iter().cloned().chain(current).collect()
    }

    fn stop_backend(&mut self) {
        if let Some(backend) = self.backend.take() {
            self.past_runs.extend(backend.ledger());
        }
    }
}

/// A publish record of the configuration stream.
#[derive(Serialize)]
struct PublishRecord<'a> {
    format: u32,
    id: &'a str,
    base: u64,
    configuration: &'a RawConfiguration,
}

/// A running mesh with its log service.
pub struct Mesh {
    /// Instances in the order in which they were added.
    pub members: Vec<Member>,
    /// Client for single requests to nodes.
    pub client: Client,
    log: log::Handle,
    /// Configuration that is published, and its newest version.
    configuration: Option<RawConfiguration>,
    version: u64,
    /// The platform's store, if it takes the place of the log service.
    store: Option<SocketAddr>,
    dir: TempDir,
    options: MeshOptions,
}

impl Mesh {
    /// Publishes the configuration, starts the instances and waits until every node
    /// answers `probe_path` with status 200.
    pub fn start(
        options: MeshOptions,
        specs: &[MemberSpec],
        configuration: &RawConfiguration,
        probe_path: &str,
    ) -> anyhow::Result<Self> {
        let mut mesh = Self::empty(options, None)?;
        mesh.configuration = Some(configuration.clone());
        mesh.publish_next()?;
        mesh.add_members(specs, &Request::get(probe_path))?;
        Ok(mesh)
    }

    /// Starts the instances on a platform's store, which holds a configuration, and waits until
    /// every node answers `probe` with status 200.
    pub fn start_on_platform(
        options: MeshOptions,
        specs: &[MemberSpec],
        store: SocketAddr,
        probe: &Request,
    ) -> anyhow::Result<Self> {
        let mut mesh = Self::empty(options, Some(store))?;
        mesh.add_members(specs, probe)?;
        Ok(mesh)
    }

    fn empty(options: MeshOptions, store: Option<SocketAddr>) -> anyhow::Result<Self> {
        Ok(Self {
            members: Vec::new(),
            client: Client::start()?,
            log: log::start(log::Settings::default())?,
            configuration: None,
            version: 0,
            store,
            dir: TempDir::new()?,
            options,
        })
    }

    fn add_members(&mut self, specs: &[MemberSpec], probe: &Request) -> anyhow::Result<()> {
        for spec in specs {
            self.add_member(spec)?;
        }
        for i in 0..self.members.len() {
            self.wait_until_answered(i, probe)?;
        }
        Ok(())
    }

    /// Starts the node and the backend server of instance `i`, if they are stopped.
    pub fn restart(&mut self, i: usize) -> anyhow::Result<()> {
        let dir = self.dir.path().to_owned();
        let member = &mut self.members[i];
        if member.process.is_none() {
            let process = start_process(&self.options.binary, &dir, &member.settings)?;
            if let Some(proxy) = &member.proxy {
                proxy.set_target(process.ready.peers);
            }
            member.backend_settings.node = Some(process.ready.backend);
            member.process = Some(process);
        }
        if member.backend.is_none() {
            member.backend = Some(backend::start(member.backend_settings.clone())?);
        }
        Ok(())
    }

    /// Publishes the configuration once more, as the next version.
    fn publish_next(&mut self) -> anyhow::Result<()> {
        let configuration = self.configuration.as_ref().context("the mesh has no configuration")?;
        let (base, id) = (self.version, format!("bench-{}", self.version + 1));
        let record = PublishRecord { format: 1, id: &id, base, configuration };
        self.log.append(CONFIGURATION_STREAM, serde_json::to_vec(&record)?);
        self.version += 1;
        Ok(())
    }

    /// Publishes a version and lets the log service come back from a copy without it. Returns
    /// whether the nodes write it again.
    pub fn return_log(&mut self) -> anyhow::Result<bool> {
        let copy = self.log.copy();
        self.publish_next()?;
        let records = self.log.records(CONFIGURATION_STREAM);
        thread::sleep(LOG_COPY_AGE);
        self.log.set_outage(log::Outage::Unavailable);
        thread::sleep(LOG_OUTAGE);
        self.log.come_back_from(&copy);
        self.log.set_outage(log::Outage::None);
        let started = Instant::now();
        while self.log.records(CONFIGURATION_STREAM) != records {
            if started.elapsed() > RESTORE_TIMEOUT {
                return Ok(false);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(true)
    }

    /// Returns the addresses for callers of all running nodes.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.members.iter().filter_map(Member::callers).collect()
    }

    /// Returns every run of a request on every backend server.
    pub fn runs(&self) -> Vec<Run> {
        self.members.iter().flat_map(Member::runs).collect()
    }

    /// Waits until the node of instance `i` answers a request with status 200.
    pub fn wait_until_answered(&self, i: usize, req: &Request) -> anyhow::Result<()> {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let entry = self.members[i].callers().context("the node is not running")?;
            if self.client.call(entry, req.clone()).is_ok_and(|reply| reply.status == 200) {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        bail!(
            "{} did not answer {} with status 200 within {START_TIMEOUT:?}",
            self.members[i].name,
            req.target
        )
    }

    fn add_member(&mut self, spec: &MemberSpec) -> anyhow::Result<()> {
        let number = self.members.len() + 1;
        let name = format!("{}-{number}", spec.service);
        let ip = Ipv4Addr::new(127, 0, spec.zone, u8::try_from(number)?);
        let proxy = match self.options.proxies {
            true => Some(start_proxy(ip)?),
            false => None,
        };
        let settings = self.settings(&name, spec.zone, ip, proxy.as_ref());
        let mut backend_settings = backend::Settings::new(&spec.service, "v1")
            .with_name(&name)
            .with_behaviour(spec.behaviour.clone());
        backend_settings.slots = spec.slots;
        let (process, backend, past_runs) = (None, None, Vec::new());
        self.members.push(Member {
            name,
            proxy,
            backend,
            process,
            settings,
            backend_settings,
            past_runs,
        });
        self.restart(number - 1)
    }

    fn settings(
        &self,
        name: &str,
        zone: u8,
        ip: Ipv4Addr,
        proxy: Option<&proxy::Handle>,
    ) -> RawSettings {
        let any_port = || SocketAddr::from((ip, 0)).to_string();
        RawSettings {
            instance: name.to_owned(),
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
            advertise: RawAdvertise { peers: proxy.map(|proxy| proxy.addr().to_string()) },
            log_service: if self.store.is_some() { String::new() } else { self.log.url() },
            platform: self.store.map(platform),
            backend: None,
            metrics: None,
            operators: RawOperators::default(),
            journal_file: None,
            workers: self.options.workers,
            control: ControlSettings::default(),
            limits: self.options.limits.clone(),
            testing: self.options.testing.clone(),
        }
    }
}

fn platform(store: SocketAddr) -> RawPlatform {
    RawPlatform {
        store: store.to_string(),
        retry_share: 0.1,
        unproven_share: 0.1,
        stop_grace: None,
    }
}

fn start_proxy(ip: Ipv4Addr) -> anyhow::Result<proxy::Handle> {
    let unset_target = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let listen = SocketAddr::from((ip, 0));
    Ok(proxy::start(proxy::Settings { listen, ..proxy::Settings::for_target(unset_target) })?)
}

fn start_process(binary: &Path, dir: &Path, settings: &RawSettings) -> anyhow::Result<NodeProcess> {
    let file = dir.join(format!("{}.json", settings.instance));
    fs::write(&file, serde_json::to_vec(settings)?)?;
    let log = dir.join(format!("{}.log", settings.instance));
    let log = File::options().create(true).append(true).open(log)?;
    let mut child = Command::new(binary)
        .args(["node", "--log-level", "error"])
        .arg("--settings")
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
        .with_context(|| format!("can't start {}", binary.display()))?;
    let mut stdout =
        BufReader::new(child.stdout.take().context("the node has no standard output pipe")?);
    let mut line = String::new();
    stdout.read_line(&mut line)?;
    let ready = serde_json::from_str(&line)
        .with_context(|| format!("expected a ready line, got {line:?}"))?;
    Ok(NodeProcess { child, _stdout: stdout, ready })
}
