//! The commands: each takes its flags and says how it ended.

mod check;

use crate::{exit::Exit, flags::Command};

/// Runs a command.
pub fn run(command: Command) -> Exit {
    let result = match command {
        Command::Check(flags) => check::run(flags),
    };
    result.unwrap_or_else(|e| {
        eprintln!("savorykeel: {e:#}");
        Exit::Failed
    })
}
