//! Requests to other parts of a node over the control link.

use std::net::SocketAddr;

use savorykeel_policy::distribution::message::{
    ControlMessage, ControlReply, MessageBody, MessageError, ReplyBody, Topic, decode, encode,
};
use savorykeel_ports::peer::{PeerError, PeerLinks};

use super::state::ControlState;

/// Why a request on a topic failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TopicError {
    /// The link failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The reply can't be decoded.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The other node has no handler for the topic.
    #[error("the other node has no handler for the topic")]
    Refused,
}

/// Sends a request on a topic to the node at `addr` and returns the answer.
pub(crate) async fn request<P: PeerLinks>(
    state: &ControlState,
    links: &P,
    addr: SocketAddr,
    topic: Topic,
    body: Vec<u8>,
) -> Result<Vec<u8>, TopicError> {
    let body = MessageBody::Topic { topic, body };
    let message = encode(&ControlMessage { from: state.sender(), body });
    let bytes = links.control(addr, message).await?;
    let reply: ControlReply = decode(&bytes)?;
    match reply.body {
        ReplyBody::Topic(body) => Ok(body),
        _ => Err(TopicError::Refused),
    }
}
