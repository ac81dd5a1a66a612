//! Convergence and bytes of publishes.

use std::{thread, time::Duration};

use serde::Serialize;

use super::running_fleet::RunningFleet;

/// Pause between two publishes, in which their traffic ends.
const PUBLISH_PAUSE: Duration = Duration::from_millis(500);

/// What the publishes of a fleet came to.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PublishFigures {
    /// Times until the last node applied, in milliseconds, in ascending order.
    pub(crate) last_applied_ms: Vec<u64>,
    /// Bytes on the control links for one publish, per node, sent and received,
    /// those at rest in the same time included.
    pub(crate) link_bytes: f64,
    /// Seconds that one publish with its pause took.
    pub(crate) seconds: f64,
    /// Bytes that a record has.
    pub(crate) record_bytes: usize,
    /// Publish records that the log handed out for one publish, over the whole
    /// fleet.
    pub(crate) publishes_read: f64,
}

impl PublishFigures {
    /// Returns the time at a share of the publishes, in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> u64 {
        let last = self.last_applied_ms.len().saturating_sub(1);
        let index = (last as f64 * quantile).ceil() as usize;
        self.last_applied_ms.get(index).copied().unwrap_or_default()
    }
}

/// Publishes one version after the other and waits for each.
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
