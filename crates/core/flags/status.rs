//! Flags of `savorykeel status`.

use std::net::SocketAddr;

use argh::FromArgs;
use savorykeel_policy::ids::PublishId;

/// Shows the configuration in force, the members and the moves.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusFlags {
    /// operators' address of any node
    #[argh(option, arg_name = "IP:PORT")]
    pub operators: SocketAddr,

    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,

    /// print the outcome of this publish instead of the whole status
    #[argh(option, arg_name = "ID", from_str_fn(super::publish_id))]
    pub publish: Option<PublishId>,

    /// wait until the moves that this configuration version requested are done or rolled back
    #[argh(option, arg_name = "VERSION")]
    pub wait: Option<u64>,

    /// longest time in milliseconds to wait for a publish or a move; when absent, the command
    /// doesn't wait for a publish and waits for a move without limit
    #[argh(option, arg_name = "MS")]
    pub wait_ms: Option<u64>,
}
