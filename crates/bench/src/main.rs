//! Load and measurement tool for savorykeel; it is not shipped.

mod latency;
mod moves;
mod processes;

use argh::FromArgs;

/// Measures savorykeel's decisions and processes.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

/// One module each.
#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Latency(latency::Args),
    Moves(moves::Args),
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Latency(args) => latency::run(&args),
        Command::Moves(args) => moves::run(&args),
    }
}
