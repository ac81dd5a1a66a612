//! Settings as written in the file, before any check.

use std::{path::PathBuf, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::control::ControlMode;

/// The whole settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the instance, unique in the mesh.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Addresses on which the node listens.
    pub listen: RawListen,
    /// Addresses that the node advertises to others, where they differ from `listen`.
    #[serde(default)]
    pub advertise: RawAdvertise,
    /// Base URL of the log service through which operators publish; it can't be combined
    /// with `platform`.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub log_service: String,
    /// The platform that stores the configuration in place of the log service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<RawPlatform>,
    /// The backend server on the instance, where the settings name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backend: Option<RawBackend>,
    /// Destination of metrics over statsd; none are sent when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<RawMetrics>,
    /// The operators' API.
    #[serde(default)]
    pub operators: RawOperators,
    /// File to which each applied configuration version is appended, for tests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub journal_file: Option<PathBuf>,
    /// Number of worker threads.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// How configuration and membership are replicated to this node.
    #[serde(default)]
    pub control: ControlSettings,
    /// Limits of this node.
    #[serde(default)]
    pub limits: RawLimits,
    /// Switches for tests; absent in production.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub testing: Option<RawTesting>,
}

/// Switches off mechanisms that protect callers, to prove that a test detects their
/// absence.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTesting {
    /// Must be true, so that no switch is set by accident.
    pub breaks_promises: bool,
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

/// How configuration and membership are replicated to a node; each field has a default.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// How the node receives the configuration.
    pub mode: ControlMode,
    /// Time for which a checkpoint is valid; it has to be shorter than the retention of
    /// the log service.
    #[serde(rename = "checkpoint_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub checkpoint: Duration,
    /// Time after which a presence record is appended again; it has to be shorter than
    /// the retention of the log service.
    #[serde(rename = "presence_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub presence: Duration,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            mode: ControlMode::default(),
            checkpoint: Duration::from_secs(300),
            presence: Duration::from_secs(60),
        }
    }
}

/// The platform that stores the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlatform {
    /// Address of the platform's store, as `ip:port`.
    pub store: String,
    /// Maximum retries as a share of requests, 0 to 1.
    pub retry_share: f64,
    /// Maximum share of a service's traffic that an unproven version may get, 0 to 1.
    pub unproven_share: f64,
    /// Time after which the platform kills a process that it has asked to stop, as a number
    /// with the unit ms or s. It replaces `limits.drain_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stop_grace: Option<String>,
}

/// The backend server on the instance.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBackend {
    /// Service that it runs; announcements of another service are ignored.
    pub service: String,
    /// Address at which it accepts requests, as `ip:port`.
    pub address: String,
    /// Time for which an announcement is valid.
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
}

/// Addresses on which the node listens, each as `ip:port`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawListen {
    /// For callers outside the mesh.
    pub callers: String,
    /// For the backend server on the same instance.
    pub backend: String,
    /// For other nodes.
    pub peers: String,
    /// For operators.
    pub operators: String,
    /// For readiness probes; not listened on when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub readiness: Option<String>,
    /// For clients that read the node's metrics; not listened on when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<String>,
}

/// Addresses that the node advertises to others.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAdvertise {
    /// Address at which other nodes reach this one; `listen.peers` when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<String>,
}

/// Destination of metrics.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawMetrics {
    /// Address of a statsd server, as `ip:port`.
    pub statsd: String,
    /// Prefix of each metric's name.
    #[serde(default = "default_metrics_prefix")]
    pub prefix: String,
}

/// The operators' API.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperators {
    /// File that holds the bearer token for requests that write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_file: Option<PathBuf>,
}

/// Limits of one node; each has a default.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
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
    #[serde(rename = "header_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub header: Duration,
    /// Time without progress after which a body or the reader of an answer is given up.
    #[serde(rename = "stall_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stall: Duration,
    /// The same while callers take most of the memory or of the connections.
    #[serde(rename = "busy_stall_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub busy_stall: Duration,
    /// Time between heartbeats on a link to another node.
    #[serde(rename = "heartbeat_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub heartbeat: Duration,
    /// Time without any received byte after which a link is considered dead.
    #[serde(rename = "silence_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub silence: Duration,
    /// Time-out of opening a connection.
    #[serde(rename = "connect_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub connect: Duration,
    /// Time-out of settling with another node whether a request ran.
    #[serde(rename = "settle_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub settle: Duration,
    /// Maximum number of answers retained for the settle protocol and for idempotency keys.
    pub kept_answers: usize,
    /// Memory for retained answers, in bytes.
    pub kept_bytes: usize,
    /// Time for which an answer is retained.
    #[serde(rename = "kept_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub kept: Duration,
    /// Time for which an idempotency key is retained; it must be the same on all nodes.
    #[serde(rename = "key_kept_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub key_kept: Duration,
    /// Longest time that a graceful shutdown waits for requests in flight.
    #[serde(rename = "drain_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// Time for which a leaving node still accepts new connections of callers.
    #[serde(rename = "linger_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub linger: Duration,
    /// Time for which a backend server that announced that it leaves still gets requests
    /// that other nodes sent before they received that update.
    #[serde(rename = "leave_grace_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub leave_grace: Duration,
    /// Capacity of the instance's link in each direction, in Mbit/s; without it, large answers
    /// are sent as soon as they are ready.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub link_mbps: Option<f64>,
    /// Whether the node learns how many requests its backend server handles well at once, and
    /// prefers others beyond that number.
    pub learn_concurrency: bool,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            header_bytes: 32 << 10,
            body_bytes: 16 << 20,
            body_memory_bytes: 64 << 20,
            caller_connections: 1_024,
            receive_buffer_bytes: 64 << 10,
            unfinished_bodies: 256,
            pipelined_requests: 256,
            header: Duration::from_millis(5_000),
            stall: Duration::from_millis(15_000),
            busy_stall: Duration::from_millis(1_000),
            heartbeat: Duration::from_millis(250),
            silence: Duration::from_millis(1_000),
            connect: Duration::from_millis(500),
            settle: Duration::from_millis(1_000),
            kept_answers: 20_000,
            kept_bytes: 32 << 20,
            kept: Duration::from_secs(120),
            key_kept: Duration::from_secs(600),
            drain: Duration::from_secs(30),
            linger: Duration::from_millis(1_500),
            leave_grace: Duration::ZERO,
            link_mbps: None,
            learn_concurrency: false,
        }
    }
}

fn default_workers() -> usize {
    2
}

fn default_metrics_prefix() -> String {
    "savorykeel".into()
}
