//! Settings of the proxy.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::Faults;

/// Where the proxy listens and what it forwards to.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on; port 0 lets the system choose.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Address that connections are forwarded to.
    pub target: SocketAddr,
    /// Address for the switches over HTTP; none when absent.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Faults to begin with.
    #[serde(default)]
    pub faults: Faults,
}

impl Settings {
    /// Forwards to a target from a port that the system chooses.
    pub fn for_target(target: SocketAddr) -> Self {
        Self { listen: any_port(), target, control: None, faults: Faults::default() }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
