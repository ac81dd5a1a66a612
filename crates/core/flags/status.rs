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

    /// print JSON in place of text
    #[argh(switch)]
    pub json: bool,

    /// tell what became of this publish in place of the whole status
    #[argh(option, arg_name = "ID", from_str_fn(super::publish_id))]
    pub publish: Option<PublishId>,

    /// wait until the moves that this configuration version asked for are done or taken back
    #[argh(option, arg_name = "VERSION")]
    pub wait: Option<u64>,

    /// longest time in milliseconds to wait for a publish or a move; not at all when absent
    /// for a publish, without limit for a move
    #[argh(option, arg_name = "MS")]
    pub wait_ms: Option<u64>,
}
