//! Metrics: statsd lines over UDP, and sums that the node's own address serves.
//!
//! Every name is a variant here, so that `docs/METRICS.md` can be checked
//! against the code. What the settings don't ask for is neither formatted nor kept.

mod registry;

use std::{
    fmt,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricBuilder, QueuingMetricSink, StatsdClient, Timed,
};
use registry::Registry;

/// Lines that may wait to be sent; further ones are dropped.
const QUEUE_LINES: usize = 16_384;

/// A number that only grows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Calls by service, route and result code.
    Calls,
    /// Tries at a call on a backend server after the first one, by service.
    Retries,
    /// Configuration versions applied.
    Applied,
    /// Reads of the log service.
    LogReads,
    /// Records read from the log service.
    LogRecords,
    /// Appends to the log service.
    LogAppends,
    /// Failures of the log service.
    LogFailures,
    /// Bytes of control messages sent to other nodes.
    ControlBytesSent,
    /// Bytes of control messages received from other nodes.
    ControlBytesReceived,
}

/// A number that goes up and down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Gauge {
    /// Version of the configuration in force on this node.
    ConfigurationVersion,
    /// Members by liveness.
    Members,
    /// Calls that entered at this node and have no answer yet.
    Entered,
    /// Calls that run or wait at the backend server beside the node.
    Serving,
}

/// A span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Timer {
    /// A call from the request's head to its end, in milliseconds.
    CallMs,
    /// A call beside the backend server, its wait for a slot included, in
    /// milliseconds.
    ServeMs,
}

/// A tag of a metric.
#[derive(Debug, Clone, Copy)]
pub struct Tag<'a> {
    /// What the tag tells.
    pub key: &'a str,
    /// Its value.
    pub value: &'a str,
}

/// Prefix of the names that the metrics address serves.
const SERVED_PREFIX: &str = "savorykeel";

/// Sends and keeps metrics, each where the settings ask for it.
#[derive(Clone, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
    registry: Option<Arc<Registry>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics")
            .field("is_sent", &self.client.is_some())
            .field("is_kept", &self.registry.is_some())
            .finish()
    }
}

/// Why metrics can't be sent.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// No UDP socket can be opened.
    #[error("no UDP socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The client can't be built.
    #[error("no statsd client: {0}")]
    Client(#[from] cadence::MetricError),
}

impl Metrics {
    /// Returns metrics that are neither sent nor kept.
    pub fn disabled() -> Self {
        Self::default()
    }

    /// Returns the same metrics, kept for [`Metrics::page`] besides.
    pub fn with_registry(self) -> Self {
        Self { registry: Some(Arc::default()), ..self }
    }

    /// Returns what the metrics address serves; nothing unless metrics are kept.
    pub fn page(&self, instance: &str) -> String {
        self.registry.as_ref().map_or_else(String::new, |r| r.page(SERVED_PREFIX, instance))
    }

    /// Returns metrics that are sent to `statsd` with `instance` as a tag.
    pub fn to_statsd(
        statsd: SocketAddr,
        prefix: &str,
        instance: &str,
    ) -> Result<Self, MetricsError> {
        let source = match statsd {
            SocketAddr::V4(_) => "0.0.0.0:0",
            SocketAddr::V6(_) => "[::]:0",
        };
        let socket = UdpSocket::bind(source)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(statsd, socket)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_LINES);
        let client = StatsdClient::builder(prefix, sink)
            .with_tag("instance", instance)
            // A metric that can't be sent is no reason to fail or to log for each line.
            .with_error_handler(|_| {})
            .build();
        Ok(Self { client: Some(Arc::new(client)), registry: None })
    }

    /// Adds `n` to a counter.
    pub fn count(&self, counter: Counter, n: u64, tags: &[Tag<'_>]) {
        if let Some(client) = &self.client {
            tagged(client.count_with_tags(counter.into(), n), tags).send();
        }
        if let Some(registry) = &self.registry {
            registry.count(counter, n, tags);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64, tags: &[Tag<'_>]) {
        if let Some(client) = &self.client {
            tagged(client.gauge_with_tags(gauge.into(), value), tags).send();
        }
        if let Some(registry) = &self.registry {
            registry.gauge(gauge, value, tags);
        }
    }

    /// Records a span of time.
    pub fn time(&self, timer: Timer, duration: Duration, tags: &[Tag<'_>]) {
        if let Some(client) = &self.client {
            tagged(client.time_with_tags(timer.into(), duration.as_millis() as u64), tags).send();
        }
        if let Some(registry) = &self.registry {
            registry.time(timer, duration, tags);
        }
    }

    /// Sends what waits in the buffer.
    pub fn flush(&self) {
        if let Some(client) = &self.client {
            // Losing the last lines is better than failing at shutdown.
            let _ = client.flush();
        }
    }
}

fn tagged<'m, 'c, T>(
    mut metric: MetricBuilder<'m, 'c, T>,
    tags: &'m [Tag<'m>],
) -> MetricBuilder<'m, 'c, T>
where
    T: cadence::Metric + From<String>,
{
    for tag in tags {
        metric = metric.with_tag(tag.key, tag.value);
    }
    metric
}
