//! Messages that nodes exchange about moves.

use savorykeel_policy::moves::gossip::MoveGossip;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A message about moves, encoded with postcard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum MoveMessage {
    /// Sends the targets, states and evidence that changed; the reply is empty.
    Push(MoveGossip),
    /// Requests all targets and states; the reply is an [`AllMoves`].
    PullAll,
}

/// All targets and states that a node knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct AllMoves {
    pub(super) gossip: MoveGossip,
    /// Whether the node knows all that it needs to serve.
    pub(super) is_complete: bool,
}

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}
