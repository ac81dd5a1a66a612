//! Load and measurement tool for savorykeel; it is not shipped.

mod moves;

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
    Moves(moves::Args),
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Moves(args) => moves::run(&args),
    }
}
