//! Faults that the proxy injects.

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
    /// Returns the availability zone of a source address; 0 for IPv6.
    pub fn of(addr: SocketAddr) -> Zone {
        match addr.ip() {
            IpAddr::V4(ip) => Zone(ip.octets()[2]),
            IpAddr::V6(_) => Zone(0),
        }
    }
}

/// Faults to inject into connections through the proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// New connections are closed immediately.
    pub refuse: bool,
    /// Bytes towards the target are dropped, and the connection stays open.
    pub drop_requests: bool,
    /// Bytes towards the client are dropped, and the connection stays open.
    pub drop_answers: bool,
    /// Delay of bytes towards the target, in milliseconds.
    pub request_delay_ms: u64,
    /// Delay of bytes towards the client, in milliseconds.
    pub answer_delay_ms: u64,
}

/// Faults of all connections, and faults of single availability zones, which
/// replace them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct FaultTable {
    /// Faults of connections whose availability zone has no entry in `zones`.
    pub(crate) all: Faults,
    /// Faults by the availability zone of the client's address.
    pub(crate) zones: BTreeMap<Zone, Faults>,
}

impl FaultTable {
    pub(crate) fn for_zone(&self, zone: Zone) -> Faults {
        self.zones.get(&zone).copied().unwrap_or(self.all)
    }
}
