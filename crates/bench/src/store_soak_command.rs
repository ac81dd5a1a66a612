//! The `store-soak` command.

use anyhow::ensure;
use argh::FromArgs;
use savorykeel_bench::store_soak::{self, Options};

use crate::soak_command::binary;

/// Lets the platform's store come back from older copies under real processes and checks that no
/// configuration goes back.
#[derive(FromArgs)]
#[argh(subcommand, name = "store-soak")]
pub struct Args {
    /// seed of the steps
    #[argh(option, default = "1")]
    seed: u64,
    /// rounds of steps, each with a check of the newest version
    #[argh(option, default = "6")]
    rounds: usize,
}

/// Runs the soak, prints its report and fails if a guarantee was violated.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let options = Options { binary: binary()?, seed: args.seed, rounds: args.rounds };
    let report = store_soak::run(&options)?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    ensure!(report.violations.is_empty(), "{} violations", report.violations.len());
    Ok(())
}
