//! Messages that a backend server sends about itself to its node.

use std::{net::SocketAddr, time::Duration};

use crate::ids::{BackendVersion, ServiceName};

/// One incarnation of a backend server, from its start to its end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// Identifies the incarnation; empty if the backend server doesn't state an id.
    pub id: String,
    /// Start of the incarnation in milliseconds since the Unix epoch; zero if not stated.
    pub started_ms: u64,
}

/// State of a backend server, as announced by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Incarnation of the backend server.
    pub incarnation: ServerIncarnation,
    /// Sequence number of the announcement within the incarnation; zero if not stated.
    pub sequence: u64,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Version of its software.
    pub version: BackendVersion,
    /// Address at which it accepts requests.
    pub addr: SocketAddr,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Number of connections that it accepts; `None` if the configuration sets it.
    pub connections: Option<u32>,
    /// Whether it is about to leave and accepts no new work.
    pub draining: bool,
    /// Time after which it counts as gone without another announcement.
    pub lease: Duration,
    /// Time for which it is slower than usual because it started recently; `None` if not
    /// stated.
    pub cold_left: Option<Duration>,
}

/// A message from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerMessage {
    /// The backend server is running.
    Announced(Announcement),
    /// The incarnation with this id is about to leave.
    Leaving(String),
}

/// Error for a message that names no usable backend server; it holds the problem.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidAnnouncement(pub String);
