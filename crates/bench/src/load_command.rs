//! The `load` command.

use std::time::Duration;

use argh::FromArgs;
use savorykeel_bench::load::{self, Options};

use crate::soak_command::binary;

/// Measures goodput and latency under load, with and without each mechanism.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Args {
    /// seconds of each round
    #[argh(option, default = "5")]
    seconds: u64,
    /// scenario to run; all when absent
    #[argh(option)]
    only: Vec<String>,
}

/// Runs the selected scenarios.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let options = Options {
        binary: binary()?,
        duration: Duration::from_secs(args.seconds),
        only: args.only.clone(),
    };
    load::run(&options)
}
