//! One `savorykeel node` process and its resource use.

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

/// Clock ticks per second in which Linux reports processor time.
const TICKS_PER_SECOND: u64 = 100;

/// The line that a node prints when it is ready.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ReadyLine {
    /// Name of the instance.
    pub(crate) instance: String,
    /// Address for the backend server.
    pub(crate) backend: SocketAddr,
    /// Address for other nodes.
    pub(crate) peers: SocketAddr,
}

/// Resources that a process has used so far.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Processor time.
    pub(crate) cpu: Duration,
    /// Current resident memory in kilobytes.
    pub(crate) rss_kb: u64,
}

/// A running node, killed on drop.
pub(crate) struct NodeProcess {
    child: Child,
    stdout: BufReader<ChildStdout>,
    journal: PathBuf,
    ready: Option<ReadyLine>,
}

impl NodeProcess {
    /// Starts a node without waiting until it is ready.
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
            .with_context(|| format!("can't start {}", binary.display()))?;
        let stdout = child.stdout.take().context("the node has no standard output pipe")?;
        let journal = settings.journal_file.clone().context("the settings name no journal file")?;
        Ok(Self { child, stdout: BufReader::new(stdout), journal, ready: None })
    }

    /// Waits until the node is ready and returns its ready line.
    pub(crate) fn wait_ready(&mut self) -> anyhow::Result<ReadyLine> {
        if let Some(ready) = &self.ready {
            return Ok(ready.clone());
        }
        let mut line = String::new();
        self.stdout.read_line(&mut line)?;
        let ready: ReadyLine =
            serde_json::from_str(&line).context("can't parse the node's ready line")?;
        self.ready = Some(ready.clone());
        Ok(ready)
    }

    /// Returns the journal's last complete entry, or `None` if there is none.
    pub(crate) fn last_applied(&self) -> Option<Applied> {
        let text = fs::read_to_string(&self.journal).ok()?;
        let complete_lines = text.rsplit_once('\n')?.0;
        serde_json::from_str(complete_lines.lines().last()?).ok()
    }

    /// Returns every valid entry of the journal.
    pub(crate) fn journal(&self) -> Vec<Applied> {
        let text = fs::read_to_string(&self.journal).unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Returns the processor time used so far and the current resident memory.
    pub(crate) fn usage(&self) -> anyhow::Result<Usage> {
        let pid = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let after_name = stat.rsplit_once(')').context("/proc/PID/stat holds no process name")?.1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss_kb = rss
            .and_then(|rest| rest.split_whitespace().next())
            .context("/proc/PID/status holds no VmRSS")?;
        Ok(Usage {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            rss_kb: rss_kb.parse()?,
        })
    }

    /// Kills the process to simulate a failure of the instance.
    pub(crate) fn kill(&mut self) {
        // Ignores errors: the process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
