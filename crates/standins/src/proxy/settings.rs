//! Settings of the proxy.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::Faults;

/// Addresses and initial faults of the proxy.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on; with port 0 the system chooses a free port.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Address that connections are forwarded to.
    pub target: SocketAddr,
    /// Address of the control API over HTTP; if absent, there is none.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Faults in force at the start, for all availability zones.
    #[serde(default)]
    pub faults: Faults,
}

impl Settings {
    /// Returns the settings of a proxy that forwards to a target, listens on a port
    /// that the system chooses, and has no control address and no faults.
    pub fn for_target(target: SocketAddr) -> Self {
        Self { listen: any_port(), target, control: None, faults: Faults::default() }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
