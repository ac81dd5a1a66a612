//! The commands: each takes its flags and says how it ended.

mod check;
mod node;

use crate::{exit::Exit, flags::Command, standin};

/// Runs a command.
pub fn run(command: Command) -> Exit {
    let result = match command {
        Command::Check(flags) => check::run(flags),
        Command::Node(flags) => node::run(flags),
        Command::Standin(command) => standin::run(command).map(|()| Exit::Done),
    };
    result.unwrap_or_else(|e| {
        eprintln!("savorykeel: {e:#}");
        Exit::Failed
    })
}
