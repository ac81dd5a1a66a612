//! The commands. Each takes its flags and returns its exit code.

mod check;
mod evacuate;
mod explain;
mod node;
mod publish;
mod report;
mod status;

use savorykeel_node::admin::api::PublishOutcome;
use savorykeel_policy::code::Code;

use crate::{client::ClientError, demo, exit::Exit, flags::Command, standin};

/// Runs a command and returns its exit code.
pub fn run(command: Command) -> Exit {
    let result = match command {
        Command::Check(flags) => check::run(flags),
        Command::Demo(flags) => demo::run(flags),
        Command::Evacuate(flags) => evacuate::run(flags),
        Command::Explain(flags) => explain::run(flags),
        Command::Node(flags) => node::run(flags),
        Command::Publish(flags) => publish::run(flags),
        Command::Status(flags) => status::run(flags),
        Command::Report(flags) => report::run(flags),
        Command::Standin(command) => standin::run(command).map(|()| Exit::Done),
    };
    result.unwrap_or_else(|e| {
        eprintln!("savorykeel: {e:#}");
        Exit::Failed
    })
}

/// Prints why a request to the operators' API failed and returns the exit code.
fn report_client_error(error: &ClientError) -> Exit {
    eprintln!("savorykeel: {error}");
    match error {
        ClientError::Unreachable { .. } | ClientError::NoAnswer { .. } => Exit::Unreachable,
        ClientError::Refused(refusal) if refusal.name == Code::Unauthorized => Exit::Unauthorized,
        ClientError::Refused(_) | ClientError::Malformed { .. } => Exit::Failed,
    }
}

/// Prints the outcome of a publish and returns the exit code.
fn print_publish_outcome(outcome: &PublishOutcome) -> Exit {
    match outcome {
        PublishOutcome::Accepted { version } => {
            println!("accepted as version {version}");
            Exit::Done
        }
        PublishOutcome::Conflict { base, in_force } => {
            println!("conflict: derived from version {base}, but version {in_force} was in force");
            Exit::Conflict
        }
        PublishOutcome::Refused { reasons } => {
            println!("refused:");
            reasons.iter().for_each(|reason| println!("  {reason}"));
            Exit::Refused
        }
        PublishOutcome::Pending { detail } => {
            println!("not known yet: {detail}");
            Exit::Pending
        }
    }
}
