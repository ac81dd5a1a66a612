//! The strategies for moving traffic that are compared.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, rngs::StdRng};
use savorykeel_policy::{
    config::model::DueTime,
    ids::BackendVersion,
    membership::quorum::Standing,
    moves::{
        capacity::Capacity,
        evidence::{Evidence, Report},
        histogram::Histogram,
        monitor::{Baseline, MonitorInput, MoveMonitor, SUFFICIENT_CALLS},
        ramp::{EvidenceLevel, MoveDeadline, RampInput, next_share},
        state::{BadKind, BadReason, MoveState, Permille},
        window::{Increments, Tally, Window},
    },
    time::{Tick, WallMillis},
};

use super::stats::two_proportion_p_value;

/// Number of nodes that judge one move at the same time.
const JUDGING_NODES: usize = 2;

/// Probability that a node has received an instance's newest report at an evaluation.
const REPORT_ARRIVAL_PROBABILITY: f64 = 0.8;

/// Share of the new version before there is evidence.
const UNPROVEN_SHARE: Permille = Permille(50);

/// Length of one window of the fixed-window test, in seconds.
const FIXED_WINDOW: u64 = 30;

/// Significance level of the fixed-window test, divided over all windows until the
/// due time, and over the routes and the two tests of each.
const FIXED_LEVEL: f64 = 0.005;

/// Minimum number of calls on each version for a test.
const MIN_TESTED_CALLS: u64 = 50;

/// Significance level of the canary's test at the end of each step.
const CANARY_LEVEL: f64 = 0.01;

/// Shares of the canary's steps, in thousandths.
const CANARY_STEPS: [u16; 4] = [50, 250, 500, 1_000];

/// A strategy for moving traffic to a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Strategy {
    /// The product's judge and ramp.
    Savorykeel,
    /// The product's ramp, with a two-proportion test at the end of each window.
    FixedWindow,
    /// Four fixed steps, with a two-proportion test at the end of each but the last.
    Canary,
    /// A share that grows in proportion to time, without any test.
    Linear,
}

/// The input of a strategy in each second.
pub(crate) struct StrategyInput<'a> {
    /// Seconds since the start of the move.
    pub(crate) now: u64,
    /// Due time of the move; the move starts at 0.
    pub(crate) by: WallMillis,
    /// Available slots of both versions.
    pub(crate) capacity: Capacity,
    /// Newest reports of all instances.
    pub(crate) reports: Vec<&'a Report>,
    /// Source of the random delays of reports.
    pub(crate) rng: &'a mut StdRng,
}

/// A node that judges the move, with its own view of the evidence.
#[derive(Default)]
struct Node {
    evidence: Evidence,
    state: MoveState,
    monitor: Option<MoveMonitor>,
}

/// Runs one move under a strategy.
pub(crate) struct Driver {
    strategy: Strategy,
    routes: usize,
    nodes: Vec<Node>,
    state: MoveState,
    evidence: Evidence,
    increments: Increments,
    window: Totals,
    step: usize,
    step_since: u64,
    step_calls: u64,
}

/// Counts of calls of both versions by route, over the current window.
#[derive(Default)]
struct Totals {
    new: BTreeMap<String, Tally>,
    old: BTreeMap<String, Tally>,
}

impl Totals {
    fn add(&mut self, window: &Window) {
        for (route, tally) in &window.new {
            self.new.entry(route.to_string()).or_default().add_tally(tally);
        }
        for (route, tally) in &window.old {
            self.old.entry(route.to_string()).or_default().add_tally(tally);
        }
    }

    fn sum(tallies: &BTreeMap<String, Tally>) -> Tally {
        let mut sum = Tally::default();
        tallies.values().for_each(|tally| sum.add_tally(tally));
        sum
    }

    fn is_worse(&self, level: f64) -> bool {
        let (new, old) = (Self::sum(&self.new), Self::sum(&self.old));
        let by_route = self.new.iter().filter_map(|(route, new)| Some((new, self.old.get(route)?)));
        by_route.chain([(&new, &old)]).any(|(new, old)| is_worse(new, old, level))
    }
}

fn is_worse(new: &Tally, old: &Tally, level: f64) -> bool {
    if new.run < MIN_TESTED_CALLS || old.run < MIN_TESTED_CALLS {
        return false;
    }
    let failure_p_value = two_proportion_p_value(new.failed, new.run, old.failed, old.run);
    let slow_from = slow_from(&old.latency);
    let slow_p_value = two_proportion_p_value(
        new.latency.tail(slow_from),
        new.latency.total(),
        old.latency.tail(slow_from),
        old.latency.total(),
    );
    failure_p_value < level || slow_p_value < level
}

fn slow_from(reference: &Histogram) -> usize {
    reference.tail_bucket(0.1)
}

impl Driver {
    /// Starts a move of a service with `routes` routes.
    pub(crate) fn new(strategy: Strategy, routes: usize) -> Self {
        Self {
            strategy,
            routes,
            nodes: (0..JUDGING_NODES).map(|_| Node::default()).collect(),
            state: MoveState::default(),
            evidence: Evidence::default(),
            increments: Increments::default(),
            window: Totals::default(),
            step: 0,
            step_since: 0,
            step_calls: 0,
        }
    }

    /// Returns the new version's share in thousandths.
    pub(crate) fn share(&self) -> u16 {
        self.state.effective_share().0
    }

    /// Returns whether all traffic has reached the new version.
    pub(crate) fn is_done(&self) -> bool {
        self.state.done
    }

    /// Returns whether the new version was rolled back.
    pub(crate) fn is_bad(&self) -> bool {
        self.state.bad.is_some()
    }

    /// Returns why the new version was rolled back.
    pub(crate) fn reason(&self) -> Option<BadReason> {
        self.state.bad.clone()
    }

    /// Returns how often the new version was compared again after the move was done.
    pub(crate) fn rechecks(&self) -> u32 {
        self.state.rechecks.div_ceil(2)
    }

    /// Evaluates the move in one second and updates its state.
    pub(crate) fn evaluate(&mut self, input: &mut StrategyInput<'_>) {
        match self.strategy {
            Strategy::Savorykeel => self.evaluate_savorykeel(input),
            Strategy::FixedWindow => self.evaluate_fixed_window(input),
            Strategy::Canary => self.evaluate_canary(input),
            Strategy::Linear => self.evaluate_linear(input),
        }
    }

    fn evaluate_savorykeel(&mut self, input: &mut StrategyInput<'_>) {
        let (old, new) = versions();
        for node in &mut self.nodes {
            for report in &input.reports {
                if input.rng.random_bool(REPORT_ARRIVAL_PROBABILITY) {
                    node.evidence.merge((*report).clone());
                }
            }
            // A node receives the other nodes' state with a delay of one second.
            node.state.merge(&self.state);
            let monitor_input = MonitorInput {
                tick: Tick(input.now * 1_000),
                wall: WallMillis(input.now * 1_000),
                due: Some(DueTime::By(input.by)),
                since: None,
                new_instances: 1,
                longest_request: Duration::from_secs(5),
                unproven_share: UNPROVEN_SHARE,
                old: Some(&old),
                baseline: Baseline::Known,
                may_old_be_cut_off: false,
                standing: Standing::Majority,
                new: &new,
                capacity: input.capacity,
                evidence: &node.evidence,
            };
            let routes = self.routes;
            let state = node.state.clone();
            let monitor = node
                .monitor
                .get_or_insert_with(|| MoveMonitor::new(routes, &monitor_input, &state));
            let proposed = monitor.evaluate(&monitor_input, &node.state);
            node.state.merge(&proposed);
        }
        for node in &self.nodes {
            self.state.merge(&node.state);
        }
    }

    fn advance(&mut self, input: &StrategyInput<'_>) -> Window {
        let (old, new) = versions();
        for report in &input.reports {
            self.evidence.merge((*report).clone());
        }
        let window =
            self.increments.advance(Tick(input.now * 1_000), &self.evidence, Some(&old), &new);
        self.window.add(&window);
        window
    }

    fn evaluate_fixed_window(&mut self, input: &StrategyInput<'_>) {
        self.step_calls += self.advance(input).new_run();
        if input.now.is_multiple_of(FIXED_WINDOW) {
            let windows = (input.by.0 / 1_000).div_ceil(FIXED_WINDOW) as f64;
            let tests_per_window = 2.0 * (self.routes as f64 + 1.0);
            self.roll_back_if_worse(FIXED_LEVEL / windows / tests_per_window);
            self.window = Totals::default();
        }
        let due = MoveDeadline::new(WallMillis(0), Some(DueTime::By(input.by)));
        let evidence = if self.step_calls >= SUFFICIENT_CALLS {
            EvidenceLevel::Sufficient
        } else {
            EvidenceLevel::Insufficient
        };
        let share = next_share(&RampInput {
            share: self.state.share,
            in_step: std::time::Duration::from_secs(input.now - self.step_since),
            time_left: due.time_left(WallMillis(input.now * 1_000)),
            evidence,
            unproven_share: UNPROVEN_SHARE,
            max_share: input.capacity.max_share(),
        });
        if share != self.state.share {
            self.state.share = share;
            self.step_since = input.now;
            self.step_calls = 0;
        }
        self.state.done |= share == Permille::FULL;
    }

    fn evaluate_canary(&mut self, input: &StrategyInput<'_>) {
        self.advance(input);
        let step_time = input.by.0 / 1_000 / CANARY_STEPS.len() as u64;
        self.state.share = Permille(CANARY_STEPS[self.step]);
        let is_over = input.now - self.step_since >= step_time;
        if !is_over || self.step + 1 == CANARY_STEPS.len() {
            return;
        }
        self.roll_back_if_worse(CANARY_LEVEL);
        self.window = Totals::default();
        self.step_since = input.now;
        self.step += 1;
        self.state.done = self.step + 1 == CANARY_STEPS.len();
    }

    fn evaluate_linear(&mut self, input: &StrategyInput<'_>) {
        let share = input.now as f64 * 1_000.0 / input.by.0 as f64;
        self.state.share = Permille::from_share(share);
        self.state.done = self.state.share == Permille::FULL;
    }

    fn roll_back_if_worse(&mut self, level: f64) {
        if self.window.is_worse(level) {
            self.state.bad = Some(BadReason { kind: BadKind::Failing, route: None });
        }
    }
}

fn versions() -> (BackendVersion, BackendVersion) {
    let version = |name| BackendVersion::try_from(name).expect("the name is valid");
    (version("v1"), version("v2"))
}
