//! Learns how many requests a backend server handles well at once.
//!
//! Answers the load of a backend server that slows down before all of its slots are busy. Runs
//! are grouped into bands by how many ran at once. A band's slow-down is the mean of its run
//! times, each relative to the floor of its route, and its throughput is the number of
//! runs at once over the slow-down. The limit falls to a lower band only if recent runs show
//! that it yields no less throughput than the highest one. A server that is slow whatever the
//! number of runs, by nature or because of calls that it makes, has its highest throughput in
//! the highest band and keeps all slots. See `docs/design/0026-learned-concurrency.md`.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{config::model::MAX_ROUTES, ids::RouteName, time::Tick};

/// Number of bands into which the slots are divided.
const BANDS: usize = 8;

/// Time constant with which past runs of a band lose weight.
const BAND_LIFETIME: Duration = Duration::from_secs(2);

/// Time without a run after which a band isn't compared with others: a dependency that has
/// become slow in between would look like an effect of the number of runs.
const BAND_FRESHNESS: Duration = Duration::from_millis(1_000);

/// Time for which a band is remembered as a reason for a trial.
const BAND_MEMORY: Duration = Duration::from_secs(60);

/// Time after a trial until the next one; doubled up to [`BAND_MEMORY`] by trials that did not
/// help.
const TRIAL_PAUSE: Duration = Duration::from_secs(10);

/// Weight of a band's runs from which on it is compared.
const MIN_BAND_RUNS: f64 = 6.0;

/// Weight of a run in the floor of its route if it took less time than that.
const SHORTER_RUN_WEIGHT: f64 = 0.2;

/// Weight of a run in the floor of its route if it took more time. The floor rises to that of a
/// server that has become slower within about a thousand runs.
const LONGER_RUN_WEIGHT: f64 = 0.001;

/// Runs of a route before it counts, so that its floor is known.
const MIN_ROUTE_RUNS: u32 = 10;

/// Time between two adjustments.
const ADJUST_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive adjustments that have to agree before the limit falls. Runs that become slow at
/// once, for whatever reason, raise the number of runs and look like an effect of it until the
/// lower bands are no longer fresh.
const AGREEMENTS: u32 = 3;

/// Share of the highest throughput that a lower band has to reach, besides the error of the
/// comparison. Bands of equal slow-down differ by more.
const THROUGHPUT_SHARE: f64 = 0.95;

/// Multiple of the standard error by which a lower band has to be better.
const ERROR_MULTIPLE: f64 = 2.0;

/// Lowest share of the limit that remains after one adjustment.
const MAX_DECREASE: f64 = 0.7;

/// Share of the slots by which the limit rises in an adjustment.
const INCREASE_SHARE: f64 = 0.04;

/// Recent runs that began with a similar number of runs at once.
#[derive(Debug, Clone, Copy, Default)]
struct Band {
    weight: f64,
    at_once: f64,
    slowdown: f64,
    variance: f64,
    updated_at: Tick,
}

impl Band {
    fn record(&mut self, at_once: f64, slowdown: f64, now: Tick) {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weight = self.weight * (-age / BAND_LIFETIME.as_secs_f64()).exp() + 1.0;
        let share = 1.0 / self.weight;
        let before = self.slowdown;
        self.at_once += share * (at_once - self.at_once);
        self.slowdown += share * (slowdown - before);
        let deviation = (slowdown - before) * (slowdown - self.slowdown);
        self.variance += share * (deviation - self.variance);
        self.updated_at = now;
    }

    fn is_evident(&self, now: Tick) -> bool {
        self.weight >= MIN_BAND_RUNS && now.since(self.updated_at) < BAND_FRESHNESS
    }

    fn is_known(&self, now: Tick) -> bool {
        self.weight >= MIN_BAND_RUNS && now.since(self.updated_at) < BAND_MEMORY
    }

    fn throughput(&self) -> f64 {
        self.at_once / self.slowdown.max(f64::EPSILON)
    }

    /// Returns the variance of the mean slow-down relative to its square.
    fn relative_error_squared(&self) -> f64 {
        self.variance / (self.weight * self.slowdown.powi(2)).max(f64::EPSILON)
    }
}

/// Run time of a route's short runs, with which its other runs are compared.
#[derive(Debug, Clone, Copy)]
struct Floor {
    ms: f64,
    runs: u32,
}

/// Identifies a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// A run that hasn't ended.
#[derive(Debug)]
struct Running {
    route: RouteName,
    objective_at: Tick,
    started_at: Tick,
    at_once: usize,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The backend server answered.
    Answered,
    /// It didn't, or the caller left: the time says nothing about the backend server.
    Unanswered,
}

/// The learned limit of one backend server.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    bands: [Band; BANDS],
    floors: HashMap<RouteName, Floor>,
    running: BTreeMap<RunId, Running>,
    next_run: u64,
    adjusted_at: Tick,
    agreements: u32,
    trial_at: Tick,
    trial_pause: Duration,
}

impl ConcurrencyLimit {
    /// Creates the limit of a backend server that nothing is known of: its slots.
    pub fn new(slots: u32, now: Tick) -> Self {
        Self {
            slots: slots.max(1),
            limit: f64::from(slots.max(1)),
            bands: [Band::default(); BANDS],
            floors: HashMap::new(),
            running: BTreeMap::new(),
            next_run: 0,
            adjusted_at: now,
            agreements: 0,
            trial_at: now,
            trial_pause: TRIAL_PAUSE,
        }
    }

    /// Returns the number of requests that the backend server handles well at once, between 1
    /// and its slots.
    pub fn limit(&self) -> u32 {
        (self.limit.round() as u32).clamp(1, self.slots)
    }

    /// Starts afresh for a backend server that was replaced, or whose slots have changed. Runs
    /// that haven't ended stay counted.
    pub fn reset(&mut self, slots: u32, now: Tick) {
        let running = std::mem::take(&mut self.running);
        let next_run = self.next_run;
        *self = Self { running, next_run, ..Self::new(slots, now) };
    }

    /// Returns the stated number of slots that the limit was created with.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Records the start of a run whose answer is wanted until `objective_at`.
    pub fn begin(&mut self, route: &RouteName, objective_at: Tick, now: Tick) -> RunId {
        let id = RunId(self.next_run);
        self.next_run += 1;
        let at_once = self.running.len() + 1;
        let run = Running { route: route.clone(), objective_at, started_at: now, at_once };
        self.running.insert(id, run);
        id
    }

    /// Records the end of a run. Returns whether the limit changed.
    pub fn end(&mut self, id: RunId, end: RunEnd, now: Tick) -> bool {
        let at_once_at_end = self.running.len();
        let Some(run) = self.running.remove(&id) else { return false };
        if end == RunEnd::Answered {
            let at_once = (run.at_once + at_once_at_end) as f64 / 2.0;
            let run_ms = now.since(run.started_at).as_secs_f64() * 1_000.0;
            self.record(&run.route, run_ms, at_once, now);
        }
        if now.since(self.adjusted_at) < ADJUST_INTERVAL {
            return false;
        }
        self.adjusted_at = now;
        let before = self.limit();
        self.adjust(now);
        before != self.limit()
    }

    /// Returns how many requests may run at once while `running` do: the limit, or one more than
    /// run, up to the slots, unless that is expected to make a run miss its objective that
    /// would meet it within the limit.
    pub fn allowed(&self, running: u32) -> u32 {
        let next = running.saturating_add(1).min(self.slots);
        if next <= self.limit() || self.harms(f64::from(next)) { self.limit() } else { next }
    }

    fn harms(&self, next: f64) -> bool {
        let (within, beyond) = (self.slowdown_at(self.limit), self.slowdown_at(next));
        let is_harmed = |run: &Running| {
            let Some(floor) = self.floors.get(&run.route) else { return false };
            let ends_at =
                |slowdown| run.started_at + Duration::from_secs_f64(floor.ms * slowdown / 1_000.0);
            ends_at(within) <= run.objective_at && ends_at(beyond) > run.objective_at
        };
        self.running.values().any(is_harmed)
    }

    fn record(&mut self, route: &RouteName, run_ms: f64, at_once: f64, now: Tick) {
        if self.floors.len() >= MAX_ROUTES && !self.floors.contains_key(route) {
            self.floors.clear();
        }
        let band = self.band_of(at_once);
        let first = Floor { ms: run_ms, runs: 0 };
        let floor = self.floors.entry(route.clone()).or_insert(first);
        floor.runs = floor.runs.saturating_add(1);
        let weight = if run_ms < floor.ms { SHORTER_RUN_WEIGHT } else { LONGER_RUN_WEIGHT };
        floor.ms += weight * (run_ms - floor.ms);
        if floor.runs < MIN_ROUTE_RUNS || floor.ms <= 0.0 {
            return;
        }
        let slowdown = run_ms / floor.ms;
        self.bands[band].record(at_once, slowdown, now);
    }

    fn band_of(&self, at_once: f64) -> usize {
        let share = (at_once - 0.5).max(0.0) / f64::from(self.slots);
        ((share * BANDS as f64) as usize).min(BANDS - 1)
    }

    /// Returns the slow-down of the highest known band up to a number of runs at once, or else
    /// of the lowest one.
    fn slowdown_at(&self, at_once: f64) -> f64 {
        let known = |band: &&Band| band.weight >= MIN_BAND_RUNS;
        let bands = &self.bands[..=self.band_of(at_once)];
        let below = bands.iter().rfind(known);
        below.or_else(|| self.bands.iter().find(known)).map_or(1.0, |band| band.slowdown)
    }

    /// Lowers the limit towards the band that yields most, once it was found better than the
    /// highest one several times in a row; raises it a little otherwise.
    fn adjust(&mut self, now: Tick) {
        let Some(target) = self.better_band(now) else {
            self.agreements = 0;
            let slots = f64::from(self.slots);
            self.limit = (self.limit + slots * INCREASE_SHARE).min(slots);
            return;
        };
        self.agreements += 1;
        if self.agreements < AGREEMENTS || target >= self.limit {
            return;
        }
        self.limit = target.max(self.limit * MAX_DECREASE).max(1.0);
        self.trial_pause = match self.is_trial(now) {
            true => (self.trial_pause * 2).min(BAND_MEMORY),
            false => TRIAL_PAUSE,
        };
        self.trial_at = now + self.trial_pause;
    }

    /// Returns whether only one band has recent runs, so that it could be compared only with
    /// what is remembered. Whether that still holds shows once the limit was lowered.
    fn is_trial(&self, now: Tick) -> bool {
        self.bands.iter().filter(|band| band.is_evident(now)).count() == 1
    }

    /// Returns the number of runs at once of the lowest band that yields nearly as much as any,
    /// if the highest one yields no more than it.
    fn better_band(&self, now: Tick) -> Option<f64> {
        let is_trial = self.is_trial(now) && now >= self.trial_at;
        let top = self.bands.iter().rposition(|band| band.is_evident(now))?;
        let (lower, top) = (&self.bands[..top], &self.bands[top]);
        let is_compared = |band: &&Band| match is_trial {
            true => band.is_known(now),
            false => band.is_evident(now),
        };
        let is_better = |band: &&Band| {
            let error = (band.relative_error_squared() + top.relative_error_squared()).sqrt();
            band.throughput() >= top.throughput() * (THROUGHPUT_SHARE + ERROR_MULTIPLE * error)
        };
        let better: Vec<&Band> = lower.iter().filter(is_compared).filter(is_better).collect();
        let highest = better.iter().map(|band| band.throughput()).fold(0.0, f64::max);
        let lowest = better.iter().find(|band| band.throughput() >= THROUGHPUT_SHARE * highest)?;
        Some(lowest.at_once)
    }
}
