//! Switches of the proxy.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use serde::{Deserialize, Serialize};

/// Number of an availability zone, the third part of 127.0.Z.N.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Zone(pub u8);

impl Zone {
    /// Returns the availability zone that a source address tells.
    pub fn of(addr: SocketAddr) -> Zone {
        match addr.ip() {
            IpAddr::V4(ip) => Zone(ip.octets()[2]),
            IpAddr::V6(_) => Zone(0),
        }
    }
}

/// What goes wrong on connections through the proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// New connections are closed at once.
    pub refuse: bool,
    /// Bytes towards the target vanish, and the connection stays open.
    pub drop_requests: bool,
    /// Bytes towards the client vanish, and the connection stays open.
    pub drop_answers: bool,
    /// Milliseconds by which bytes towards the target are late.
    pub request_delay_ms: u64,
    /// Milliseconds by which bytes towards the client are late.
    pub answer_delay_ms: u64,
}

/// Faults for every connection, and those of single availability zones, which
/// replace them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct FaultTable {
    /// Faults where no availability zone has its own.
    pub(crate) all: Faults,
    /// Faults by the client's availability zone.
    pub(crate) zones: BTreeMap<Zone, Faults>,
}

impl FaultTable {
    pub(crate) fn for_zone(&self, zone: Zone) -> Faults {
        self.zones.get(&zone).copied().unwrap_or(self.all)
    }
}
