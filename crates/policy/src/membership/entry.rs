//! The record that a node publishes about itself, and the states of liveness that
//! other nodes assign to it.
//!
//! Only the node itself writes its record, so the one with the highest [`Stamp`] is
//! current.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendVersion, ConfigVersion, InstanceName, RegionName, ServiceName, ZoneName};

/// Orders the records of one node: the highest (incarnation, sequence) wins.
///
/// The incarnation is the wall-clock time at the node's start, raised above any
/// incarnation that a peer retains, because instances store nothing across a
/// restart.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Distinguishes the runs of the node of one instance name.
    pub incarnation: u64,
    /// Counts the changes of the record within one incarnation.
    pub sequence: u64,
}

/// The record that a node publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Order of this record among the records of the instance.
    pub stamp: Stamp,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Address at which other nodes reach the node.
    pub peer_addr: SocketAddr,
    /// Whether the node is leaving and accepts no new requests.
    pub leaving: bool,
    /// The local backend server, once it has announced itself.
    pub backend: Option<BackendRecord>,
    /// Configuration version that the node had applied when it last changed this
    /// record. A new version alone doesn't change the record, because then each
    /// publish would send every node's record to every node.
    pub applied: ConfigVersion,
}

impl NodeRecord {
    /// Returns whether the local backend server belongs to a service.
    pub fn runs_service(&self, service: &ServiceName) -> bool {
        self.backend.as_ref().is_some_and(|backend| backend.service == *service)
    }
}

/// The part of a node's record that describes the local backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Service to which the backend server belongs.
    pub service: ServiceName,
    /// Version of the backend server's software.
    pub version: BackendVersion,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
}

/// Liveness of a node as the other nodes see it.
///
/// The order of the variants is the order of merging: of two statements about one
/// stamp, the one with the later variant wins, and only the node itself can refute
/// it, by a record with a higher stamp.
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
    /// The node answers probes.
    Alive,
    /// The node failed to answer a probe and hasn't refuted the suspicion yet.
    Suspect,
    /// No node reaches it, but it may be running behind a network partition.
    Unreachable,
    /// The node left, or was unreachable for so long that it was given up.
    Gone,
}
