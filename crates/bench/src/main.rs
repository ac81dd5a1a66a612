//! Load and measurement tool for savorykeel; it is not shipped.

mod fleet;
mod fullsize;
mod latency;
mod load_command;
mod moves;
mod processes;
mod soak_command;
mod store_soak_command;

use argh::FromArgs;

/// Measures savorykeel's decisions and processes.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

/// Subcommands, each implemented by the module of its name.
#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Fleet(fleet::Args),
    Fullsize(fullsize::Args),
    Latency(latency::Args),
    Load(load_command::Args),
    Moves(moves::Args),
    Soak(soak_command::Args),
    StoreSoak(store_soak_command::Args),
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Fleet(args) => fleet::run(&args),
        Command::Fullsize(args) => fullsize::run(&args),
        Command::Latency(args) => latency::run(&args),
        Command::Load(args) => load_command::run(&args),
        Command::Moves(args) => moves::run(&args),
        Command::Soak(args) => soak_command::run(&args),
        Command::StoreSoak(args) => store_soak_command::run(&args),
    }
}
