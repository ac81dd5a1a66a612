//! What two nodes say to each other about membership and configuration.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    config::fold::Position,
    ids::{InstanceName, ZoneName},
    membership::merge::{Entry, Rank, Statement},
};

use super::update::{FoldUpdate, HeldState};

/// Largest message or reply in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Largest number of entries in one message; the rest goes into further ones.
pub const MAX_ENTRIES: usize = 1_024;

/// Who speaks and how far it has come; it goes with every message and reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of its instance.
    pub instance: InstanceName,
    /// Availability zone of its instance.
    pub zone: ZoneName,
    /// Address at which other nodes reach it.
    pub addr: SocketAddr,
    /// Position that it has applied.
    pub position: Position,
    /// Digest of its membership table.
    pub members: u64,
    /// Whether it knows that it holds all that it ever served.
    pub recovered: bool,
    /// Time since its position was known to be the end of the log, if ever.
    pub current_ago: Option<Duration>,
}

/// A message with its speaker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlMessage {
    /// Who speaks.
    pub from: Sender,
    /// What it says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks for a sign of life and tells how the other node is seen.
    Probe {
        /// What the speaker holds of the other node, if anything.
        about_you: Option<Rank>,
    },
    /// Asks when the other node last heard from a third one.
    #[serde(rename = "Heard")]
    LastContact {
        /// Name of the third one.
        instance: InstanceName,
    },
    /// Passes on entries that changed.
    #[serde(rename = "News")]
    Updates {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Asks for a newer configuration.
    Pull {
        /// What the speaker holds.
        held: HeldState,
    },
    /// Asks for what differs between two membership tables.
    Compare {
        /// Digests of the buckets.
        digests: Vec<u64>,
    },
    /// Asks for entries and hands over newer ones.
    Exchange {
        /// Names of the entries that the speaker wants.
        wanted: Vec<InstanceName>,
        /// Entries that are newer than the other node's.
        entries: Vec<Entry>,
    },
    /// Carries a message of another part of the node.
    Topic {
        /// The part of the node.
        topic: Topic,
        /// Its message.
        body: Vec<u8>,
    },
}

/// Parts of the node that exchange messages of their own.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Topic {
    /// Evidence on moves and their steps.
    Moves,
    /// Requests that are suspected of crashing backend servers.
    Quarantine,
    /// What operators want to know of every node.
    Operators,
}

/// A reply with its speaker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlReply {
    /// Who replies.
    pub from: Sender,
    /// Position that the replying node remembers of the asking one.
    pub your_floor: Position,
    /// What it says.
    pub body: ReplyBody,
}

/// What a reply says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplyBody {
    /// The message was taken; this is how the asking node is seen.
    #[serde(rename = "Taken")]
    Ack {
        /// What the replying node holds of the asking one, if anything.
        about_you: Option<Rank>,
    },
    /// Time since the third node was last heard, if it ever was.
    #[serde(rename = "HeardAgo")]
    LastContactAgo(Option<Duration>),
    /// A newer configuration.
    Update(FoldUpdate),
    /// What the replying node holds in the buckets that differ.
    Statements {
        /// Numbers of the buckets.
        buckets: Vec<u8>,
        /// What it holds in them.
        statements: Vec<Statement>,
    },
    /// The wanted entries.
    Entries(Vec<Entry>),
    /// A reply of another part of the node.
    Topic(Vec<u8>),
    /// The message can't be understood.
    Refused,
}

/// A message or reply that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// It has too many bytes.
    #[error("{found} bytes: at most {MAX_MESSAGE_BYTES} are taken")]
    TooLarge {
        /// Number of bytes.
        found: usize,
    },
    /// It isn't of this protocol.
    #[error("not a control message: {0}")]
    Malformed(String),
}

/// Encodes a message or reply.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Parses a message or reply; bytes that are left over are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLarge { found: bytes.len() });
    }
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(MessageError::Malformed(format!("{} bytes left over", rest.len()))),
        Err(e) => Err(MessageError::Malformed(e.to_string())),
    }
}
