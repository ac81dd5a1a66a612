//! Measures convergence and traffic of publishes.

use std::{thread, time::Duration};

use serde::Serialize;

use super::running_fleet::RunningFleet;

/// Pause between two publishes, so that the traffic of one ends before the next.
const PUBLISH_PAUSE: Duration = Duration::from_millis(500);

/// Figures of the publishes to a fleet.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PublishFigures {
    /// Times until the last node applied a publish, in milliseconds, in ascending
    /// order.
    pub(crate) last_applied_ms: Vec<u64>,
    /// Bytes sent and received on the control links per node and publish, including
    /// the traffic at rest in that time.
    pub(crate) link_bytes: f64,
    /// Mean seconds per publish, including the pause after it.
    pub(crate) seconds: f64,
    /// Size of a publish record in bytes.
    pub(crate) record_bytes: usize,
    /// Publish records that the log returned to the whole fleet, per publish.
    pub(crate) publishes_read: f64,
}

impl PublishFigures {
    /// Returns a quantile of the times until the last node applied a publish, in
    /// milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> u64 {
        let last = self.last_applied_ms.len().saturating_sub(1);
        let index = (last as f64 * quantile).ceil() as usize;
        self.last_applied_ms.get(index).copied().unwrap_or_default()
    }
}

/// Publishes `count` versions, waiting until every node has applied each.
pub(crate) fn measure_publishes(
    fleet: &mut RunningFleet,
    count: u64,
) -> anyhow::Result<PublishFigures> {
    let before = fleet.totals()?;
    let started = std::time::Instant::now();
    let mut times = Vec::new();
    for n in 1..=count {
        times.push(fleet.publish_and_wait(n)?.as_millis() as u64);
        thread::sleep(PUBLISH_PAUSE);
    }
    let seconds = started.elapsed().as_secs_f64() / count as f64;
    let after = fleet.totals()?;
    let nodes = fleet.instances.len() as f64;
    times.sort_unstable();
    Ok(PublishFigures {
        last_applied_ms: times,
        link_bytes: 2.0 * (after.link_bytes - before.link_bytes) as f64 / nodes / count as f64,
        seconds,
        record_bytes: super::configuration::publish_record(1, fleet.services()).len(),
        publishes_read: (after.publishes_read - before.publishes_read) as f64 / count as f64,
    })
}
