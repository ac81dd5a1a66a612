//! What one node knows of a backend server that it calls.

use std::time::Duration;

use crate::time::Tick;

use super::{Candidate, Load};

/// Time constant with which the failure rate decays.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);

/// Number of calls over which the failure rate is averaged, so that a single failure
/// among few calls doesn't weigh too much.
const FAILURE_CALLS: f64 = 8.0;

/// Time over which a new backend server ramps up to its full weight.
const SLOW_START: Duration = Duration::from_secs(10);

/// Fraction of the full weight with which a new backend server starts.
const SLOW_START_FLOOR: f64 = 0.1;

/// Consecutive failures after which a backend server is ejected.
const FAILURES_TO_EJECT: u32 = 5;

/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Upper bound of the length of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Time constant of the moving average of the latency.
const LATENCY_WINDOW: Duration = Duration::from_secs(5);

/// Time constant with which a past latency loses weight.
const LATENCY_LIFETIME: Duration = Duration::from_secs(10);

/// Weight of the newest call in the moving average of the transport time.
const TRANSPORT_WEIGHT: f64 = 0.25;

/// Time constant with which a past transport time loses weight, so that a backend server
/// behind a link that was congested is tried again.
const TRANSPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Multiple of the run time after which calls without any answer count as delayed.
const SILENCE_PER_RUN: f64 = 2.0;

/// Time for which a reported number of requests in flight is used.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Latency assumed before the first answer, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 1.0;

pub(super) fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

/// Returns the weight that a value still has at an age, from 1 towards 0.
fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    load: Load,
    at: Tick,
}

/// State of a backend server from the calls of one node to it.
#[derive(Debug)]
pub(super) struct TrackedBackend {
    pub(super) incarnation: u64,
    /// Time at which it was first seen; `None` if it was a candidate when this node
    /// started.
    first_seen: Option<Tick>,
    pub(super) last_seen: Tick,
    pub(super) in_flight: u32,
    /// Time of the last answer, or else of the first call, while calls are in flight.
    pub(super) silent_since: Option<Tick>,
    latency_ms: f64,
    latency_at: Tick,
    load_report: Option<LoadReport>,
    transport_ms: f64,
    transport_at: Tick,
    pub(super) consecutive_failures: u32,
    /// Recent share of failed calls as of `failure_rate_at`.
    failure_rate: f64,
    failure_rate_at: Tick,
    pub(super) ejections: u32,
    ejected_until: Option<Tick>,
}

impl TrackedBackend {
    pub(super) fn new(candidate: &Candidate, first_seen: Option<Tick>, now: Tick) -> Self {
        Self {
            incarnation: candidate.incarnation,
            first_seen,
            last_seen: now,
            in_flight: 0,
            silent_since: None,
            latency_ms: INITIAL_LATENCY_MS,
            latency_at: now,
            load_report: None,
            transport_ms: 0.0,
            transport_at: now,
            consecutive_failures: 0,
            failure_rate: 0.0,
            failure_rate_at: now,
            ejections: 0,
            ejected_until: None,
        }
    }

    pub(super) fn is_ejected(&self, now: Tick) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the number of requests in flight: the larger of this node's own count and
    /// a fresh report.
    pub(super) fn load(&self, now: Tick) -> u32 {
        let report = self.load_report.filter(|_| self.has_fresh_report(now));
        report.map_or(self.in_flight, |report| report.load.in_flight.max(self.in_flight))
    }

    /// Returns whether the node next to the backend server has just reported its load.
    pub(super) fn has_fresh_report(&self, now: Tick) -> bool {
        self.load_report.is_some_and(|report| now.since(report.at) < LOAD_REPORT_LIFETIME)
    }

    /// Returns the number of requests that the backend server handles well at once: its slots,
    /// unless its node has just reported a lower number.
    pub(super) fn handled_at_once(&self, slots: u32, now: Tick) -> u32 {
        let report = self.load_report.filter(|_| self.has_fresh_report(now));
        let learned = report.map_or(0, |report| report.load.concurrency_limit);
        if learned == 0 { slots } else { learned.min(slots) }
    }

    /// Records the load that a reply carried.
    pub(super) fn record_load(&mut self, load: Load, now: Tick) {
        self.load_report = Some(LoadReport { load, at: now });
    }

    /// Returns the time in milliseconds that a request would wait because of the stated rate:
    /// what was reported, less the time since.
    pub(super) fn rate_wait_ms(&self, now: Tick) -> f64 {
        let left = |report: LoadReport| report.load.rate_wait.saturating_sub(now.since(report.at));
        millis(self.load_report.map_or(Duration::ZERO, left))
    }

    /// Returns the time after which a large answer accepted now would have crossed the link of the
    /// instance: what was just reported, less the time since; `None` without a fresh report.
    ///
    /// Others may have added answers since, so it is the least time, not the likely one.
    pub(super) fn link_wait(&self, now: Tick) -> Option<Duration> {
        let report = self.load_report.filter(|_| self.has_fresh_report(now))?;
        Some(report.load.link_wait.saturating_sub(now.since(report.at)))
    }

    /// Returns the average run time in milliseconds as reported by the node next to the
    /// backend server.
    pub(super) fn reported_ms(&self) -> Option<f64> {
        self.load_report.map(|report| millis(report.load.run_time)).filter(|ms| *ms > 0.0)
    }

    /// Returns the recent share of failed calls. It decays without calls, so that a
    /// backend server that has recovered is tried again.
    pub(super) fn failure_rate(&self, now: Tick) -> f64 {
        self.failure_rate * decay(now.since(self.failure_rate_at), FAILURE_WINDOW)
    }

    pub(super) fn observe_outcome(&mut self, is_failure: bool, now: Tick) {
        let before = self.failure_rate(now);
        self.failure_rate = before + (f64::from(u8::from(is_failure)) - before) / FAILURE_CALLS;
        self.failure_rate_at = now;
    }

    pub(super) fn weight(&self, now: Tick) -> f64 {
        let Some(first_seen) = self.first_seen else { return 1.0 };
        let warm = now.since(first_seen).as_secs_f64() / SLOW_START.as_secs_f64();
        warm.clamp(SLOW_START_FLOOR, 1.0)
    }

    /// Returns the expected latency in milliseconds, which decays with its age.
    ///
    /// Without the decay, a slow backend server would never be tried again.
    pub(super) fn expected_latency_ms(&self, now: Tick) -> f64 {
        let latency_ms = self.latency_ms * decay(now.since(self.latency_at), LATENCY_LIFETIME);
        latency_ms.max(INITIAL_LATENCY_MS)
    }

    pub(super) fn begin_call(&mut self, now: Tick) {
        self.in_flight += 1;
        self.silent_since.get_or_insert(now);
    }

    pub(super) fn end_call(&mut self, now: Tick) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.silent_since = (self.in_flight > 0).then_some(now);
    }

    /// Returns the expected time of a call outside the node next to the backend server, in
    /// milliseconds: the average of past calls, or the delay of those that should have been
    /// answered by now.
    pub(super) fn expected_transport_ms(&self, now: Tick) -> f64 {
        let silence = self.silent_since.map_or(0.0, |since| millis(now.since(since)));
        let usual = SILENCE_PER_RUN * self.reported_ms().unwrap_or(self.latency_ms);
        self.average_transport_ms(now).max(silence - usual)
    }

    /// Returns the average transport time of past calls, which decays with its age.
    fn average_transport_ms(&self, now: Tick) -> f64 {
        self.transport_ms * decay(now.since(self.transport_at), TRANSPORT_LIFETIME)
    }

    pub(super) fn observe_transport(&mut self, transport: Duration, now: Tick) {
        let before_ms = self.average_transport_ms(now);
        self.transport_ms = before_ms + (millis(transport) - before_ms) * TRANSPORT_WEIGHT;
        self.transport_at = now;
    }

    /// Updates the average latency; a value above the average replaces it at once.
    pub(super) fn observe_latency(&mut self, latency: Duration, now: Tick) {
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let idle = now.since(self.latency_at) + Duration::from_millis(50);
        let past_weight = decay(idle, LATENCY_WINDOW);
        self.latency_at = now;
        self.latency_ms = if latency_ms > self.latency_ms {
            latency_ms
        } else {
            latency_ms + past_weight * (self.latency_ms - latency_ms)
        };
    }

    pub(super) fn count_failure(&mut self, now: Tick) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return;
        }
        let length = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now + length.min(MAX_EJECTION));
        self.ejections += 1;
        self.consecutive_failures = 0;
    }
}
