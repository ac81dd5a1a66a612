//! `moves`: how good and bad versions fare, over many seeds.

use argh::FromArgs;

/// Runs the decisions about moves over families of versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
pub(crate) struct Args {
    /// seeds for each family
    #[argh(option, default = "200")]
    seeds: u64,
}

/// Runs the experiment.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    anyhow::bail!("moves over {} seeds can't be run yet", args.seeds)
}
