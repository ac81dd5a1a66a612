//! Reports the counters and gauges of the control loops.

use std::{
    collections::BTreeMap,
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use ntex::time::sleep;
use savorykeel_adapters::metrics::{Counter, Gauge, Metrics, Tag};

use super::{
    context::ControlContext,
    reader::to_millis,
    snapshot::MemberCounts,
    state::ControlState,
    traffic::{LinkPurpose, Reach},
};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Reports the metrics every [`REPORT_INTERVAL`].
pub(super) async fn report_periodically<L, P>(cx: Rc<ControlContext<L, P>>) {
    let mut last = CounterValues::default();
    let mut last_traffic = TrafficValues::default();
    loop {
        let now = CounterValues::of(&cx.state);
        now.report_since(&last, &cx.metrics);
        last = now;
        let traffic = TrafficValues::of(&cx.state);
        traffic.report_since(&last_traffic, &cx.metrics);
        last_traffic = traffic;
        let snapshot = cx.state.snapshot();
        cx.metrics.gauge(Gauge::ConfigurationVersion, snapshot.version.0, &[]);
        report_members(&cx.metrics, snapshot.members);
        sleep(to_millis(REPORT_INTERVAL)).await;
    }
}

/// Values of the counters of traffic between nodes at one moment.
#[derive(Debug, Clone, Default)]
struct TrafficValues {
    link_bytes: BTreeMap<(LinkPurpose, Reach), u64>,
    message_bytes: BTreeMap<(&'static str, Reach), u64>,
}

impl TrafficValues {
    fn of(state: &ControlState) -> Self {
        let traffic = &state.traffic;
        Self { link_bytes: traffic.link_bytes(), message_bytes: traffic.message_bytes() }
    }

    fn report_since(&self, last: &Self, metrics: &Metrics) {
        for ((purpose, reach), bytes) in &self.link_bytes {
            let before = last.link_bytes.get(&(*purpose, *reach)).copied().unwrap_or(0);
            let tags = [tag("purpose", purpose.into()), tag("reach", reach.into())];
            metrics.count(Counter::LinkBytes, bytes - before, &tags);
        }
        for ((kind, reach), bytes) in &self.message_bytes {
            let before = last.message_bytes.get(&(*kind, *reach)).copied().unwrap_or(0);
            let tags = [tag("kind", kind), tag("reach", reach.into())];
            metrics.count(Counter::MessageBytes, bytes - before, &tags);
        }
    }
}

fn tag<'a>(key: &'a str, value: &'a str) -> Tag<'a> {
    Tag { key, value }
}

/// Values of the counters at one moment.
#[derive(Debug, Clone, Copy, Default)]
struct CounterValues {
    bytes_sent: u64,
    bytes_received: u64,
    log_reads: u64,
    log_records: u64,
    log_appends: u64,
    log_failures: u64,
    applied: u64,
    document_problems: u64,
    store_returns: u64,
}

impl CounterValues {
    fn of(state: &ControlState) -> Self {
        let counters = &state.counters;
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Self {
            bytes_sent: load(&counters.bytes_sent),
            bytes_received: load(&counters.bytes_received),
            log_reads: load(&counters.log_reads),
            log_records: load(&counters.log_records),
            log_appends: load(&counters.log_appends),
            log_failures: load(&counters.log_failures),
            applied: load(&counters.applied),
            document_problems: load(&counters.document_problems),
            store_returns: load(&counters.store_returns),
        }
    }

    fn report_since(&self, last: &Self, metrics: &Metrics) {
        metrics.count(Counter::ControlBytesSent, self.bytes_sent - last.bytes_sent, &[]);
        metrics.count(
            Counter::ControlBytesReceived,
            self.bytes_received - last.bytes_received,
            &[],
        );
        metrics.count(Counter::LogReads, self.log_reads - last.log_reads, &[]);
        metrics.count(Counter::LogFailures, self.log_failures - last.log_failures, &[]);
        metrics.count(Counter::LogRecords, self.log_records - last.log_records, &[]);
        metrics.count(Counter::LogAppends, self.log_appends - last.log_appends, &[]);
        metrics.count(Counter::Applied, self.applied - last.applied, &[]);
        let problems = self.document_problems - last.document_problems;
        metrics.count(Counter::DocumentProblems, problems, &[]);
        metrics.count(Counter::StoreReturns, self.store_returns - last.store_returns, &[]);
    }
}

fn report_members(metrics: &Metrics, counts: MemberCounts) {
    let report = |liveness, value: usize| {
        metrics.gauge(Gauge::Members, value as u64, &[tag("liveness", liveness)]);
    };
    report("alive", counts.alive);
    report("suspect", counts.suspect);
    report("unreachable", counts.unreachable);
    report("gone", counts.gone);
}
