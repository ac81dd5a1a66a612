//! Starts processes to measure from the `savorykeel` binary in this program's directory.

use std::{
    env,
    ffi::OsStr,
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    time::Duration,
};

use anyhow::{Context, ensure};
use serde::{Deserialize, de::DeserializeOwned};

/// Index of the user time among the fields after the process name in
/// `/proc/PID/stat`; the system time follows it.
const USER_TIME_FIELD: usize = 11;

/// Clock ticks per second in which Linux reports processor time.
const TICKS_PER_SECOND: u32 = 100;

/// A running process, killed on drop.
pub struct Process<T> {
    child: Child,
    // Held open so that the process can still write to its standard output.
    _stdout: BufReader<ChildStdout>,
    /// The parsed ready line.
    pub ready: T,
}

/// The line that a stand-in prints when it is ready.
#[derive(Debug, Clone, Deserialize)]
pub struct StandinReady {
    /// Address on which the stand-in listens.
    pub address: SocketAddr,
}

/// The line that a node prints when it is ready.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeReady {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the node's own backend server.
    pub backend: SocketAddr,
}

impl<T: DeserializeOwned> Process<T> {
    /// Starts `savorykeel` with `args` and waits for its ready line.
    pub fn start<A: AsRef<OsStr>>(args: impl IntoIterator<Item = A>) -> anyhow::Result<Self> {
        let binary = binary_path()?;
        let mut child = Command::new(&binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .with_context(|| format!("can't start {}", binary.display()))?;
        let mut stdout =
            BufReader::new(child.stdout.take().context("the process has no standard output pipe")?);
        let mut line = String::new();
        stdout.read_line(&mut line)?;
        let ready = serde_json::from_str(&line)
            .with_context(|| format!("expected a ready line, got {line:?}"))?;
        Ok(Self { child, _stdout: stdout, ready })
    }

    /// Returns the user and system time that the process has used so far.
    pub fn cpu_time(&self) -> anyhow::Result<Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The name, in parentheses, may contain spaces, so fields are counted after it.
        let (_, fields) = stat.rsplit_once(')').context("/proc/PID/stat holds no process name")?;
        let fields = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
        let ticks: u64 = fields.map(str::parse::<u64>).sum::<Result<_, _>>()?;
        Ok(Duration::from_secs(ticks) / TICKS_PER_SECOND)
    }
}

impl<T> Drop for Process<T> {
    fn drop(&mut self) {
        // Ignores errors: the process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the `savorykeel` binary built with this program.
fn binary_path() -> anyhow::Result<PathBuf> {
    let own = env::current_exe()?;
    let binary = own.with_file_name("savorykeel");
    ensure!(binary.exists(), "{} is missing: build it with the same profile", binary.display());
    Ok(binary)
}
