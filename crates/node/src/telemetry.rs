//! Sends the calls in flight as gauges, and what waits in the metrics' buffer.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use parking_lot::Mutex;
use savorykeel_adapters::metrics::Gauge;
use savorykeel_policy::time::Tick;
use slog::{Logger, warn};
use tokio_util::sync::CancellationToken;

use crate::state::NodeState;

/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Sends a report now and then until `cancel` is cancelled.
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

/// Reports the calls in flight.
pub(crate) fn report(state: &NodeState) {
    let (entered, serving) = (&state.entered, &state.serving);
    state.metrics.gauge(Gauge::Entered, u64::from(entered.load(Ordering::Relaxed)), &[]);
    state.metrics.gauge(Gauge::Serving, u64::from(serving.load(Ordering::Relaxed)), &[]);
}

/// Lines about requests that a node writes in a second; beyond it they are counted.
/// A node answers some hundred requests a second at its share of a processor.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Bounds the lines about requests, so that an overload isn't made worse by its own
/// log.
#[derive(Debug, Default)]
pub(crate) struct RequestLogLimit {
    second: Mutex<LinesInSecond>,
}

#[derive(Debug, Default)]
struct LinesInSecond {
    number: u64,
    written: u32,
    dropped: u32,
}

impl RequestLogLimit {
    /// Tells whether a line may be written now; says how many were left out before.
    pub(crate) fn allow(&self, now: Tick, log: &Logger) -> bool {
        let number = now.0 / 1_000;
        let mut second = self.second.lock();
        if second.number != number {
            let dropped = second.dropped;
            *second = LinesInSecond { number, written: 0, dropped: 0 };
            if dropped > 0 {
                warn!(log, "lines about requests left out"; "lines" => dropped);
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
