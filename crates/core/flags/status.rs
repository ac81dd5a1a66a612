//! Flags of `savorykeel status`.

use std::net::SocketAddr;

use argh::FromArgs;

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
}
