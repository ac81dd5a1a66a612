//! The peer port: messages between two nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
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

/// A caller's complete request without hop-by-hop headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// Complete body; copies of a request share it.
    pub body: Bytes,
}

/// A backend server's complete answer without hop-by-hop headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<Header>,
    /// Complete body, or its first bytes if more are missing.
    pub body: Vec<u8>,
    /// Number of bytes that follow in parts; only replies between nodes are split.
    pub missing: u64,
}

/// Identifies one attempt at one incarnation of a node, for the settle protocol.
///
/// The stamp is the newest that the entry node had received from the other node when it made
/// the attempt. With it, a node never mistakes an evicted request for one that never arrived. See `docs/design/0004-settle.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Identifies the attempt.
    pub id: RequestId,
    /// Time within the incarnation of the node that the attempt is sent to.
    pub stamp: NodeStamp,
}

/// A request that the entry node forwards to the node of the chosen backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCall {
    /// Identifies this attempt for the settle protocol.
    pub attempt: Attempt,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Route that matched the request.
    pub route: RouteName,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Priority class of the request in a queue; 0 is served first.
    pub priority: u32,
    /// Time left until the deadline; a duration, because clocks of nodes differ.
    pub time_left: Duration,
    /// Time left until the latency objective; zero once it has passed.
    pub objective_left: Duration,
    /// Number of calls that led to this one.
    pub depth: u32,
    /// Fairness key of the caller for queueing: an address or a service.
    pub caller: String,
    /// Name of the client account that sent the request; `None` if the configuration has no
    /// accounts or the request belongs to none.
    pub account: Option<Arc<str>>,
    /// The request.
    pub request: HttpRequest,
}

/// Reply to a call by the node of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerReply {
    /// The backend server's complete answer.
    Answered(HttpAnswer),
    /// No answer; the code states whether the request ran.
    Failed(Code),
}

/// A part of a large answer, which follows the part in the reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerPart {
    /// Bytes of the body from the requested offset on.
    pub data: Vec<u8>,
    /// Whether the body ends with this part.
    pub is_last: bool,
}

/// Status of a request, as recorded by the node of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// The request ended with this reply, which the entry node may have missed.
    Ended(PeerReply),
    /// The request is still queued or running.
    Running,
    /// The request never ran and is now prevented from running.
    Fenced,
    /// Unknown: the node restarted, or its record of that time has been evicted.
    Evicted,
}

/// Load of the replying node; part of every reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Requests running or queued at the backend server.
    pub in_flight: u32,
    /// Time from the arrival of this call at the replying node until the reply.
    pub own_time: Duration,
    /// Average run time; zero if no run has ended yet.
    pub run_time: Duration,
    /// Time that one more request would wait because of the rate that the backend server
    /// states; zero if it states none.
    pub rate_wait: Duration,
    /// Time after which a usual large answer accepted now would have crossed the link of the
    /// instance; zero if the link is idle or its capacity isn't stated.
    pub link_wait: Duration,
    /// Number of requests that the backend server runs well at once; zero if that isn't known.
    pub concurrency_limit: u32,
}

/// Reason why another node gave no valid reply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No byte of the message was sent.
    #[error("no connection to the node at {0}")]
    NotSent(SocketAddr),
    /// The connection ended or stopped responding after the message was sent.
    #[error("the connection to the node at {0} was lost")]
    Lost(SocketAddr),
    /// The reply breaks the protocol.
    #[error("malformed reply from the node at {addr}: {problem}")]
    Malformed {
        /// Address of the node.
        addr: SocketAddr,
        /// Description of the problem.
        problem: String,
    },
}

/// Links to other nodes.
#[allow(async_fn_in_trait)]
pub trait PeerLinks {
    /// Returns the newest stamp received from the node at `addr`.
    async fn stamp(&self, addr: SocketAddr) -> Result<NodeStamp, PeerError>;

    /// Sends a call to the node at `addr` and waits for the reply.
    async fn call(
        &self,
        addr: SocketAddr,
        call: &PeerCall,
    ) -> Result<(PeerReply, LoadHint), PeerError>;

    /// Queries the status of an attempt; one that has not arrived is fenced.
    async fn settle(&self, addr: SocketAddr, attempt: Attempt) -> Result<Settlement, PeerError>;

    /// Notifies the node that the request has been abandoned.
    async fn cancel(&self, addr: SocketAddr, id: RequestId) -> Result<(), PeerError>;

    /// Requests the part of the answer to request `id` that begins at `offset`; the code states
    /// why there is none.
    async fn answer_part(
        &self,
        addr: SocketAddr,
        id: RequestId,
        offset: u64,
    ) -> Result<Result<AnswerPart, Code>, PeerError>;

    /// Exchanges a control message (membership, configuration, evidence).
    async fn control(&self, addr: SocketAddr, body: Vec<u8>) -> Result<Vec<u8>, PeerError>;

    /// Exchanges a ledger message (claims of idempotency keys).
    async fn ledger(&self, addr: SocketAddr, body: Vec<u8>) -> Result<Vec<u8>, PeerError>;
}
