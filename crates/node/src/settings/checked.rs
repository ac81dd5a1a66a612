//! Settings after every check.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use savorykeel_platform::StoreSettings;
use savorykeel_policy::{
    ids::{InstanceName, RegionName, ZoneName},
    server::tracker::ExpectedServer,
};

use super::ControlSettings;

/// The whole settings of a node, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the mesh.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Addresses on which the node listens.
    pub listen: Listen,
    /// Address at which other nodes reach this one, where it differs from the
    /// address that `listen.peers` is bound to.
    pub advertise_peers: Option<SocketAddr>,
    /// Where configuration comes from and what must last is kept.
    pub store: StoreChoice,
    /// The backend server on the instance, where the settings say which.
    pub backend: Option<BackendSettings>,
    /// Where metrics go; nowhere when absent.
    pub metrics: Option<MetricsSettings>,
    /// File that holds the bearer token for requests that write. Without it the
    /// operators' API writes nothing.
    pub token_file: Option<PathBuf>,
    /// File to which each applied configuration version is written, for tests.
    pub journal_file: Option<PathBuf>,
    /// Number of worker threads.
    pub workers: usize,
    /// How configuration and membership are kept up.
    pub control: ControlSettings,
    /// Limits of this node.
    pub limits: Limits,
    /// Switches for tests.
    pub testing: Testing,
}

/// Where configuration comes from and what must last is kept.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreChoice {
    /// The log service at this base URL, without a slash at its end.
    LogService(Arc<str>),
    /// The platform's store.
    Platform(StoreSettings),
}

/// The backend server on the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// Which one is expected.
    pub expected: ExpectedServer,
    /// Time for which an announcement holds.
    pub lease: Duration,
}

/// Mechanisms that a test switched off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Testing {
    /// Retries without asking what became of the request.
    pub without_settle: bool,
    /// Lets requests run although their entry node was told that they don't.
    pub without_fences: bool,
    /// Runs keyed requests without a claim.
    pub without_ledger: bool,
    /// Hands each request to the backend server at once.
    pub without_admission: bool,
    /// Runs requests that crash backend servers like any other.
    pub without_quarantine: bool,
    /// Chooses backend servers in turn.
    pub round_robin: bool,
}

/// Addresses on which the node listens; port 0 takes a free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// For callers outside the mesh.
    pub callers: SocketAddr,
    /// For the backend server on the same instance.
    pub backend: SocketAddr,
    /// For other nodes; its IP number is also the source of links to them.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For questions whether the node takes new work.
    pub readiness: Option<SocketAddr>,
    /// For whoever reads the node's metrics.
    pub metrics: Option<SocketAddr>,
}

/// Where metrics go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricsSettings {
    /// Address of a statsd server.
    pub statsd: SocketAddr,
    /// Prefix of each metric's name.
    pub prefix: Arc<str>,
}

/// Limits of one node, checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest total size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes, whatever a route allows.
    pub body_bytes: usize,
    /// Connections that callers may hold open.
    pub caller_connections: usize,
    /// Time between heartbeats on a link to another node.
    pub heartbeat: Duration,
    /// Time without any byte after which a link counts as dead.
    pub silence: Duration,
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest time to ask another node what became of a request.
    pub settle: Duration,
    /// Answers kept for the settle protocol and for idempotency keys.
    pub kept_answers: usize,
    /// Memory for kept answers, in bytes.
    pub kept_bytes: usize,
    /// Time for which an answer is kept.
    pub answer_retention: Duration,
    /// Time for which an idempotency key is remembered; the same on all nodes.
    pub key_retention: Duration,
    /// Longest time that a graceful shutdown waits for requests in flight.
    pub drain: Duration,
    /// Time for which a node that leaves still takes new connections of callers.
    pub linger: Duration,
    /// Time for which a backend server that leaves is still given work.
    pub leave_grace: Duration,
}
