//! Flags of `savorykeel demo`.

use argh::FromArgs;

/// Runs a small mesh in this process and prints what it observes.
///
/// It publishes a configuration, makes calls throughout and moves one service to a
/// good version and one to a bad version. It exits with 0 only if every check that
/// it prints holds.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoFlags {}
