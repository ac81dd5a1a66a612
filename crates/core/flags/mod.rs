//! The command line: one module for the flags of each command, with their help
//! texts and checks.
//!
//! The doc comments on the flag structures are the texts that `--help` prints.

mod check;
mod demo;
mod evacuate;
mod explain;
mod node;
mod publish;
mod report;
mod status;

use std::ffi::OsString;

use argh::FromArgs;
use savorykeel_policy::ids::PublishId;

pub use check::{CheckFlags, CheckTarget};
pub use demo::DemoFlags;
pub use evacuate::EvacuateFlags;
pub use explain::ExplainFlags;
pub use node::NodeFlags;
pub use publish::PublishFlags;
pub use report::{BurnFlags, ReportFlags, ReportKind};
pub use status::StatusFlags;

use crate::standin::StandinCommand;

/// Distributes configuration through a service mesh without a control plane of
/// its own.
#[derive(FromArgs, Debug)]
struct TopFlags {
    /// print the version and exit
    #[argh(switch)]
    version: bool,

    #[argh(subcommand)]
    command: Option<Command>,
}

/// A command with its flags.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a settings or a configuration file.
    Check(CheckFlags),
    /// Runs a small mesh in this process and prints what it observes.
    Demo(DemoFlags),
    /// Evacuates an availability zone.
    Evacuate(EvacuateFlags),
    /// Explains from logs why a request ended as it did.
    Explain(ExplainFlags),
    /// Runs a node.
    Node(NodeFlags),
    /// Publishes a configuration.
    Publish(PublishFlags),
    /// Shows the status of the mesh.
    Status(StatusFlags),
    /// Reports on the calls that nodes recorded.
    Report(ReportFlags),
    /// Runs a stand-in.
    Standin(StandinCommand),
}

/// Result of parsing the command line.
#[derive(Debug)]
pub enum Parsed {
    /// Run a command.
    Command(Command),
    /// Print a text, for instance the help, and exit with success.
    Text(String),
    /// Print what is wrong and exit with the code for wrong usage.
    UsageError(String),
}

/// Parses the arguments of the process, the first of which is the program name.
pub fn parse(args: impl Iterator<Item = OsString>) -> Parsed {
    let args: Result<Vec<String>, OsString> = args.skip(1).map(OsString::into_string).collect();
    let args = match args {
        Ok(args) => args,
        Err(arg) => return Parsed::UsageError(format!("the argument {arg:?} is not UTF-8 text")),
    };
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match TopFlags::from_args(&["savorykeel"], &args) {
        Ok(TopFlags { version: true, .. }) => Parsed::Text(version()),
        Ok(TopFlags { command: Some(command), .. }) => Parsed::Command(command),
        Ok(TopFlags { command: None, .. }) => {
            Parsed::UsageError("no command given: run savorykeel --help for the list".into())
        }
        Err(early) if early.status.is_ok() => Parsed::Text(early.output),
        Err(early) => Parsed::UsageError(early.output),
    }
}

fn publish_id(raw: &str) -> Result<PublishId, String> {
    PublishId::try_from(raw).map_err(|e| e.to_string())
}

fn version() -> String {
    format!("savorykeel {}", env!("CARGO_PKG_VERSION"))
}
