//! Messages that nodes exchange about membership and configuration.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    config::fold::Position,
    evacuation::Evacuations,
    ids::{InstanceName, ZoneName},
    membership::merge::{Entry, Rank, Statement},
};

use super::{
    era::StoreEra,
    update::{FoldUpdate, HeldState},
};

/// Largest size of a message or reply, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Largest number of entries in one message; further entries go into further
/// messages.
pub const MAX_ENTRIES: usize = 1_024;

/// Identity and state of the node that sends a message or reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the sender's instance.
    pub instance: InstanceName,
    /// Availability zone of the sender's instance.
    pub zone: ZoneName,
    /// Address at which other nodes reach the sender.
    pub addr: SocketAddr,
    /// Position that the sender has applied.
    pub position: Position,
    /// Digest of the sender's membership table.
    pub members: u64,
    /// Whether the sender has completed its recovery, so that it has applied
    /// everything that it ever served.
    pub recovered: bool,
    /// Newest era of the store that the sender knows, if the store states eras.
    pub store_era: Option<StoreEra>,
    /// Time since the store came back from an older copy, if the sender knows of that.
    pub store_returned_ago: Option<Duration>,
    /// Time since the sender's position was last confirmed as the end of the log, if
    /// it ever was.
    pub current_ago: Option<Duration>,
    /// What the sender knows of evacuations, as of the same time or later; empty in a mesh that
    /// had none.
    pub evacuations: Evacuations,
}

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlMessage {
    /// Sender of the message.
    pub from: Sender,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum MessageBody {
    /// Checks that the other node is alive and reports what the sender has recorded
    /// about it.
    Probe {
        /// Rank of the sender's entry of the other node, if it has one.
        about_you: Option<Rank>,
    },
    /// Asks when the other node last had contact with a third node.
    #[serde(rename = "Heard")]
    LastContact {
        /// Name of the third node's instance.
        instance: InstanceName,
    },
    /// Propagates changed membership entries.
    #[serde(rename = "News")]
    Updates {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Asks for a newer configuration.
    Pull {
        /// State that the sender holds.
        held: HeldState,
    },
    /// Asks for the differences between two membership tables.
    Compare {
        /// Digests of the buckets of the sender's table.
        digests: Vec<u64>,
    },
    /// Requests entries and sends newer ones.
    Exchange {
        /// Names of the entries that the sender requests.
        wanted: Vec<InstanceName>,
        /// Entries that are newer than the other node's.
        entries: Vec<Entry>,
    },
    /// Carries a message of another subsystem of the node.
    Topic {
        /// The subsystem.
        topic: Topic,
        /// The encoded message of the subsystem.
        body: Vec<u8>,
    },
}

/// Subsystems of the node that exchange messages of their own.
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
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Topic {
    /// Evidence about moves and their steps.
    Moves,
    /// Requests that are suspected of crashing backend servers.
    Quarantine,
    /// Information on every node that operators query.
    Operators,
    /// Tokens of the quotas of client accounts.
    Quota,
}

/// A reply with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlReply {
    /// Sender of the reply.
    pub from: Sender,
    /// Position that the replying node has recorded for the asking node.
    pub your_floor: Position,
    /// Content of the reply.
    pub body: ReplyBody,
}

/// Content of a reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplyBody {
    /// Acknowledges the message and reports what the replying node has recorded
    /// about the asking node.
    #[serde(rename = "Taken")]
    Ack {
        /// Rank of the replying node's entry of the asking node, if it has one.
        about_you: Option<Rank>,
    },
    /// Time since the last contact with the third node, if there ever was one.
    #[serde(rename = "HeardAgo")]
    LastContactAgo(Option<Duration>),
    /// A newer configuration.
    Update(FoldUpdate),
    /// Content of the differing buckets in the replying node's table.
    Statements {
        /// Numbers of the buckets.
        buckets: Vec<u8>,
        /// Statements about the entries in these buckets.
        statements: Vec<Statement>,
    },
    /// The requested entries.
    Entries(Vec<Entry>),
    /// The encoded reply of another subsystem of the node.
    Topic(Vec<u8>),
    /// The message could not be understood.
    Refused,
}

/// Reason for which a message or reply can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// It is larger than [`MAX_MESSAGE_BYTES`].
    #[error("control message of {found} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")]
    TooLarge {
        /// Number of bytes.
        found: usize,
    },
    /// It does not follow this protocol.
    #[error("not a control message: {0}")]
    Malformed(String),
}

/// Encodes a message or reply.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Parses a message or reply; trailing bytes are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLarge { found: bytes.len() });
    }
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(MessageError::Malformed(format!("{} trailing bytes", rest.len()))),
        Err(e) => Err(MessageError::Malformed(e.to_string())),
    }
}
