//! The demo's operator: publishes and reads the status over the operators' API.

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

/// Longest time to wait for the outcome of a publish.
const PUBLISH_WAIT: Duration = Duration::from_secs(10);

/// Longest time to wait until every node has applied a version.
const CONVERGENCE_WAIT: Duration = Duration::from_secs(15);

/// Longest time that the API takes to collect the answers of the other nodes.
const COLLECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause between two polls of the versions in force.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pause between two polls of a move.
const MOVE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Client of the operators' API of every node; publishes through the first one.
pub struct OperatorClient {
    addrs: Vec<SocketAddr>,
    token_file: std::path::PathBuf,
    publish_count: u64,
}

/// An accepted publish.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedPublish {
    /// Version assigned to the configuration.
    pub version: ConfigVersion,
    /// Time at which the publish was sent.
    pub sent_at: Instant,
}

impl OperatorClient {
    /// Returns a client of the nodes at `addrs`.
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

    /// Returns the status of the mesh as the node at `addr` reports it.
    fn status_of(&self, addr: SocketAddr) -> anyhow::Result<StatusReport> {
        let api = ApiClient::new(addr);
        Ok(client::block_on(async move { api.get(STATUS_PATH, COLLECTION_TIMEOUT).await })?)
    }

    /// Returns the status of the mesh as the first node reports it.
    pub fn status(&self) -> anyhow::Result<StatusReport> {
        self.status_of(self.addrs[0])
    }

    /// Waits until each node itself reports that it has applied a version.
    ///
    /// Returns the time from the publish to the last node's report, or none if a node
    /// took longer than `CONVERGENCE_WAIT`.
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

    /// Waits until a move has ended, at most for `wait` after the publish, and returns
    /// its last report, whether it has ended or not. Calls `on_report` with each report.
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
