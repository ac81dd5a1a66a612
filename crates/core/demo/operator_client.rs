//! What the demo does as an operator, over the operators' API.

use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use anyhow::bail;
use savorykeel_node::admin::api::{
    BURN_PATH, PUBLISHES_PATH, PublishAnswer, PublishOutcome, STATUS_PATH, StatusReport,
};
use savorykeel_policy::{
    burn::BurnReport,
    config::{
        raw::RawConfiguration,
        record::{RECORD_FORMAT, RawPublish},
    },
    ids::ConfigVersion,
    moves::status::{MoveReport, Phase},
};

use crate::client::{self, ApiClient};

/// Longest wait for the outcome of a publish.
const PUBLISH_WAIT: Duration = Duration::from_secs(10);

/// Longest wait until every node applied a version.
const CONVERGENCE_WAIT: Duration = Duration::from_secs(15);

/// Longest time that the API takes to ask the other nodes.
const COLLECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two looks at the versions in force.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pause between two looks at a move.
const MOVE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Publishes to one node and asks every node.
pub struct OperatorClient {
    addrs: Vec<SocketAddr>,
    token_file: std::path::PathBuf,
    publish_count: u64,
}

/// An accepted publish.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedPublish {
    /// Version that the configuration got.
    pub version: ConfigVersion,
    /// When it was sent.
    pub sent_at: Instant,
}

impl OperatorClient {
    /// Operators of the nodes at `addrs`.
    pub fn new(addrs: Vec<SocketAddr>, token_file: &Path) -> Self {
        Self { addrs, token_file: token_file.to_owned(), publish_count: 0 }
    }

    /// Publishes a configuration that was derived from `base`.
    pub fn publish(
        &mut self,
        base: ConfigVersion,
        configuration: RawConfiguration,
    ) -> anyhow::Result<AcceptedPublish> {
        self.publish_count += 1;
        let id = format!("demo-{}", self.publish_count);
        let request = RawPublish { format: RECORD_FORMAT, id, base, configuration };
        let api = ApiClient::new(self.addrs[0]).with_token_file(&self.token_file)?;
        let path = format!("{PUBLISHES_PATH}?wait_ms={}", PUBLISH_WAIT.as_millis());
        let sent_at = Instant::now();
        let answer: Result<PublishAnswer, _> =
            client::block_on(async move { api.post(&path, &request, PUBLISH_WAIT).await });
        match answer?.outcome {
            PublishOutcome::Accepted { version } => Ok(AcceptedPublish { version, sent_at }),
            outcome => bail!("the publish was not accepted: {outcome:?}"),
        }
    }

    /// Returns the mesh as the node at `addr` sees it.
    fn status_of(&self, addr: SocketAddr) -> anyhow::Result<StatusReport> {
        let api = ApiClient::new(addr);
        Ok(client::block_on(async move { api.get(STATUS_PATH, COLLECTION_TIMEOUT).await })?)
    }

    /// Returns the mesh as the first node sees it.
    pub fn status(&self) -> anyhow::Result<StatusReport> {
        self.status_of(self.addrs[0])
    }

    /// Waits until each node says itself that it applied a version, and returns
    /// how long after the publish the last one did, or none when it took too long.
    pub fn wait_in_force(&self, accepted: AcceptedPublish) -> anyhow::Result<Option<Duration>> {
        let mut behind = self.addrs.clone();
        while !behind.is_empty() {
            if accepted.sent_at.elapsed() > CONVERGENCE_WAIT {
                return Ok(None);
            }
            let mut still_behind = Vec::new();
            for addr in behind {
                if self.status_of(addr)?.version < accepted.version {
                    still_behind.push(addr);
                }
            }
            behind = still_behind;
            if !behind.is_empty() {
                thread::sleep(VERSION_POLL_INTERVAL);
            }
        }
        Ok(Some(accepted.sent_at.elapsed()))
    }

    /// Waits until a move ended and returns it as last seen, ended or not.
    pub fn wait_move(
        &self,
        accepted: AcceptedPublish,
        wait: Duration,
        mut on_report: impl FnMut(&MoveReport),
    ) -> anyhow::Result<Option<MoveReport>> {
        let mut last = None;
        while accepted.sent_at.elapsed() < wait {
            let moves = self.status()?.moves;
            let report = moves.into_iter().find(|report| report.asked == accepted.version);
            if let Some(report) = report {
                on_report(&report);
                let is_ended = matches!(report.phase, Phase::Done | Phase::TakenBack);
                last = Some(report);
                if is_ended {
                    break;
                }
            }
            thread::sleep(MOVE_POLL_INTERVAL);
        }
        Ok(last)
    }

    /// Returns the burn report of the whole mesh.
    pub fn burn_report(&self) -> anyhow::Result<BurnReport> {
        let api = ApiClient::new(self.addrs[0]);
        Ok(client::block_on(async move { api.get(BURN_PATH, COLLECTION_TIMEOUT).await })?)
    }
}
