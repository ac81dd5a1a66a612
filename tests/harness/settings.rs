//! Settings and files of a node under test.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

use savorykeel_node::settings::{
    ControlSettings, RawAdvertise, RawLimits, RawListen, RawOperators, RawSettings,
};

/// Bearer token of the operators in tests.
pub const TOKEN: &str = "token-of-the-operators-under-test";

/// The instance, availability zone and number of a node under test.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// Name of the instance.
    pub instance: String,
    /// Number of the availability zone, from 1.
    pub zone: u8,
    /// Number of the node in the zone, from 1.
    pub number: u8,
}

impl NodeIdentity {
    /// Returns the IP address that the node listens on: 127.0.zone.number.
    pub fn ip(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.zone, self.number)
    }

    /// Returns the name of the availability zone.
    pub fn zone_name(&self) -> String {
        format!("zone-{}", self.zone)
    }
}

/// Returns the path of a node's journal.
pub fn journal_file(dir: &Path, instance: &str) -> PathBuf {
    dir.join(format!("{instance}.journal"))
}

/// Returns the path of the file that holds the operators' bearer token.
pub fn token_file(dir: &Path) -> PathBuf {
    dir.join("token")
}

/// Returns the settings of a node that listens on free ports; a test may adjust
/// them further.
pub fn node_settings(
    dir: &Path,
    identity: &NodeIdentity,
    log_service: &str,
    advertised: Option<SocketAddr>,
) -> RawSettings {
    let any_port = || SocketAddr::from((identity.ip(), 0)).to_string();
    RawSettings {
        instance: identity.instance.clone(),
        zone: identity.zone_name(),
        region: "region-1".into(),
        listen: RawListen {
            callers: any_port(),
            backend: any_port(),
            peers: any_port(),
            operators: any_port(),
            readiness: None,
            metrics: None,
        },
        advertise: RawAdvertise { peers: advertised.map(|addr| addr.to_string()) },
        log_service: log_service.to_owned(),
        platform: None,
        backend: None,
        metrics: None,
        operators: RawOperators { token_file: Some(token_file(dir)) },
        journal_file: Some(journal_file(dir, &identity.instance)),
        workers: 1,
        control: ControlSettings::default(),
        limits: RawLimits::default(),
        testing: None,
    }
}
