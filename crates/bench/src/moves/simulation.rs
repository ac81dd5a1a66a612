//! Simulates a move of one service, with randomly generated calls, under one
//! strategy.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use savorykeel_policy::{
    ids::{BackendVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::entry::Stamp,
    moves::{
        capacity::Capacity,
        evidence::{COLD_START, Ending, Observation, Report},
        state::BadReason,
    },
    time::WallMillis,
};

use super::{
    draw::{log_uniform, normal, poisson},
    family::Family,
    strategy::{Driver, Strategy, StrategyInput},
};

/// Number of slots of each instance.
const SLOTS: u32 = 20;

/// Number of availability zones of the service.
const ZONES: usize = 3;

/// Time in seconds for which the simulation goes on after the due time `by`, or after
/// the start of the fault if that is later.
const OBSERVED_AFTER_DUE: u64 = 900;

/// Load above which the load-dependent fault occurs, as a fraction of an instance's
/// load when the new version carries all traffic.
const FAULT_LOAD_FRACTION: f64 = 0.6;

/// The outcome of one move.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    /// Whether all traffic had reached the new version at the due time.
    pub(crate) is_on_time: bool,
    /// Whether the new version was rolled back.
    pub(crate) is_rolled_back: bool,
    /// Seconds from the first sign of the fault to the verdict.
    pub(crate) seconds_to_verdict: Option<f64>,
    /// Largest share of the new version, in thousandths, from the first sign of the
    /// fault to the verdict.
    pub(crate) peak_permille: u16,
    /// Calls on the new version while the fault was active.
    pub(crate) exposed_calls: u64,
    /// Calls that failed or were slowed down because of the fault.
    pub(crate) harmed_calls: u64,
    /// Calls per second that meet the fault when all traffic is on the new version.
    pub(crate) fault_rate: f64,
    /// Calls on the new version until the verdict or the end of the simulation.
    pub(crate) new_calls: u64,
    /// Why the new version was rolled back.
    pub(crate) reason: Option<BadReason>,
    /// Number of times that the new version was compared again after the move was done.
    pub(crate) rechecks: u32,
}

#[derive(Debug, Clone)]
struct Route {
    name: RouteName,
    weight: f64,
    median_ms: f64,
    spread: f64,
}

#[derive(Debug, Clone)]
struct Instance {
    report: Report,
    zone: usize,
    is_new: bool,
    speed: f64,
    started: u64,
    down_until: u64,
    crash_at: Option<u64>,
    busy_ms: f64,
    load: f64,
}

/// The simulation of one service with an old and a new version.
pub(crate) struct Simulation {
    family: Family,
    rng: StdRng,
    routes: Vec<Route>,
    instances: Vec<Instance>,
    rate: f64,
    base_failure_rate: f64,
    new_speed: f64,
    cold_seconds: u64,
    bad_route: usize,
    by: u64,
    end: u64,
    fault_from: u64,
    disturbance_period: std::ops::Range<u64>,
    disturbed_zone: usize,
}

impl Simulation {
    /// Draws a service of the family; the same seed gives the same service.
    pub(crate) fn new(family: Family, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) ^ family as u64);
        let by = rng.random_range(300..1_200);
        let rate = match family {
            Family::GoodLowTraffic => log_uniform(&mut rng, 0.02, 0.2),
            _ => log_uniform(&mut rng, 20.0, 200.0),
        };
        let fault_from = match family {
            Family::BadAfterHours => by + rng.random_range(7_200..10_800),
            Family::BadOneRouteLater => by + rng.random_range(60..300),
            Family::Slow2xLater => by + 1_800,
            _ => 0,
        };
        let disturbed_from = rng.random_range(10..by + 300);
        let disturbance_period = disturbed_from..disturbed_from + rng.random_range(5..240);
        let routes = (0..family.routes()).map(|i| draw_route(&mut rng, i)).collect();
        let per_version = rng.random_range(3..6);
        let instances =
            (0..2 * per_version).map(|i| draw_instance(&mut rng, i, i >= per_version)).collect();
        Self {
            family,
            routes,
            instances,
            rate,
            base_failure_rate: log_uniform(&mut rng, 0.000_1, 0.002),
            new_speed: rng.random_range(0.95..1.1),
            cold_seconds: rng.random_range(3..12),
            bad_route: rng.random_range(0..family.routes()),
            by,
            end: (by + OBSERVED_AFTER_DUE).max(fault_from + OBSERVED_AFTER_DUE),
            fault_from,
            disturbance_period,
            disturbed_zone: rng.random_range(0..ZONES),
            rng,
        }
    }

    /// Simulates the move under a strategy, second by second.
    pub(crate) fn run(mut self, strategy: Strategy) -> Outcome {
        let mut driver = Driver::new(strategy, self.routes.len());
        let mut outcome = Outcome { fault_rate: self.fault_rate(), ..Outcome::default() };
        let mut first_fault: Option<u64> = None;
        for now in 0..self.end {
            self.apply_crashes(now);
            let share = driver.share();
            let harmed_before = outcome.harmed_calls;
            let exposed_before = outcome.exposed_calls;
            self.simulate_second(now, share, &mut outcome);
            let is_fault_visible =
                outcome.harmed_calls > harmed_before || self.has_crashed_instance(now);
            if is_fault_visible && first_fault.is_none() {
                first_fault = Some(now);
            }
            if first_fault.is_some() && outcome.exposed_calls > exposed_before {
                outcome.peak_permille = outcome.peak_permille.max(share);
            }
            driver.evaluate(&mut self.strategy_input(now));
            if now == self.by {
                outcome.is_on_time = driver.is_done() && !driver.is_bad();
            }
            if driver.is_bad() {
                outcome.is_rolled_back = true;
                outcome.reason = driver.reason();
                let since = first_fault.unwrap_or(now);
                outcome.seconds_to_verdict = Some((now - since) as f64 + 1.0);
                outcome.is_on_time &= now > self.by && self.family.is_good();
                break;
            }
        }
        outcome.rechecks = driver.rechecks();
        outcome
    }

    fn fault_rate(&self) -> f64 {
        let total: f64 = self.routes.iter().map(|route| route.weight).sum();
        match self.family {
            Family::BadOneRoute | Family::BadOneRouteLater => {
                self.rate * self.routes[self.bad_route].weight / total
            }
            _ => self.rate,
        }
    }

    fn strategy_input(&mut self, now: u64) -> StrategyInput<'_> {
        let slots = |is_new: bool| {
            let live = self.instances.iter().filter(|i| i.is_new == is_new && now >= i.down_until);
            live.count() as u32 * SLOTS
        };
        StrategyInput {
            now: now + 1,
            by: WallMillis(self.by * 1_000),
            capacity: Capacity { new_slots: slots(true), old_slots: slots(false) },
            reports: self.instances.iter().map(|i| &i.report).collect(),
            rng: &mut self.rng,
        }
    }

    fn has_crashed_instance(&self, now: u64) -> bool {
        self.family == Family::CrashOnStart && self.instances.iter().any(|i| i.down_until > now)
    }

    fn apply_crashes(&mut self, now: u64) {
        if self.family != Family::CrashOnStart {
            return;
        }
        for instance in self.instances.iter_mut().filter(|i| i.is_new) {
            let crash_at = *instance.crash_at.get_or_insert(now + self.rng.random_range(2..8));
            if now < crash_at {
                continue;
            }
            instance.report.record_crash();
            instance.down_until = now + self.rng.random_range(5..15);
            instance.started = instance.down_until;
            instance.crash_at = Some(instance.down_until + self.rng.random_range(2..8));
        }
    }

    fn simulate_second(&mut self, now: u64, share: u16, outcome: &mut Outcome) {
        for instance in &mut self.instances {
            instance.load = instance.busy_ms / 1_000.0 / f64::from(SLOTS);
            instance.busy_ms = 0.0;
        }
        let expected_calls = self.rate * self.load_factor(now);
        let calls = poisson(&mut self.rng, expected_calls);
        for _ in 0..calls {
            self.simulate_call(now, share, outcome);
        }
    }

    fn load_factor(&self, now: u64) -> f64 {
        let is_peak = self.family == Family::GoodPeak && now > self.by + 120;
        let daily_factor = 1.0 + 0.4 * (now as f64 / 86_400.0 * std::f64::consts::TAU).sin();
        if is_peak { 3.0 * daily_factor } else { daily_factor }
    }

    fn simulate_call(&mut self, now: u64, share: u16, outcome: &mut Outcome) {
        let is_new = self.rng.random_range(0..1_000) < share;
        let zone = self.rng.random_range(0..ZONES);
        let Some(index) = self
            .choose_instance(now, is_new, zone)
            .or_else(|| self.choose_instance(now, false, zone))
        else {
            return;
        };
        let route = self.choose_route();
        let fault = self.current_fault(now, index, route);
        let is_cold_start = now < self.instances[index].started + self.cold_seconds;
        let is_cold_family = self.family == Family::GoodCold;
        let (is_new, age) = {
            let instance = &self.instances[index];
            (instance.is_new, now.saturating_sub(instance.started))
        };
        let mut factor = self.instances[index].speed * fault.latency_factor;
        if is_new {
            factor *= self.new_speed;
            outcome.new_calls += 1;
        }
        if is_new && is_cold_family && is_cold_start {
            factor *= 5.0;
        }
        factor *= 1.0 + self.instances[index].load.min(2.0);
        let Route { median_ms, spread, .. } = self.routes[route];
        let latency_ms = median_ms * factor * (spread * normal(&mut self.rng)).exp();
        let failure_rate = self.base_failure_rate + self.disturbance(now, index);
        let is_by_fault = self.rng.random_bool(fault.failure_rate);
        let is_failed = is_by_fault || self.rng.random_bool(failure_rate.min(1.0));
        if fault.is_active {
            outcome.exposed_calls += 1;
            outcome.harmed_calls += u64::from(is_by_fault || fault.latency_factor > 1.0);
        }
        let observation = Observation {
            ending: if is_failed { Ending::Failed } else { Ending::Ok },
            took: Duration::from_micros((latency_ms * 1_000.0) as u64),
            is_cold: Duration::from_secs(age) < COLD_START,
        };
        let instance = &mut self.instances[index];
        instance.busy_ms += latency_ms;
        instance.report.record(&self.routes[route].name, observation);
    }

    fn choose_instance(&mut self, now: u64, is_new: bool, zone: usize) -> Option<usize> {
        let live = |i: &usize| {
            let instance = &self.instances[*i];
            instance.is_new == is_new && now >= instance.down_until
        };
        let all: Vec<usize> = (0..self.instances.len()).filter(live).collect();
        let same_zone: Vec<usize> =
            all.iter().copied().filter(|i| self.instances[*i].zone == zone).collect();
        let candidates = if same_zone.is_empty() { &all } else { &same_zone };
        (!candidates.is_empty()).then(|| candidates[self.rng.random_range(0..candidates.len())])
    }

    fn choose_route(&mut self) -> usize {
        let total: f64 = self.routes.iter().map(|route| route.weight).sum();
        let mut remaining = self.rng.random_range(0.0..total);
        for (i, route) in self.routes.iter().enumerate() {
            remaining -= route.weight;
            if remaining < 0.0 {
                return i;
            }
        }
        self.routes.len() - 1
    }

    fn current_fault(&self, now: u64, index: usize, route: usize) -> Fault {
        let instance = &self.instances[index];
        let is_route = match self.family {
            Family::BadOneRoute | Family::BadOneRouteLater => route == self.bad_route,
            _ => true,
        };
        let is_time = match self.family {
            Family::Flapping => now % 60 < 10,
            Family::BadAboveLoad => instance.load > FAULT_LOAD_FRACTION * self.full_load(),
            _ => now >= self.fault_from,
        };
        if self.family.is_good() || !instance.is_new || !is_route || !is_time {
            return Fault { is_active: false, failure_rate: 0.0, latency_factor: 1.0 };
        }
        Fault {
            is_active: true,
            failure_rate: self.family.failure_rate(),
            latency_factor: self.family.latency_factor(),
        }
    }

    /// Returns the load of an instance, as a fraction of its slots, when the new
    /// version alone carries all traffic.
    ///
    /// The load-dependent fault is relative to it, so that it occurs in every seed.
    fn full_load(&self) -> f64 {
        let weight: f64 = self.routes.iter().map(|r| r.weight).sum();
        let busy: f64 = self.routes.iter().map(|r| r.weight * r.median_ms).sum::<f64>() / weight;
        let instances = (self.instances.len() / 2) as f64;
        self.rate * busy / 1_000.0 / f64::from(SLOTS) / instances
    }

    fn disturbance(&self, now: u64, index: usize) -> f64 {
        if !self.disturbance_period.contains(&now) {
            return 0.0;
        }
        match self.family {
            Family::GoodDependency => 0.3,
            Family::GoodZone if self.instances[index].zone == self.disturbed_zone => 0.5,
            _ => 0.0,
        }
    }
}

struct Fault {
    is_active: bool,
    failure_rate: f64,
    latency_factor: f64,
}

fn draw_route(rng: &mut StdRng, i: usize) -> Route {
    Route {
        name: RouteName::try_from(format!("route-{i}")).expect("the name is valid"),
        weight: 1.0 / (1.0 + i as f64 / 4.0),
        median_ms: log_uniform(rng, 4.0, 60.0),
        spread: rng.random_range(0.2..0.8),
    }
}

fn draw_instance(rng: &mut StdRng, i: usize, is_new: bool) -> Instance {
    let zone = i % ZONES;
    let version = if is_new { "v2" } else { "v1" };
    let report = Report {
        instance: InstanceName::try_from(format!("i{i}")).expect("the name is valid"),
        stamp: Stamp { incarnation: 1, sequence: 0 },
        zone: ZoneName::try_from(format!("zone-{zone}")).expect("the name is valid"),
        service: ServiceName::try_from("gate").expect("the name is valid"),
        version: BackendVersion::try_from(version).expect("the name is valid"),
        crashes: 0,
        routes: BTreeMap::new(),
    };
    Instance {
        report,
        zone,
        is_new,
        speed: rng.random_range(0.95..1.05),
        started: 0,
        down_until: 0,
        crash_at: None,
        busy_ms: 0.0,
        load: 0.0,
    }
}
