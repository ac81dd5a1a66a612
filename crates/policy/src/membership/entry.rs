//! A node's own record: written by that node alone.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendVersion, ConfigVersion, InstanceName, RegionName, ServiceName, ZoneName};

/// Orders the records of one node: the highest (incarnation, sequence) wins.
///
/// The incarnation is the wall clock at the node's start, raised above any that
/// a peer remembers, because instances keep nothing across a restart.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Distinguishes the lives of one instance name.
    pub incarnation: u64,
    /// Counts the changes within one life.
    pub sequence: u64,
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Order among the records of this instance.
    pub stamp: Stamp,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Address at which other nodes reach the node.
    pub peer_addr: SocketAddr,
    /// Whether the node is leaving and takes no new work.
    pub leaving: bool,
    /// The backend server on the instance, once it announced itself.
    pub backend: Option<BackendRecord>,
    /// Configuration version that the node had applied when it last changed
    /// this record. It alone never causes a change, because then each publish
    /// would send every node's record to every node.
    pub applied: ConfigVersion,
}

/// What a node says of the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Service that the backend server runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: BackendVersion,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it drains and takes no new work.
    pub draining: bool,
}

/// How the nodes see one of them.
///
/// The order is the order of merging: of two statements about one stamp, the
/// later in this list wins, and only the node itself can take it back by a
/// higher stamp.
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
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It didn't answer lately; others are being asked.
    Suspect,
    /// Nobody reaches it, but it may live on behind a partition.
    Unreachable,
    /// It left or is known to be dead.
    Gone,
}
