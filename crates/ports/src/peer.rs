//! The peer port: what two nodes say to each other about calls.

use std::{net::SocketAddr, time::Duration};

use savorykeel_policy::{
    calls::settle::NodeStamp,
    code::Code,
    ids::{RequestId, RouteName, ServiceName},
};

/// A header with its value as bytes, because HTTP allows more than text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: Vec<u8>,
}

/// A caller's request, whole and without hop-by-hop headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Vec<u8>,
}

/// A backend server's answer, whole and without hop-by-hop headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Identifies one attempt at one life of a node, for the settle protocol.
///
/// The stamp is the newest that the entry node had heard of the other node when
/// it made the attempt, so that what that node has forgotten is never taken for
/// what it never saw. See `docs/design/0004-settle.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Identifies the attempt.
    pub id: RequestId,
    /// Moment in the life of the node that the attempt is aimed at.
    pub stamp: NodeStamp,
}

/// A request on its way from the entry node to the node beside the chosen
/// backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCall {
    /// Identifies this attempt for the settle protocol.
    pub attempt: Attempt,
    /// Service that is to answer.
    pub service: ServiceName,
    /// Route that took the request.
    pub route: RouteName,
    /// Whether running the request twice does the same as running it once.
    pub idempotent: bool,
    /// Rank of the request when a queue forms, 0 first.
    pub priority: u32,
    /// Time left until the deadline; a duration, because clocks differ.
    pub time_left: Duration,
    /// Time left within which an answer counts as fast; zero when that has passed.
    pub objective_left: Duration,
    /// Number of calls above this one.
    pub depth: u32,
    /// Name of the caller for fair queueing: an address or a service.
    pub caller: String,
    /// The request.
    pub request: HttpRequest,
}

/// What the node beside the backend server says of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerReply {
    /// The backend server's whole answer.
    Answered(HttpAnswer),
    /// No answer; the code tells whether the request ran.
    Failed(Code),
}

/// What became of a request, as the node beside the backend server knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// It ended; this is what the caller should have heard.
    Ended(PeerReply),
    /// It is still queued or running.
    Running,
    /// It never ran and, from now on, never runs.
    Fenced,
    /// The node can't tell: it restarted or no longer remembers that far back.
    Evicted,
}

/// How busy the answering node is; it rides on every reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Requests running or queued at the backend server.
    pub in_flight: u32,
    /// Requests that the backend server runs at once.
    pub slots: u32,
    /// Average time of a run; zero when none ended yet.
    pub run_time: Duration,
}

/// Why another node gave no reply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No byte of the message was sent.
    #[error("no connection to the node at {0}")]
    NotSent(SocketAddr),
    /// The connection ended or went silent after the message was sent.
    #[error("the connection to the node at {0} was lost")]
    Lost(SocketAddr),
    /// The reply can't be understood.
    #[error("the node at {addr} replied with something else than the protocol: {problem}")]
    Malformed {
        /// Address of the node.
        addr: SocketAddr,
        /// What is wrong with it.
        problem: String,
    },
}

/// Links to other nodes.
#[allow(async_fn_in_trait)]
pub trait PeerLinks {
    /// Returns the newest stamp heard of the node at `addr`.
    async fn stamp(&self, addr: SocketAddr) -> Result<NodeStamp, PeerError>;

    /// Hands a call to the node at `addr`.
    async fn call(
        &self,
        addr: SocketAddr,
        call: &PeerCall,
    ) -> Result<(PeerReply, LoadHint), PeerError>;

    /// Asks what became of a request; a request never seen is fenced.
    async fn settle(&self, addr: SocketAddr, attempt: Attempt) -> Result<Settlement, PeerError>;

    /// Tells the node that nobody waits for the request any more.
    async fn cancel(&self, addr: SocketAddr, id: RequestId) -> Result<(), PeerError>;

    /// Exchanges a control message (membership, configuration, evidence).
    async fn control(&self, addr: SocketAddr, body: Vec<u8>) -> Result<Vec<u8>, PeerError>;

    /// Exchanges a ledger message (claims of idempotency keys).
    async fn ledger(&self, addr: SocketAddr, body: Vec<u8>) -> Result<Vec<u8>, PeerError>;
}
