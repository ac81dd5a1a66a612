//! The savorykeel binary: parses the command line, runs one command and exits with
//! the exit code of its outcome.

mod client;
mod commands;
mod configuration;
mod demo;
mod exit;
mod explain;
mod flags;
mod reload;
mod report;
mod standin;

use std::{env, process::ExitCode};

use exit::Exit;
use flags::Parsed;

fn main() -> ExitCode {
    let exit = match flags::parse(env::args_os()) {
        Parsed::Command(command) => commands::run(command),
        Parsed::Text(text) => {
            println!("{}", text.trim_end());
            Exit::Done
        }
        Parsed::UsageError(text) => {
            eprintln!("{}", text.trim_end());
            Exit::Usage
        }
    };
    exit.into()
}
