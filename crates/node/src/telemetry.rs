//! Sends the calls in flight as gauges, and what waits in the metrics' buffer.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use savorykeel_adapters::metrics::Gauge;
use tokio_util::sync::CancellationToken;

use crate::state::NodeState;

/// Time between two reports.
const PERIOD: Duration = Duration::from_secs(10);

/// Sends a report now and then until `cancel` is cancelled.
pub(crate) async fn run(state: Arc<NodeState>, cancel: CancellationToken) {
    loop {
        let (entered, serving) = (&state.entered, &state.serving);
        state.metrics.gauge(Gauge::Entered, u64::from(entered.load(Ordering::Relaxed)), &[]);
        state.metrics.gauge(Gauge::Serving, u64::from(serving.load(Ordering::Relaxed)), &[]);
        state.metrics.flush();
        tokio::select! {
            () = tokio::time::sleep(PERIOD) => {}
            () = cancel.cancelled() => return,
        }
    }
}
