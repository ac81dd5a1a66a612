//! Flags of `savorykeel publish`.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use savorykeel_policy::ids::PublishId;

/// Publishes a configuration and prints the outcome.
///
/// The command may be repeated with the same --id and --base: a publish that has
/// already been recorded changes nothing.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "publish")]
pub struct PublishFlags {
    /// operators' address of any node
    #[argh(option, arg_name = "IP:PORT")]
    pub operators: SocketAddr,

    /// version from which the configuration was derived; when absent, the version in force
    #[argh(option, arg_name = "N")]
    pub base: Option<u64>,

    /// id of the publish; when absent, a random one
    #[argh(option, arg_name = "ID", from_str_fn(super::publish_id))]
    pub id: Option<PublishId>,

    /// file with the bearer token
    #[argh(option, arg_name = "FILE")]
    pub token_file: Option<PathBuf>,

    /// longest time in milliseconds to wait for the outcome; default 5000
    #[argh(option, arg_name = "MS", default = "DEFAULT_WAIT_MS")]
    pub wait_ms: u64,

    /// file with the configuration; standard input when absent or -
    #[argh(positional, arg_name = "FILE")]
    pub file: Option<PathBuf>,
}

/// Default of `--wait-ms`, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 5_000;
