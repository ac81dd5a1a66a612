//! Tests of the binary itself.

use std::process::Command;

#[test]
fn binary_names_its_version() {
    let output = Command::new(env!("CARGO_BIN_EXE_savorykeel")).arg("--version").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.trim(), format!("savorykeel {}", env!("CARGO_PKG_VERSION")));
}
