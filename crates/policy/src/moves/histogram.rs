//! Small latency histogram whose buckets are the same on every node, so that
//! histograms of different nodes can be added.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of buckets of a histogram.
pub const LATENCY_BUCKETS: usize = 64;

/// Upper bound of the first bucket in microseconds.
const FIRST_BUCKET_US: f64 = 250.0;

/// Number of buckets for each doubling of the latency.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Number of calls by latency.
///
/// Nodes exchange the whole histogram instead of a count of slow calls, because the
/// judge derives its bound for slow calls from the old version's own calls, and the
/// bound may change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Bucket>", into = "Vec<Bucket>")]
pub struct Histogram([u32; LATENCY_BUCKETS]);

/// Serialized form of one bucket; empty buckets are left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Bucket {
    index: u8,
    count: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self([0; LATENCY_BUCKETS])
    }
}

impl From<Vec<Bucket>> for Histogram {
    fn from(buckets: Vec<Bucket>) -> Self {
        let mut histogram = Self::default();
        for bucket in buckets {
            if let Some(count) = histogram.0.get_mut(usize::from(bucket.index)) {
                *count = count.saturating_add(bucket.count);
            }
        }
        histogram
    }
}

impl From<Histogram> for Vec<Bucket> {
    fn from(histogram: Histogram) -> Self {
        let counts = histogram.0.iter().enumerate().filter(|(_, count)| **count > 0);
        counts.map(|(i, count)| Bucket { index: i as u8, count: *count }).collect()
    }
}

impl Histogram {
    /// Adds one call that took `took`.
    pub fn record(&mut self, took: Duration) {
        let bucket = bucket_of(took);
        self.0[bucket] = self.0[bucket].saturating_add(1);
    }

    /// Returns the total number of calls.
    pub fn total(&self) -> u64 {
        self.0.iter().map(|n| u64::from(*n)).sum()
    }

    /// Returns the number of calls in `bucket` and all higher buckets.
    pub fn tail(&self, bucket: usize) -> u64 {
        self.0.iter().skip(bucket).map(|n| u64::from(*n)).sum()
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        for (count, added) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(added);
        }
    }

    /// Returns the increase since `earlier`, which is 0 in each bucket where
    /// `earlier` has more calls.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut increase = *self;
        for (count, before) in increase.0.iter_mut().zip(earlier.0) {
            *count = count.saturating_sub(before);
        }
        increase
    }

    /// Returns the lowest bucket such that at most the fraction `share` of all calls
    /// lies in it and the higher ones, or [`LATENCY_BUCKETS`] if there is none.
    pub fn tail_bucket(&self, share: f64) -> usize {
        let allowed = (self.total() as f64 * share) as u64;
        (0..LATENCY_BUCKETS).find(|b| self.tail(*b) <= allowed).unwrap_or(LATENCY_BUCKETS)
    }
}

fn bucket_of(took: Duration) -> usize {
    let ratio = took.as_micros() as f64 / FIRST_BUCKET_US;
    if ratio <= 1.0 {
        return 0;
    }
    let bucket = (ratio.log2() * BUCKETS_PER_OCTAVE).ceil() as usize;
    bucket.min(LATENCY_BUCKETS - 1)
}
