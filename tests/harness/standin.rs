//! Starts a stand-in as a separate process, as an operator would by hand.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, ChildStdout, Command, Stdio},
};

use serde::Deserialize;

use super::process::BINARY;

/// The line that a stand-in prints once it listens.
#[derive(Debug, Deserialize)]
struct Ready {
    address: SocketAddr,
}

/// A running stand-in; dropping it kills the process.
pub struct StandinProcess {
    child: Child,
    // Kept open so that the process can write to its standard output.
    _stdout: BufReader<ChildStdout>,
    addr: SocketAddr,
}

impl StandinProcess {
    /// Runs `savorykeel standin` with arguments and waits for its ready line.
    #[track_caller]
    pub fn start(args: &[&str]) -> Self {
        let mut child = Command::new(BINARY)
            .arg("standin")
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in starts");
        let mut stdout = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let mut line = String::new();
        stdout.read_line(&mut line).expect("the ready line is read");
        let ready: Ready = serde_json::from_str(&line).expect("the ready line is JSON");
        Self { child, _stdout: stdout, addr: ready.address }
    }

    /// Returns the address that the stand-in listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
