//! The streams with their retention and the rate limit on appends.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::Settings;

/// Counts of one stream since the service started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Total size of these appends in bytes.
    pub append_bytes: u64,
    /// Appends refused by the rate limit.
    pub refused_appends: u64,
    /// Reads answered with records or an empty page, including long polls.
    pub reads: u64,
    /// Records returned by these reads.
    pub records_read: u64,
}

/// A record and the time at which it was appended.
#[derive(Clone)]
struct StoredRecord {
    body: Vec<u8>,
    appended_at: Instant,
}

/// An older state of all streams that the service can come back with.
#[derive(Clone)]
pub struct Copy(BTreeMap<String, (u64, VecDeque<StoredRecord>)>);

/// Retained records and counts of one stream.
#[derive(Default)]
pub(crate) struct Stream {
    records: VecDeque<StoredRecord>,
    earliest: u64,
    pub(crate) counts: StreamCounts,
}

impl Stream {
    fn next(&self) -> u64 {
        self.earliest + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        self.records.pop_front();
        self.earliest += 1;
    }
}

/// Result of a read: records with their offsets, the earliest retained offset
/// and the offset of the next append.
pub(crate) struct Page {
    pub(crate) earliest: u64,
    pub(crate) next: u64,
    pub(crate) records: Vec<(u64, Vec<u8>)>,
}

/// Reason why the store refuses a request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StoreError {
    TooManyAppends,
    Expired {
        earliest: u64,
    },
    /// The stream doesn't end at the offset that the append named.
    EndsElsewhere {
        next: u64,
    },
}

/// All streams, and the token bucket that limits their appends.
pub(crate) struct Store {
    streams: BTreeMap<String, Stream>,
    era: u64,
    appends_per_second: u32,
    retention: Option<Duration>,
    retain_records: Option<usize>,
    append_permits: f64,
    refilled_at: Instant,
}

impl Store {
    pub(crate) fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            streams: BTreeMap::new(),
            era: 1,
            appends_per_second: settings.appends_per_second,
            retention: settings.retain_ms.map(Duration::from_millis),
            retain_records: settings.retain_records,
            append_permits: f64::from(settings.appends_per_second),
            refilled_at: now,
        }
    }

    /// Returns the number of the era, which rises when the service comes back from a copy.
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    pub(crate) fn copy(&self) -> Copy {
        let records = |stream: &Stream| (stream.earliest, stream.records.clone());
        Copy(self.streams.iter().map(|(name, stream)| (name.clone(), records(stream))).collect())
    }

    /// Replaces the records of all streams by older ones, in a new era; counts stay.
    pub(crate) fn come_back_from(&mut self, copy: &Copy) {
        for (name, stream) in &mut self.streams {
            let (earliest, records) = copy.0.get(name).cloned().unwrap_or_default();
            (stream.earliest, stream.records) = (earliest, records);
        }
        self.era += 1;
    }

    /// Appends a record and returns its offset, or an error if the append exceeds the rate limit
    /// or the stream doesn't end at offset `at`.
    pub(crate) fn append(
        &mut self,
        name: &str,
        body: Vec<u8>,
        at: Option<u64>,
        now: Instant,
    ) -> Result<u64, StoreError> {
        let allowed = self.take_append_permit(now);
        let stream = self.streams.entry(name.to_owned()).or_default();
        if !allowed {
            stream.counts.refused_appends += 1;
            return Err(StoreError::TooManyAppends);
        }
        let offset = stream.next();
        if at.is_some_and(|at| at != offset) {
            return Err(StoreError::EndsElsewhere { next: offset });
        }
        stream.counts.appends += 1;
        stream.counts.append_bytes += body.len() as u64;
        stream.records.push_back(StoredRecord { body, appended_at: now });
        self.expire(now);
        Ok(offset)
    }

    /// Returns up to `limit` records starting at offset `from`, or an error with
    /// the earliest retained offset if `from` lies before it.
    pub(crate) fn read(
        &mut self,
        name: &str,
        from: u64,
        limit: usize,
        now: Instant,
    ) -> Result<Page, StoreError> {
        self.expire(now);
        let stream = self.streams.entry(name.to_owned()).or_default();
        if from < stream.earliest {
            return Err(StoreError::Expired { earliest: stream.earliest });
        }
        let skipped = (from - stream.earliest).min(stream.records.len() as u64) as usize;
        let bodies = stream.records.iter().skip(skipped).take(limit);
        let records = (from..).zip(bodies.map(|record| record.body.clone())).collect();
        Ok(Page { earliest: stream.earliest, next: stream.next(), records })
    }

    /// Counts a read and the number of records returned by it.
    pub(crate) fn record_read(&mut self, name: &str, records: usize) {
        let counts = &mut self.streams.entry(name.to_owned()).or_default().counts;
        counts.reads += 1;
        counts.records_read += records as u64;
    }

    /// Returns the counts of every stream by its name.
    pub(crate) fn counts(&self) -> BTreeMap<String, StreamCounts> {
        self.streams.iter().map(|(name, stream)| (name.clone(), stream.counts)).collect()
    }

    /// Drops the `count` oldest records of a stream.
    pub(crate) fn expire_oldest(&mut self, name: &str, count: usize) {
        let Some(stream) = self.streams.get_mut(name) else { return };
        for _ in 0..count.min(stream.records.len()) {
            stream.drop_oldest();
        }
    }

    fn take_append_permit(&mut self, now: Instant) -> bool {
        let rate = f64::from(self.appends_per_second);
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * rate;
        self.append_permits = (self.append_permits + refill).min(rate);
        self.refilled_at = now;
        let allowed = self.append_permits >= 1.0;
        if allowed {
            self.append_permits -= 1.0;
        }
        allowed
    }

    fn expire(&mut self, now: Instant) {
        let (retention, retain_records) = (self.retention, self.retain_records);
        for stream in self.streams.values_mut() {
            let excess = retain_records
                .map_or(0, |max_records| stream.records.len().saturating_sub(max_records));
            for _ in 0..excess {
                stream.drop_oldest();
            }
            while let (Some(retention), Some(oldest)) = (retention, stream.records.front()) {
                if now.duration_since(oldest.appended_at) < retention {
                    break;
                }
                stream.drop_oldest();
            }
        }
    }
}
