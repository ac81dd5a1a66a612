//! Settings of the backend server.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::Behaviour;

/// Default number of requests that run concurrently.
const SLOTS: usize = 20;

/// Default maximum number of open connections.
const CONNECTIONS: usize = 120;

/// Default number of requests that can wait for a slot before more are shed.
const WAITING: usize = 100;

/// Default lease of an announcement, in milliseconds.
const LEASE_MS: u64 = 3_000;

/// Default time from a crash to the restart, in milliseconds.
const RESTART_MS: u64 = 500;

/// Effect of a request with the header `X-Crash: 1`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashMode {
    /// The server closes every connection, stops listening and restarts after a
    /// pause.
    #[default]
    Restart,
    /// The process exits.
    Exit,
    /// The header is ignored.
    Ignore,
}

/// Identity, address, limits and initial behaviour of the backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the backend server, included in each answer.
    #[serde(default = "default_name")]
    pub name: String,
    /// Service that the backend server belongs to.
    pub service: String,
    /// Version of the service that the backend server runs.
    pub version: String,
    /// Address to listen on; with port 0 the system chooses a free port.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Address of the node on the same instance (its `listen.backend` setting). If
    /// absent, the backend server isn't announced.
    #[serde(default)]
    pub node: Option<SocketAddr>,
    /// Number of requests that run concurrently.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Maximum number of open connections; more are closed.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Number of requests that can wait for a slot; more are shed with 503.
    #[serde(default = "default_waiting")]
    pub waiting: usize,
    /// Lease of an announcement, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Effect of a request with the header `X-Crash: 1`.
    #[serde(default)]
    pub crash: CrashMode,
    /// Time from a crash to the restart, in milliseconds.
    #[serde(default = "default_restart_ms")]
    pub restart_ms: u64,
    /// Seed of the random numbers that decide which requests fail.
    #[serde(default)]
    pub seed: u64,
    /// Behaviour at the start.
    #[serde(default)]
    pub behaviour: Behaviour,
}

impl Settings {
    /// Returns the settings of a backend server of the usual size, on a port that
    /// the system chooses, without a node.
    pub fn new(service: &str, version: &str) -> Self {
        Self {
            name: default_name(),
            service: service.to_owned(),
            version: version.to_owned(),
            listen: any_port(),
            node: None,
            slots: SLOTS,
            connections: CONNECTIONS,
            waiting: WAITING,
            lease_ms: LEASE_MS,
            crash: CrashMode::default(),
            restart_ms: RESTART_MS,
            seed: 0,
            behaviour: Behaviour::default(),
        }
    }

    /// Sets the backend address of the node on the same instance.
    pub fn with_node(mut self, node: SocketAddr) -> Self {
        self.node = Some(node);
        self
    }

    /// Sets the name.
    pub fn with_name(mut self, name: &str) -> Self {
        name.clone_into(&mut self.name);
        self
    }

    /// Sets the behaviour at the start.
    pub fn with_behaviour(mut self, behaviour: Behaviour) -> Self {
        self.behaviour = behaviour;
        self
    }
}

fn default_name() -> String {
    "backend".to_owned()
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn default_slots() -> usize {
    SLOTS
}

fn default_connections() -> usize {
    CONNECTIONS
}

fn default_waiting() -> usize {
    WAITING
}

fn default_lease_ms() -> u64 {
    LEASE_MS
}

fn default_restart_ms() -> u64 {
    RESTART_MS
}
