//! Reports the calls in flight as gauges, flushes buffered metrics and limits the rate
//! of log lines about requests.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use savorykeel_adapters::metrics::{Counter, Gauge};
use savorykeel_policy::time::Tick;
use slog::{Logger, warn};
use tokio_util::sync::CancellationToken;

use crate::state::NodeState;

/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Reports and flushes the metrics every [`REPORT_PERIOD`] until `cancel` is cancelled.
pub(crate) async fn run(state: Arc<NodeState>, cancel: CancellationToken) {
    loop {
        report(&state);
        state.metrics.flush();
        tokio::select! {
            () = tokio::time::sleep(REPORT_PERIOD) => {}
            () = cancel.cancelled() => return,
        }
    }
}

/// Sets the gauges of calls in flight and reports what waits for the link and crossed it.
pub(crate) fn report(state: &NodeState) {
    let (entered, serving) = (&state.entered, &state.serving);
    state.metrics.gauge(Gauge::Entered, u64::from(entered.load(Ordering::Relaxed)), &[]);
    let limit = state.calls.slots.concurrency_limit();
    state.metrics.gauge(Gauge::ConcurrencyLimit, u64::from(limit), &[]);
    state.metrics.gauge(Gauge::Serving, u64::from(serving.load(Ordering::Relaxed)), &[]);
    let is_evacuated = state.control.is_own_zone_evacuated();
    state.metrics.gauge(Gauge::Evacuated, u64::from(is_evacuated), &[]);
    state.metrics.gauge(Gauge::WarmingUp, u64::from(state.calls.warm_up.is_limiting()), &[]);
    if let Some(link) = state.calls.outgoing.link() {
        let (parts_waiting, paced_bytes) = link.report();
        state.metrics.gauge(Gauge::PartsWaiting, parts_waiting as u64, &[]);
        state.metrics.count(Counter::PacedBytes, paced_bytes, &[]);
    }
}

/// Log lines about requests that a node writes in one second; further ones are only
/// counted. A node answers some hundred requests a second at its share of a processor.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Limits the log lines about requests to [`MAX_LINES_PER_SECOND`], so that writing them
/// doesn't make an overload worse.
#[derive(Debug, Default)]
pub(crate) struct RequestLogLimit {
    second: Mutex<LinesInSecond>,
}

/// Lines in the current second of the monotonic clock.
#[derive(Debug, Default)]
struct LinesInSecond {
    number: u64,
    written: u32,
    dropped: u32,
}

impl RequestLogLimit {
    /// Returns whether a line may be written now. The first call in a new second logs how
    /// many lines were dropped before.
    pub(crate) fn allow(&self, now: Tick, log: &Logger) -> bool {
        let number = now.0 / 1_000;
        let mut second = self.second.lock();
        if second.number != number {
            let dropped = second.dropped;
            *second = LinesInSecond { number, written: 0, dropped: 0 };
            if dropped > 0 {
                warn!(log, "request log lines dropped by the rate limit"; "lines" => dropped);
            }
        }
        if second.written >= MAX_LINES_PER_SECOND {
            second.dropped += 1;
            return false;
        }
        second.written += 1;
        true
    }
}
