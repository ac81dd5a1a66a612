//! Flags of `savorykeel evacuate`.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use savorykeel_policy::ids::ZoneName;

/// Evacuates an availability zone: no request is sent to its backend servers until the
/// evacuation is revoked.
///
/// The command may be repeated.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "evacuate")]
pub struct EvacuateFlags {
    /// operators' address of any node
    #[argh(option, arg_name = "IP:PORT")]
    pub operators: SocketAddr,

    /// revoke the evacuation
    #[argh(switch)]
    pub end: bool,

    /// show which zones are evacuated and which nodes have applied it; changes nothing
    #[argh(switch)]
    pub list: bool,

    /// file with the bearer token
    #[argh(option, arg_name = "FILE")]
    pub token_file: Option<PathBuf>,

    /// name of the availability zone
    #[argh(positional, arg_name = "ZONE", from_str_fn(zone))]
    pub zone: Option<ZoneName>,
}

fn zone(raw: &str) -> Result<ZoneName, String> {
    ZoneName::try_from(raw).map_err(|e| e.to_string())
}
