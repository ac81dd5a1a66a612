//! Asks another part of a node over the control link.

use std::net::SocketAddr;

use savorykeel_policy::distribution::message::{
    ControlMessage, ControlReply, MessageBody, MessageError, ReplyBody, Topic, decode, encode,
};
use savorykeel_ports::peer::{PeerError, PeerLinks};

use super::state::ControlState;

/// Why a question on a topic got no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TopicError {
    /// The link failed.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The reply can't be understood.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The other node doesn't know the topic.
    #[error("the other node doesn't know the topic")]
    Refused,
}

/// Asks the node at `addr` on a topic and returns its answer.
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
