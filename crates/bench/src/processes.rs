//! Processes under measurement: the `savorykeel` binary beside this one.

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

/// Place of the user time after the name in `/proc/PID/stat`; the system time
/// follows it.
const USER_TIME_FIELD: usize = 11;

/// Clock ticks in a second, as Linux shows them to programs.
const TICKS_PER_SECOND: u32 = 100;

/// A running process; dropping it kills it.
pub struct Process<T> {
    child: Child,
    // Kept open, so that the process may write to it.
    _stdout: BufReader<ChildStdout>,
    /// What its ready line says.
    pub ready: T,
}

/// The ready line of a stand-in.
#[derive(Debug, Clone, Deserialize)]
pub struct StandinReady {
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// The ready line of a node.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeReady {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the backend server on the same instance.
    pub backend: SocketAddr,
}

impl<T: DeserializeOwned> Process<T> {
    /// Starts `savorykeel` with arguments and waits for its ready line.
    pub fn start<A: AsRef<OsStr>>(args: impl IntoIterator<Item = A>) -> anyhow::Result<Self> {
        let binary = binary_path()?;
        let mut child = Command::new(&binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .with_context(|| format!("can't start {}", binary.display()))?;
        let mut stdout = BufReader::new(child.stdout.take().context("no standard output")?);
        let mut line = String::new();
        stdout.read_line(&mut line)?;
        let ready = serde_json::from_str(&line)
            .with_context(|| format!("{line:?} in place of a ready line"))?;
        Ok(Self { child, _stdout: stdout, ready })
    }

    /// Returns the processor time that the process used so far, of its own and in
    /// the kernel.
    pub fn cpu_time(&self) -> anyhow::Result<Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The name, in parentheses, may hold spaces; fields are counted after it.
        let (_, fields) = stat.rsplit_once(')').context("no name in the statistics")?;
        let fields = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
        let ticks: u64 = fields.map(str::parse::<u64>).sum::<Result<_, _>>()?;
        Ok(Duration::from_secs(ticks) / TICKS_PER_SECOND)
    }
}

impl<T> Drop for Process<T> {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the `savorykeel` binary of the same build.
fn binary_path() -> anyhow::Result<PathBuf> {
    let own = env::current_exe()?;
    let binary = own.with_file_name("savorykeel");
    ensure!(binary.exists(), "{} is missing: build it with the same profile", binary.display());
    Ok(binary)
}
