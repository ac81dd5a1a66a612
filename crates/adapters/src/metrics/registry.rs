//! Totals since the start of the node, served as text on its metrics address.
//!
//! Names, tags and units are those of `docs/METRICS.md`. Latencies are recorded
//! in HDR histograms and served as cumulative buckets.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;
use parking_lot::Mutex;

use super::{Counter, Gauge, Tag, Timer};

/// Maximum number of series; a node in a mesh of 290 services has fewer. Updates of further
/// series are only counted, as `series_left_out`.
const MAX_SERIES: usize = 4_096;

/// Largest recorded latency in milliseconds; longer ones are clamped. A minute exceeds the
/// timeout of any route.
const MAX_LATENCY_MS: u64 = 60_000;

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 1;

/// Upper bounds of the served buckets, in milliseconds.
const BUCKETS_MS: [u64; 11] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000];

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    name: &'static str,
    /// Formatted tags, without braces.
    tags: String,
}

enum Series {
    Counter(u64),
    Gauge(u64),
    Latency { histogram: Histogram<u32>, sum_ms: u64 },
}

#[derive(Default)]
struct Inner {
    series: BTreeMap<SeriesKey, Series>,
    left_out: u64,
}

/// Metrics since the start of the node; the lock is held for one update or one page.
#[derive(Default)]
pub(super) struct Registry {
    inner: Mutex<Inner>,
}

impl Registry {
    pub(super) fn count(&self, counter: Counter, n: u64, tags: &[Tag<'_>]) {
        self.update(
            counter.into(),
            tags,
            || Some(Series::Counter(0)),
            |series| {
                if let Series::Counter(sum) = series {
                    *sum += n;
                }
            },
        );
    }

    pub(super) fn gauge(&self, gauge: Gauge, value: u64, tags: &[Tag<'_>]) {
        self.update(
            gauge.into(),
            tags,
            || Some(Series::Gauge(0)),
            |series| {
                if let Series::Gauge(current) = series {
                    *current = value;
                }
            },
        );
    }

    pub(super) fn time(&self, timer: Timer, duration: Duration, tags: &[Tag<'_>]) {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        self.update(timer.into(), tags, new_latency, |series| {
            if let Series::Latency { histogram, sum_ms } = series {
                histogram.saturating_record(ms.clamp(1, MAX_LATENCY_MS));
                *sum_ms += ms;
            }
        });
    }

    fn update(
        &self,
        name: &'static str,
        tags: &[Tag<'_>],
        create: impl FnOnce() -> Option<Series>,
        update: impl FnOnce(&mut Series),
    ) {
        let key = SeriesKey { name, tags: format_tags(tags) };
        let mut inner = self.inner.lock();
        if !inner.series.contains_key(&key) {
            let is_full = inner.series.len() >= MAX_SERIES;
            let Some(series) = create().filter(|_| !is_full) else {
                inner.left_out += 1;
                return;
            };
            inner.series.insert(key.clone(), series);
        }
        if let Some(series) = inner.series.get_mut(&key) {
            update(series);
        }
    }

    /// Returns the text served on the metrics address.
    pub(super) fn page(&self, prefix: &str, instance: &str) -> String {
        let inner = self.inner.lock();
        let instance_tag = format_tags(&[Tag { key: "instance", value: instance }]);
        let mut page = String::new();
        for (key, series) in &inner.series {
            let tags = match key.tags.is_empty() {
                true => instance_tag.clone(),
                false => format!("{instance_tag},{}", key.tags),
            };
            write_series(&mut page, &format!("{prefix}_{}", key.name), &tags, series);
        }
        let _ = writeln!(page, "{prefix}_series_left_out{{{instance_tag}}} {}", inner.left_out);
        page
    }
}

fn new_latency() -> Option<Series> {
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS).ok()?;
    Some(Series::Latency { histogram, sum_ms: 0 })
}

/// Writes one series; writing into a string can't fail.
fn write_series(page: &mut String, name: &str, tags: &str, series: &Series) {
    match series {
        Series::Counter(value) | Series::Gauge(value) => {
            let _ = writeln!(page, "{name}{{{tags}}} {value}");
        }
        Series::Latency { histogram, sum_ms } => {
            for bound in BUCKETS_MS {
                let count = histogram.count_between(1, bound);
                let _ = writeln!(page, "{name}_bucket{{{tags},le=\"{bound}\"}} {count}");
            }
            let count = histogram.len();
            let _ = writeln!(page, "{name}_bucket{{{tags},le=\"+Inf\"}} {count}");
            let _ = writeln!(page, "{name}_sum{{{tags}}} {sum_ms}");
            let _ = writeln!(page, "{name}_count{{{tags}}} {count}");
        }
    }
}

fn format_tags(tags: &[Tag<'_>]) -> String {
    let format_tag = |tag: &Tag<'_>| {
        let value = tag.value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
        format!("{}=\"{value}\"", tag.key)
    };
    tags.iter().map(format_tag).collect::<Vec<_>>().join(",")
}
