//! Flags of `savorykeel demo`.

use argh::FromArgs;

/// Runs a small mesh in this process and tells what was observed.
///
/// It publishes a configuration, makes calls all the time and moves one service
/// to a good version and one to a bad version. It ends with 0 only if everything
/// that it claims held.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoFlags {}
