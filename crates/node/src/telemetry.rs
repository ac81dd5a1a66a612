//! Sends the numbers that nobody counts call by call: gauges, and what the
//! control loops counted since the last time.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use savorykeel_adapters::metrics::{Counter, Gauge, Metrics, Tag};
use savorykeel_policy::membership::entry::Liveness;
use tokio_util::sync::CancellationToken;

use crate::{control::state::Counters, state::NodeState};

/// Time between two reports.
const PERIOD: Duration = Duration::from_secs(10);

/// Sends a report now and then until `cancel` is cancelled.
pub(crate) async fn run(state: Arc<NodeState>, cancel: CancellationToken) {
    let mut sent = Sent::default();
    loop {
        send_gauges(&state);
        sent.send_growth(&state.metrics, &state.control.counters);
        state.metrics.flush();
        tokio::select! {
            () = tokio::time::sleep(PERIOD) => {}
            () = cancel.cancelled() => return,
        }
    }
}

fn send_gauges(state: &NodeState) {
    let metrics = &state.metrics;
    let control = state.control.snapshot();
    metrics.gauge(Gauge::ConfigurationVersion, control.version.0, &[]);
    let members = [
        (Liveness::Alive, control.members.alive),
        (Liveness::Suspect, control.members.suspect),
        (Liveness::Unreachable, control.members.unreachable),
    ];
    for (liveness, count) in members {
        let tags = [Tag { key: "liveness", value: &liveness.to_string() }];
        metrics.gauge(Gauge::Members, count as u64, &tags);
    }
    metrics.gauge(Gauge::Entered, u64::from(state.entered.load(Ordering::Relaxed)), &[]);
    metrics.gauge(Gauge::Serving, u64::from(state.serving.load(Ordering::Relaxed)), &[]);
}

/// What was sent already of counters that only grow.
#[derive(Default)]
struct Sent {
    log_reads: u64,
    log_records: u64,
    log_appends: u64,
    log_failures: u64,
    bytes_sent: u64,
    bytes_received: u64,
}

impl Sent {
    fn send_growth(&mut self, metrics: &Metrics, counters: &Counters) {
        grow(metrics, Counter::LogReads, &counters.log_reads, &mut self.log_reads);
        grow(metrics, Counter::LogRecords, &counters.log_records, &mut self.log_records);
        grow(metrics, Counter::LogAppends, &counters.log_appends, &mut self.log_appends);
        grow(metrics, Counter::LogFailures, &counters.log_failures, &mut self.log_failures);
        grow(metrics, Counter::ControlBytesSent, &counters.bytes_sent, &mut self.bytes_sent);
        let received = &mut self.bytes_received;
        grow(metrics, Counter::ControlBytesReceived, &counters.bytes_received, received);
    }
}

fn grow(metrics: &Metrics, counter: Counter, total: &AtomicU64, sent: &mut u64) {
    let total = total.load(Ordering::Relaxed);
    metrics.count(counter, total.saturating_sub(*sent), &[]);
    *sent = total;
}
