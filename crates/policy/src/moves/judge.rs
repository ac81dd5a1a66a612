//! Decides whether the new version is worse than the old one.
//!
//! The bound on false alarms covers all looks, routes and steps of a move
//! together; see `docs/design/0007-judge.md`.

use std::{collections::BTreeMap, time::Duration};

use crate::{ids::RouteName, time::Tick};

use super::{
    eprocess::{Counts, RATIOS, against_old},
    histogram::Histogram,
    question::{Growth, Question, QuestionLimits, Test},
    state::{BadKind, BadReason},
    window::{Stratum, Window},
};

/// Chance that a version no worse than tolerated is ever called bad, for each
/// day that it is watched.
pub const FALSE_ALARM_BOUND: f64 = 0.001;

/// Factor by which the new version may fail more often than the old one.
pub const FAILURE_TOLERANCE: f64 = 1.5;

/// Share of failures that is never called bad.
pub const FAILURE_FLOOR: f64 = 0.001;

/// Factor by which the new version may be slow more often than the old one.
pub const SLOW_TOLERANCE: f64 = 1.1;

/// Largest share of the old version's calls that count as slow.
pub const SLOW_SHARE: f64 = 0.2;

/// Histogram buckets by which the new version may be slower: one is 19%.
pub const SLOW_MARGIN_BUCKETS: usize = 1;

/// Calls of the old version on a route before its latency is compared.
pub const MIN_REFERENCE_CALLS: u64 = 30;

/// Crashes of one instance in a day that say nothing about a version.
pub const CRASHES_PER_DAY: f64 = 4.0;

/// Factor by which the new version may crash more often than the old one.
pub const CRASH_TOLERANCE: f64 = 1.5;

/// Mass that starts with the move.
const FIRST_MASS: f64 = 0.5;

/// Mass that all rechecks share.
const RECHECK_MASS: f64 = 0.25;

/// Mass that starts again in the course of each day.
const DAILY_MASS: f64 = 0.25;

/// Time between two starts of mass.
const RESTART_INTERVAL: Duration = Duration::from_secs(300);

const DAY: Duration = Duration::from_secs(86_400);

/// Parts of the bound that each test takes; they add up to one.
const SERVICE_PART: f64 = 0.2;
const ROUTES_PART: f64 = 0.2;
const CRASH_PART: f64 = 0.2;

/// Evidence, in parts of a verdict, that makes the ramp wait.
const WORRY_SHARE: f64 = 0.02;

/// What the judge makes of the evidence so far.
#[derive(Debug, Clone, PartialEq)]
pub enum Judgement {
    /// Nothing speaks against the new version.
    Clear,
    /// Something speaks against it, not enough for a verdict.
    Worrying,
    /// It is bad.
    Bad(BadReason),
}

/// Watches one move.
#[derive(Debug, Clone)]
pub struct Judge {
    route_count: usize,
    questions: [Question; 2],
    crashes: Test,
    reference: BTreeMap<RouteName, Histogram>,
    mass: f64,
    last_restart: Tick,
    last_look: Tick,
    last_rechecks: u32,
}

impl Judge {
    /// Starts to watch a move of a service with `route_count` routes.
    pub fn new(route_count: usize, now: Tick) -> Self {
        let mut judge = Self {
            route_count: route_count.max(1),
            questions: [Question::new(BadKind::Failing), Question::new(BadKind::Slow)],
            crashes: Test::default(),
            reference: BTreeMap::new(),
            mass: 0.0,
            last_restart: now,
            last_look: now,
            last_rechecks: 0,
        };
        judge.add_mass(FIRST_MASS);
        judge
    }

    /// Takes in one window and judges all so far.
    pub fn look(&mut self, now: Tick, rechecks: u32, window: &Window) -> Judgement {
        self.restart(now, rechecks);
        self.look_at_failures(window);
        self.look_at_latency(window);
        self.look_at_crashes(now, window);
        self.learn(window);
        self.judgement()
    }

    /// Returns the evidence against the version in parts of a verdict.
    pub fn weight(&self) -> f64 {
        self.strongest().map_or(0.0, |(_, value)| value * FALSE_ALARM_BOUND)
    }

    fn add_mass(&mut self, mass: f64) {
        self.mass += mass;
        self.crashes.add_mass(mass);
        for question in &mut self.questions {
            question.service.add_mass(mass);
            question.routes.values_mut().for_each(|test| test.add_mass(mass));
        }
    }

    fn restart(&mut self, now: Tick, rechecks: u32) {
        if now.since(self.last_restart) >= RESTART_INTERVAL {
            self.last_restart = now;
            let starts = DAY.as_secs_f64() / RESTART_INTERVAL.as_secs_f64();
            self.add_mass(DAILY_MASS / starts);
        }
        if rechecks > self.last_rechecks {
            self.last_rechecks = rechecks;
            // The masses of all rechecks add up to RECHECK_MASS.
            self.add_mass(RECHECK_MASS * 0.5_f64.powi(rechecks.div_ceil(2) as i32));
        }
    }

    fn look_at_failures(&mut self, window: &Window) {
        let counts = |stratum: &Stratum| {
            Some(Counts {
                new_run: stratum.new.run,
                new_hits: stratum.new.failed,
                old_run: stratum.old.run,
                old_hits: stratum.old.failed,
            })
        };
        let mass = self.mass;
        let limits = QuestionLimits { tolerance: FAILURE_TOLERANCE, rate: FAILURE_FLOOR };
        self.questions[0].update(window, limits, mass, counts);
    }

    fn look_at_latency(&mut self, window: &Window) {
        let reference = &self.reference;
        let counts = |stratum: &Stratum| {
            let known = reference.get(&stratum.route)?;
            if known.total() < MIN_REFERENCE_CALLS {
                return None;
            }
            let slow_from = known.tail_bucket(SLOW_SHARE);
            Some(Counts {
                new_run: stratum.new.latency.total(),
                new_hits: stratum.new.latency.tail(slow_from + SLOW_MARGIN_BUCKETS),
                old_run: stratum.old.latency.total(),
                old_hits: stratum.old.latency.tail(slow_from),
            })
        };
        let mass = self.mass;
        let rate = SLOW_SHARE * SLOW_TOLERANCE;
        let limits = QuestionLimits { tolerance: SLOW_TOLERANCE, rate };
        self.questions[1].update(window, limits, mass, counts);
    }

    fn look_at_crashes(&mut self, now: Tick, window: &Window) {
        let days = now.since(self.last_look).as_secs_f64() / DAY.as_secs_f64();
        self.last_look = now;
        let expected = CRASHES_PER_DAY * days * window.new_instances as f64;
        let crashes = window.new_crashes as f64;
        // A request that crashes what runs it meets each version as often as
        // calls do; a version that crashes by itself may not get any.
        let counts = Counts {
            new_run: window.new_run() + window.new_instances,
            new_hits: window.new_crashes,
            old_run: window.old_run() + window.old_instances,
            old_hits: window.old_crashes,
        };
        self.crashes.update(&Growth {
            against_old: against_old(counts, CRASH_TOLERANCE),
            against_rate: RATIOS.map(|ratio| crashes * ratio.ln() - expected * (ratio - 1.0)),
        });
    }

    /// Learns the old version's latency after it was used for this window, so
    /// that the bound for slow never depends on the calls compared with it.
    ///
    /// Only windows in which the old version carried most calls count: a version
    /// that is nearly idle is faster than one that carries the load.
    fn learn(&mut self, window: &Window) {
        if window.old_run() < window.new_run() {
            return;
        }
        for (route, tally) in &window.old {
            self.reference.entry(route.clone()).or_default().add(&tally.latency);
        }
    }

    fn judgement(&self) -> Judgement {
        let Some((reason, value)) = self.strongest() else { return Judgement::Clear };
        if value * FALSE_ALARM_BOUND >= 1.0 {
            return Judgement::Bad(reason);
        }
        if value * FALSE_ALARM_BOUND >= WORRY_SHARE {
            Judgement::Worrying
        } else {
            Judgement::Clear
        }
    }

    fn strongest(&self) -> Option<(BadReason, f64)> {
        let crash = BadReason { kind: BadKind::Crashing, route: None };
        let mut found = vec![(crash, self.crashes.value() * CRASH_PART)];
        for question in &self.questions {
            let reason = BadReason { kind: question.kind, route: None };
            found.push((reason, question.service.value() * SERVICE_PART));
            let part = ROUTES_PART / self.route_count as f64;
            for (route, test) in question.routes.iter().take(self.route_count) {
                let reason = BadReason { kind: question.kind, route: Some(route.clone()) };
                found.push((reason, test.value() * part));
            }
        }
        found.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))
    }
}
