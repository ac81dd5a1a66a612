//! Results of a latency measurement and their table.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;

use super::load::{Pattern, Round};

/// Largest latency that the histogram records, in nanoseconds.
const MAX_NANOS: u64 = 60_000_000_000;

/// Significant decimal digits of the latencies in the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies of the calls along one path, over all rounds.
pub struct PathLatencies {
    nanos: Histogram<u64>,
    duration: Duration,
    failures: u64,
    /// 99th percentile of each round, in microseconds.
    round_p99s: Vec<f64>,
}

impl PathLatencies {
    fn new() -> anyhow::Result<Self> {
        let nanos = Histogram::new_with_bounds(1, MAX_NANOS, SIGNIFICANT_DIGITS)?;
        Ok(Self { nanos, duration: Duration::ZERO, failures: 0, round_p99s: Vec::new() })
    }

    /// Adds the calls of a round.
    pub fn add_round(&mut self, round: &Round) -> anyhow::Result<()> {
        let mut sorted: Vec<f64> = round.latencies.iter().map(Duration::as_secs_f64).collect();
        sorted.sort_by(f64::total_cmp);
        if let Some(p99) = sorted.get(sorted.len() * 99 / 100) {
            self.round_p99s.push(p99 * 1e6);
        }
        for latency in &round.latencies {
            self.nanos.record(latency.as_nanos() as u64)?;
        }
        self.duration += round.duration;
        self.failures += round.failures;
        Ok(())
    }

    fn micros(&self, quantile: f64) -> f64 {
        self.nanos.value_at_quantile(quantile) as f64 / 1_000.0
    }

    fn rate(&self) -> f64 {
        self.nanos.len() as f64 / self.duration.as_secs_f64()
    }
}

/// Results of one call pattern along each path.
pub struct Comparison {
    pattern: Pattern,
    /// Calls directly to the backend server.
    pub direct: PathLatencies,
    /// Calls through two processes that only forward bytes.
    pub relayed: PathLatencies,
    /// Calls through two nodes.
    pub meshed: PathLatencies,
    /// Processor time that both nodes used in the rounds through them.
    pub node_cpu_time: Duration,
}

impl Comparison {
    /// Heading of the table whose rows `Display` writes.
    pub const HEADING: &str = "\
pattern        way      calls  calls/s  failed  p50 us  p99 us  p99.9 us  added p50  added p99  \
quietest  node cpu us";

    /// Creates a comparison without rounds.
    pub fn new(pattern: Pattern) -> anyhow::Result<Self> {
        Ok(Self {
            pattern,
            direct: PathLatencies::new()?,
            relayed: PathLatencies::new()?,
            meshed: PathLatencies::new()?,
            node_cpu_time: Duration::ZERO,
        })
    }
}

impl Comparison {
    /// Returns the latency in microseconds that the nodes add at the 99th percentile,
    /// for the pair of rounds with the lowest 99th percentile through the nodes.
    /// Other work on the machine disturbed that pair least.
    fn least_disturbed_added_p99(&self) -> f64 {
        let pairs = self.meshed.round_p99s.iter().zip(&self.direct.round_p99s);
        let least_disturbed = pairs.min_by(|a, b| a.0.total_cmp(b.0));
        least_disturbed.map_or(f64::NAN, |(meshed, direct)| meshed - direct)
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.pattern.to_string();
        let paths =
            [("direct", &self.direct), ("relays", &self.relayed), ("2 nodes", &self.meshed)];
        for (label, path) in paths {
            if label != "direct" {
                writeln!(f)?;
            }
            write!(
                f,
                "{name:<14} {label:<7} {:>6} {:>8.0} {:>7} {:>7.0} {:>7.0} {:>9.0}",
                path.nanos.len(),
                path.rate(),
                path.failures,
                path.micros(0.5),
                path.micros(0.99),
                path.micros(0.999),
            )?;
            if label != "direct" {
                let added = |quantile| path.micros(quantile) - self.direct.micros(quantile);
                write!(f, "  {:>9.0}  {:>9.0}", added(0.5), added(0.99))?;
            }
        }
        let node_micros = self.node_cpu_time.as_secs_f64() * 1e6 / self.meshed.nanos.len() as f64;
        write!(f, "  {:>9.0}  {:>11.0}", self.least_disturbed_added_p99(), node_micros)
    }
}
