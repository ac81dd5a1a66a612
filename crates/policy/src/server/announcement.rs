//! What a backend server says of itself to the node beside it.

use std::{net::SocketAddr, time::Duration};

use crate::ids::{BackendVersion, ServiceName};

/// One incarnation of a backend server, from its start to its end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// Identifies the incarnation; empty where the backend server states none.
    pub id: String,
    /// Start of the incarnation in milliseconds since the Unix epoch; zero when not stated.
    pub started_ms: u64,
}

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Life of the backend server.
    pub incarnation: ServerIncarnation,
    /// Number of the announcement within the incarnation; zero when not stated.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: BackendVersion,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes; none when the configuration states them.
    pub connections: Option<u32>,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// Time until it is to be taken as gone without another announcement.
    pub lease: Duration,
    /// Time for which it is slower than usual, because it started a moment ago;
    /// none where it doesn't say.
    pub cold_left: Option<Duration>,
}

/// What came from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerMessage {
    /// It is there.
    Announced(Announcement),
    /// The incarnation with this id is about to leave.
    Leaving(String),
}

/// A message that names no backend server to use, with what is wrong.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidAnnouncement(pub String);
