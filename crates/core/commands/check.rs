//! `savorykeel check`: validates a file and prints what is wrong with it.

use std::path::PathBuf;

use savorykeel_node::settings;

use crate::{
    configuration::{self, Source},
    exit::Exit,
    flags::{CheckFlags, CheckTarget},
};

/// Checks a settings file or a configuration.
pub fn run(flags: CheckFlags) -> anyhow::Result<Exit> {
    let problem = match CheckTarget::try_from(flags) {
        Ok(CheckTarget::Settings(file)) => check_settings(file),
        Ok(CheckTarget::Configuration(file)) => check_configuration(file),
        Err(e) => Some(e.to_string()),
    };
    match problem {
        Some(problem) => {
            eprintln!("{problem}");
            Ok(Exit::Usage)
        }
        None => {
            println!("ok");
            Ok(Exit::Done)
        }
    }
}

fn check_settings(file: PathBuf) -> Option<String> {
    settings::read(&file).err().map(|e| e.to_string())
}

fn check_configuration(file: PathBuf) -> Option<String> {
    configuration::read(&Source::new(Some(file))).err().map(|e| e.to_string())
}
