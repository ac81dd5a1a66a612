//! Runs commands of the binary that exit on their own.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use super::process::BINARY;

/// The exit code and output of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code; `None` when a signal ended the command.
    pub code: Option<i32>,
    /// Standard output as text.
    pub stdout: String,
    /// Standard error as text.
    pub stderr: String,
}

impl From<Output> for CommandOutput {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Runs the binary with arguments and a text on its standard input, and waits
/// until it exits.
pub fn savorykeel(args: &[&str], stdin: &str) -> CommandOutput {
    let mut child = Command::new(BINARY)
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut pipe = child.stdin.take().expect("standard input is piped");
    // The command may exit before it has read all of its input.
    let _ = pipe.write_all(stdin.as_bytes());
    drop(pipe);
    child.wait_with_output().expect("the command ends").into()
}
