//! Settings of the backend server.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::Behaviour;

/// Requests that run at once.
const SLOTS: usize = 20;

/// Connections taken at once.
const CONNECTIONS: usize = 120;

/// Requests that wait for a slot before more are shed.
const WAITING: usize = 100;

/// Lease of an announcement.
const LEASE_MS: u64 = 3_000;

/// Time from a crash to the restart.
const RESTART_MS: u64 = 500;

/// What a request marked with `X-Crash: 1` does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashMode {
    /// Cuts every connection, stops listening and starts again after a pause.
    #[default]
    Restart,
    /// Ends the process.
    Exit,
    /// Nothing: the mark is ignored.
    Ignore,
}

/// What the backend server is and where.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name, told in each answer.
    #[serde(default = "default_name")]
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Address to listen on; port 0 lets the system choose.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Address of the node on its instance (`listen.backend` there); without
    /// one it announces itself to nobody.
    #[serde(default)]
    pub node: Option<SocketAddr>,
    /// Requests that run at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Connections taken at once; more are closed.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Requests that wait for a slot; more are shed with 503.
    #[serde(default = "default_waiting")]
    pub waiting: usize,
    /// Milliseconds for which an announcement holds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// What a marked request does.
    #[serde(default)]
    pub crash: CrashMode,
    /// Milliseconds from a crash to the restart.
    #[serde(default = "default_restart_ms")]
    pub restart_ms: u64,
    /// Seed of the draws by which requests fail.
    #[serde(default)]
    pub seed: u64,
    /// Behaviour to begin with.
    #[serde(default)]
    pub behaviour: Behaviour,
}

impl Settings {
    /// A backend server with today's usual size, on a port that the system
    /// chooses, beside no node.
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

    /// Puts it beside a node.
    pub fn with_node(mut self, node: SocketAddr) -> Self {
        self.node = Some(node);
        self
    }

    /// Names it.
    pub fn with_name(mut self, name: &str) -> Self {
        name.clone_into(&mut self.name);
        self
    }

    /// Sets its behaviour to begin with.
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
