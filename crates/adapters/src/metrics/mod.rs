//! Metrics: statsd lines over UDP, and totals served on the metrics address of the node.
//!
//! Every metric name comes from a variant here, so that a test can check `docs/METRICS.md`
//! against the code. Outputs that the settings don't enable cost neither formatting nor memory.

mod registry;

use std::{
    borrow::Cow,
    fmt,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricBuilder, QueuingMetricSink, StatsdClient, Timed,
};
use registry::Registry;

/// Maximum number of queued lines; further ones are dropped.
const QUEUE_LINES: usize = 16_384;

/// A value that only increases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Calls by service, route and result code.
    Calls,
    /// Attempts at a call after the first one, by service.
    Retries,
    /// Requests that this node refused before it chose a backend server, by result code.
    Refusals,
    /// Messages to quota owners, by result.
    QuotaMessages,
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
    /// Operators' documents that can't be used, and unknown values in those that can.
    DocumentProblems,
    /// Changes of the store's era, which mean that it came back from an older copy.
    StoreReturns,
    /// Bytes of control messages sent to other nodes.
    ControlBytesSent,
    /// Bytes of control messages received from other nodes.
    ControlBytesReceived,
    /// Bytes of control messages and their replies before compression, by kind and reach.
    MessageBytes,
    /// Bytes on the links that this node opened, by purpose and reach.
    LinkBytes,
    /// Changes of the learned concurrency limit of the local backend server.
    ConcurrencyLimitChanges,
    /// Requests refused and connections closed because their callers were too slow, by cause.
    SlowCallers,
    /// Requests for large answers that were refused because of links, by the node that refused.
    LinkRefusals,
    /// Bytes of large answers that were sent as the link of the instance had room.
    PacedBytes,
}

/// A value that can rise and fall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Gauge {
    /// Version of the configuration in force on this node.
    ConfigurationVersion,
    /// Members by liveness.
    Members,
    /// Calls that entered at this node and are not yet answered.
    Entered,
    /// Calls running or queued at the local backend server.
    Serving,
    /// Whether requests to the local backend server are limited because it is cold.
    WarmingUp,
    /// Whether the availability zone of this node is evacuated.
    Evacuated,
    /// Number of requests that the local backend server handles well at once; 0 if this isn't
    /// learned.
    ConcurrencyLimit,
    /// Parts of large answers that wait for the link of the instance.
    PartsWaiting,
}

/// A duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Timer {
    /// Time from the head of the request to the end of the call, in milliseconds.
    CallMs,
    /// Time of a call at the node of the backend server, including the wait for a slot, in
    /// milliseconds.
    ServeMs,
}

/// A tag of a metric.
#[derive(Debug, Clone, Copy)]
pub struct Tag<'a> {
    /// Name of the tag.
    pub key: &'a str,
    /// Value of the tag.
    pub value: &'a str,
}

/// Prefix of the metric names served on the metrics address.
const SERVED_PREFIX: &str = "savorykeel";

/// Sends metrics to statsd, keeps totals for the metrics address, or both, as configured.
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

/// Reason why metrics can't be sent.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// No UDP socket can be opened.
    #[error("failed to open a UDP socket for metrics: {0}")]
    Socket(#[from] std::io::Error),
    /// The client can't be built.
    #[error("failed to create the statsd client: {0}")]
    Client(#[from] cadence::MetricError),
}

impl Metrics {
    /// Returns metrics that are discarded.
    pub fn disabled() -> Self {
        Self::default()
    }

    /// Also keeps totals, which [`Metrics::page`] returns.
    pub fn with_registry(self) -> Self {
        Self { registry: Some(Arc::default()), ..self }
    }

    /// Returns the text served on the metrics address; empty without a registry.
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
            // A metric that can't be sent must neither fail a call nor log an error for each line.
            .with_error_handler(|_| {})
            .build();
        Ok(Self { client: Some(Arc::new(client)), registry: None })
    }

    /// Adds `n` to a counter.
    pub fn count(&self, counter: Counter, n: u64, tags: &[Tag<'_>]) {
        if let Some(client) = &self.client {
            let values = statsd_values(tags);
            tagged(client.count_with_tags(counter.into(), n), tags, &values).send();
        }
        if let Some(registry) = &self.registry {
            registry.count(counter, n, tags);
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64, tags: &[Tag<'_>]) {
        if let Some(client) = &self.client {
            let values = statsd_values(tags);
            tagged(client.gauge_with_tags(gauge.into(), value), tags, &values).send();
        }
        if let Some(registry) = &self.registry {
            registry.gauge(gauge, value, tags);
        }
    }

    /// Records a duration.
    pub fn time(&self, timer: Timer, duration: Duration, tags: &[Tag<'_>]) {
        if let Some(client) = &self.client {
            let values = statsd_values(tags);
            tagged(client.time_with_tags(timer.into(), duration.as_millis() as u64), tags, &values)
                .send();
        }
        if let Some(registry) = &self.registry {
            registry.time(timer, duration, tags);
        }
    }

    /// Sends the buffered lines.
    pub fn flush(&self) {
        if let Some(client) = &self.client {
            // A lost last batch must not fail the shutdown.
            let _ = client.flush();
        }
    }
}

fn tagged<'m, 'c, T>(
    mut metric: MetricBuilder<'m, 'c, T>,
    tags: &'m [Tag<'m>],
    values: &'m [Cow<'m, str>],
) -> MetricBuilder<'m, 'c, T>
where
    T: cadence::Metric + From<String>,
{
    for (tag, value) in tags.iter().zip(values) {
        metric = metric.with_tag(tag.key, value);
    }
    metric
}

/// Returns the values of tags with the separators of statsd's format replaced. Operators may choose
/// names that contain them.
fn statsd_values<'a>(tags: &[Tag<'a>]) -> Vec<Cow<'a, str>> {
    const SEPARATORS: [char; 5] = ['|', ',', ':', '#', '\n'];
    let replaced = |tag: &Tag<'a>| match tag.value.contains(SEPARATORS) {
        true => Cow::Owned(tag.value.replace(SEPARATORS, "_")),
        false => Cow::Borrowed(tag.value),
    };
    tags.iter().map(replaced).collect()
}
