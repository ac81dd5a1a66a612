//! Tests of the command line: help, usage errors and exit codes.

use std::process::{Command, Output};

use yare::parameterized;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_savorykeel")).args(args).output().unwrap()
}

#[parameterized(
    top = { &["--help"] },
    check = { &["check", "--help"] },
    node = { &["node", "--help"] },
)]
fn help_goes_to_standard_output(args: &[&str]) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8(output.stdout).unwrap().starts_with("Usage: savorykeel"));
}

#[parameterized(
    nothing = { &[], "run savorykeel --help" },
    unknown_command = { &["fly"], "fly" },
    unknown_flag = { &["check", "--fast"], "--fast" },
    no_target = { &["check"], "either --settings FILE or --configuration FILE" },
    two_targets = { &["check", "--settings", "a", "--configuration", "b"], "either" },
    missing_settings = { &["node"], "--settings" },
    log_level = { &["node", "--settings", "a", "--log-level", "loud"], "use one of error, warn, info, debug" },
    missing_file = { &["node", "--settings", "no/such/file"], "no/such/file: can't be read" },
)]
fn wrong_usage_ends_with_code_2(args: &[&str], expected: &str) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains(expected), "{message}");
}
