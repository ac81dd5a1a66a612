//! One `savorykeel node` process and what it costs.

use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
    time::Duration,
};

use anyhow::Context;
use savorykeel_node::{control::journal::Applied, settings::RawSettings};
use serde::Deserialize;

/// Kernel clock ticks in a second, in which processor time is counted.
const TICKS_PER_SECOND: u64 = 100;

/// Addresses that a node prints when it is ready.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ReadyLine {
    /// Name of the instance.
    pub(crate) instance: String,
    /// For the backend server.
    pub(crate) backend: SocketAddr,
    /// For other nodes.
    pub(crate) peers: SocketAddr,
}

/// What a process has used so far.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Processor time.
    pub(crate) cpu: Duration,
    /// Resident memory in kilobytes.
    pub(crate) rss_kb: u64,
}

/// A running node; dropping it kills the process.
pub(crate) struct NodeProcess {
    child: Child,
    stdout: BufReader<ChildStdout>,
    journal: PathBuf,
    ready: Option<ReadyLine>,
}

impl NodeProcess {
    /// Starts a node without waiting for it.
    pub(crate) fn spawn(binary: &Path, dir: &Path, settings: &RawSettings) -> anyhow::Result<Self> {
        let file = dir.join(format!("{}.json", settings.instance));
        fs::write(&file, serde_json::to_vec(settings)?)?;
        let log = File::create(dir.join(format!("{}.log", settings.instance)))?;
        let mut child = Command::new(binary)
            .args(["node", "--log-level", "error"])
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("{} can't be started", binary.display()))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let journal = settings.journal_file.clone().context("no journal")?;
        Ok(Self { child, stdout: BufReader::new(stdout), journal, ready: None })
    }

    /// Waits until the node is ready.
    pub(crate) fn wait_ready(&mut self) -> anyhow::Result<ReadyLine> {
        if let Some(ready) = &self.ready {
            return Ok(ready.clone());
        }
        let mut line = String::new();
        self.stdout.read_line(&mut line)?;
        let ready: ReadyLine = serde_json::from_str(&line).context("no ready line")?;
        self.ready = Some(ready.clone());
        Ok(ready)
    }

    /// Returns the last line of the journal.
    pub(crate) fn last_applied(&self) -> Option<Applied> {
        let text = fs::read_to_string(&self.journal).ok()?;
        let complete_lines = text.rsplit_once('\n')?.0;
        serde_json::from_str(complete_lines.lines().last()?).ok()
    }

    /// Returns every line of the journal.
    pub(crate) fn journal(&self) -> Vec<Applied> {
        let text = fs::read_to_string(&self.journal).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Returns what the process has used so far.
    pub(crate) fn usage(&self) -> anyhow::Result<Usage> {
        let pid = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let after_name = stat.rsplit_once(')').context("no name in stat")?.1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss_kb = rss.and_then(|rest| rest.split_whitespace().next()).context("no VmRSS")?;
        Ok(Usage {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            rss_kb: rss_kb.parse()?,
        })
    }

    /// Kills the process, as when the instance fails.
    pub(crate) fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
