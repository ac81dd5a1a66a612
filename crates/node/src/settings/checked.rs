//! Settings that have passed every check.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use savorykeel_platform::StoreSettings;
use savorykeel_policy::{
    calls::link_schedule::LinkRate,
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
    /// Where configuration comes from and durable state is stored.
    pub store: StoreChoice,
    /// The backend server on the instance, where the settings name it.
    pub backend: Option<BackendSettings>,
    /// Destination of metrics over statsd; none are sent when absent.
    pub metrics: Option<MetricsSettings>,
    /// File that holds the bearer token for requests that write. Without it the
    /// operators' API writes nothing.
    pub token_file: Option<PathBuf>,
    /// File to which each applied configuration version is appended, for tests.
    pub journal_file: Option<PathBuf>,
    /// Number of worker threads.
    pub workers: usize,
    /// How configuration and membership are replicated to this node.
    pub control: ControlSettings,
    /// Limits of this node.
    pub limits: Limits,
    /// Switches for tests.
    pub testing: Testing,
}

/// Where configuration comes from and durable state is stored.
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
    /// Its service and address; announcements of another one are ignored.
    pub expected: ExpectedServer,
    /// Time for which an announcement is valid.
    pub lease: Duration,
}

/// Mechanisms that a test switches off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Testing {
    /// Retries without settling whether the request ran.
    pub without_settle: bool,
    /// Runs requests although their entry node received the proof that they don't run.
    pub without_fences: bool,
    /// Runs keyed requests without a claim.
    pub without_ledger: bool,
    /// Sends each request to the backend server at once, without admission control.
    pub without_admission: bool,
    /// Runs requests that crash backend servers without quarantine.
    pub without_quarantine: bool,
    /// Chooses backend servers round robin, without regard to their load.
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
    /// For readiness probes, which ask whether the node accepts new work.
    pub readiness: Option<SocketAddr>,
    /// For clients that read the node's metrics.
    pub metrics: Option<SocketAddr>,
}

/// Destination of metrics.
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
    /// Maximum total size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes, even if a route allows more.
    pub body_bytes: usize,
    /// Memory for the bodies of all requests and large answers together, in bytes.
    pub body_memory_bytes: usize,
    /// Maximum number of open connections of callers.
    pub caller_connections: usize,
    /// Bytes that the system holds unread on each connection of a caller.
    pub receive_buffer_bytes: usize,
    /// Maximum number of requests of callers whose bodies are arriving.
    pub unfinished_bodies: usize,
    /// Maximum number of requests that the node reads behind others of their connections.
    pub pipelined_requests: usize,
    /// Time within which a caller sends the rest of a header section that it began.
    pub header: Duration,
    /// Time without progress after which a body or the reader of an answer is given up.
    pub stall: Duration,
    /// The same while callers take most of the memory or of the connections.
    pub busy_stall: Duration,
    /// Time between heartbeats on a link to another node.
    pub heartbeat: Duration,
    /// Time without any received byte after which a link is considered dead.
    pub silence: Duration,
    /// Time-out of opening a connection.
    pub connect: Duration,
    /// Time-out of settling with another node whether a request ran.
    pub settle: Duration,
    /// Maximum number of answers retained for the settle protocol and for idempotency keys.
    pub kept_answers: usize,
    /// Memory for retained answers, in bytes.
    pub kept_bytes: usize,
    /// Time for which an answer is retained.
    pub answer_retention: Duration,
    /// Time for which an idempotency key is retained; it must be the same on all nodes.
    pub key_retention: Duration,
    /// Longest time that a graceful shutdown waits for requests in flight.
    pub drain: Duration,
    /// Time for which a leaving node still accepts new connections of callers.
    pub linger: Duration,
    /// Time for which a leaving backend server still gets requests that other nodes sent
    /// before they received that update.
    pub leave_grace: Duration,
    /// Capacity of the instance's link in each direction, if it is stated.
    pub link: Option<LinkRate>,
    /// Whether the node learns how many requests its backend server handles well at once.
    pub learn_concurrency: bool,
}
