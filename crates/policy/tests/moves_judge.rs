//! Tests of the judge and the ramp with small, exact sequences of calls.

use std::{collections::BTreeMap, time::Duration};

use savorykeel_policy::{
    config::model::DueTime,
    ids::{BackendVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::entry::Stamp,
    moves::{
        capacity::Capacity,
        circuit_breaker::{CircuitBreaker, FAILURES_TO_OPEN, MIN_PAUSE},
        evidence::{Ending, Evidence, Observation, Report},
        judge::{Judge, Judgement},
        ramp::{DeadlineNote, EvidenceLevel, MoveDeadline, RampInput, next_share},
        state::{BadKind, Permille},
        window::Increments,
    },
    time::{Tick, WallMillis},
};
use yare::parameterized;

/// Calls and crashes of one version in one second.
#[derive(Clone, Copy)]
struct CallsInSecond {
    run: u64,
    failed: u64,
    took_ms: u64,
    is_cold: bool,
    crashes: u64,
}

const GOOD_CALLS: CallsInSecond =
    CallsInSecond { run: 20, failed: 0, took_ms: 10, is_cold: false, crashes: 0 };
const OLD_CALLS: CallsInSecond = CallsInSecond { run: 100, ..GOOD_CALLS };

fn report(instance: &str, version: &str) -> Report {
    Report {
        instance: InstanceName::try_from(instance).unwrap(),
        stamp: Stamp { incarnation: 1, sequence: 0 },
        zone: ZoneName::try_from("bole").unwrap(),
        service: ServiceName::try_from("orders").unwrap(),
        version: BackendVersion::try_from(version).unwrap(),
        crashes: 0,
        routes: BTreeMap::new(),
    }
}

fn add(report: &mut Report, second: CallsInSecond) {
    let route = RouteName::try_from("book").unwrap();
    for i in 0..second.run {
        let ending = if i < second.failed { Ending::Failed } else { Ending::Ok };
        // Spreads the latencies a little, as real ones are.
        let took = Duration::from_micros(second.took_ms * 1_000 + (i % 10) * 100);
        report.record(&route, Observation { ending, took, is_cold: second.is_cold });
    }
    (0..second.crashes).for_each(|_| report.record_crash());
}

/// Judges two minutes of calls, one window each second, until the first verdict.
fn judge(old: impl Fn(u64) -> CallsInSecond, new: impl Fn(u64) -> CallsInSecond) -> Judgement {
    let (mut old_report, mut new_report) = (report("a", "v1"), report("b", "v2"));
    let mut evidence = Evidence::default();
    let mut increments = Increments::default();
    let mut judge = Judge::new(1, Tick(0));
    let mut last = Judgement::Clear;
    for second in 0..120 {
        evidence.merge(old_report.clone());
        evidence.merge(new_report.clone());
        let now = Tick(second * 1_000);
        let window = increments.advance(
            now,
            &evidence,
            Some(&old_report.version),
            &new_report.version.clone(),
        );
        last = judge.evaluate(now, 0, &window);
        if matches!(last, Judgement::Bad(_)) {
            return last;
        }
        add(&mut old_report, old(second));
        add(&mut new_report, new(second));
    }
    last
}

fn bad_kind(judgement: &Judgement) -> Option<BadKind> {
    match judgement {
        Judgement::Bad(reason) => Some(reason.kind),
        _ => None,
    }
}

#[test]
fn equal_versions_are_judged_clear() {
    assert_eq!(judge(|_| OLD_CALLS, |_| GOOD_CALLS), Judgement::Clear);
}

#[parameterized(
    failing = { CallsInSecond { failed: 4, ..GOOD_CALLS }, BadKind::Failing },
    slow = { CallsInSecond { took_ms: 20, ..GOOD_CALLS }, BadKind::Slow },
    crashing = { CallsInSecond { run: 0, crashes: 1, ..GOOD_CALLS }, BadKind::Crashing },
)]
fn worse_version_is_judged_bad(new: CallsInSecond, expected: BadKind) {
    assert_eq!(bad_kind(&judge(|_| OLD_CALLS, |_| new)), Some(expected));
}

#[test]
fn latency_during_cold_start_is_not_judged() {
    let cold = CallsInSecond { took_ms: 100, is_cold: true, ..GOOD_CALLS };
    let warming = |second| if second < 10 { cold } else { GOOD_CALLS };
    assert_eq!(judge(|_| OLD_CALLS, warming), Judgement::Clear);
    let as_slow_when_warm = CallsInSecond { is_cold: false, ..cold };
    let staying = |second| if second < 10 { as_slow_when_warm } else { GOOD_CALLS };
    assert_eq!(bad_kind(&judge(|_| OLD_CALLS, staying)), Some(BadKind::Slow));
}

#[test]
fn failures_during_cold_start_are_judged() {
    let cold = CallsInSecond { failed: 10, is_cold: true, ..GOOD_CALLS };
    assert_eq!(bad_kind(&judge(|_| OLD_CALLS, |_| cold)), Some(BadKind::Failing));
}

#[test]
fn failing_dependency_of_both_versions_gives_no_verdict() {
    let old = |s| CallsInSecond { failed: if s > 30 { 50 } else { 0 }, ..OLD_CALLS };
    let new = |s| CallsInSecond { failed: if s > 30 { 10 } else { 0 }, ..GOOD_CALLS };
    assert_eq!(bad_kind(&judge(old, new)), None);
}

#[test]
fn request_that_crashes_both_versions_gives_no_verdict() {
    let old = |s| CallsInSecond { crashes: u64::from(s % 5 == 0), ..OLD_CALLS };
    let new = |s| CallsInSecond { crashes: u64::from(s % 25 == 0), ..GOOD_CALLS };
    assert_eq!(bad_kind(&judge(old, new)), None);
}

#[test]
fn single_burst_of_failures_gives_no_verdict() {
    let new = |s| CallsInSecond { failed: if s == 60 { 20 } else { 0 }, ..GOOD_CALLS };
    assert_eq!(bad_kind(&judge(|_| OLD_CALLS, new)), None);
}

#[test]
fn cancelled_calls_are_not_evidence() {
    let route = RouteName::try_from("book").unwrap();
    let mut report = report("b", "v2");
    let took = Duration::from_secs(9);
    report.record(&route, Observation { ending: Ending::Cancelled, took, is_cold: false });
    let counters = &report.routes[&route];
    assert_eq!((counters.run, counters.failed, counters.cancelled), (0, 0, 1));
    assert_eq!(counters.latency.total(), 0);
}

#[test]
fn repeated_and_late_reports_are_ignored() {
    let mut evidence = Evidence::default();
    let mut newer = report("b", "v2");
    add(&mut newer, GOOD_CALLS);
    let older = newer.clone();
    add(&mut newer, GOOD_CALLS);
    assert!(evidence.merge(newer.clone()));
    assert!(!evidence.merge(older));
    assert!(!evidence.merge(newer.clone()));
    assert_eq!(evidence.get(&newer.instance), Some(&newer));
}

#[test]
fn merging_the_changes_restores_the_whole_report() {
    let mut evidence = Evidence::default();
    let mut whole = report("b", "v2");
    add(&mut whole, GOOD_CALLS);
    evidence.merge(whole.clone());
    let before = whole.clone();
    let other = RouteName::try_from("cancel").unwrap();
    let seen = Observation { ending: Ending::Ok, took: Duration::ZERO, is_cold: false };
    whole.record(&other, seen);
    let changes = whole.changes_since(Some(&before));
    assert_eq!(changes.routes.len(), 1);
    evidence.merge(changes);
    assert_eq!(evidence.get(&whole.instance), Some(&whole));
}

fn ramp_input(share: u16, in_step_s: u64, left_s: u64, evidence: EvidenceLevel) -> RampInput {
    RampInput {
        share: Permille(share),
        in_step: Duration::from_secs(in_step_s),
        time_left: Duration::from_secs(left_s),
        evidence,
        unproven_share: Permille(50),
        max_share: Permille::FULL,
    }
}

#[parameterized(
    first_step = { ramp_input(0, 0, 600, EvidenceLevel::Insufficient), 50 },
    waits_for_evidence = { ramp_input(50, 200, 400, EvidenceLevel::Insufficient), 50 },
    rises_when_half_the_time_is_spent = { ramp_input(50, 310, 300, EvidenceLevel::Insufficient), 100 },
    rises_sooner_with_evidence = { ramp_input(50, 110, 490, EvidenceLevel::Sufficient), 100 },
    waits_longer_after_a_warning = { ramp_input(100, 300, 300, EvidenceLevel::Adverse), 100 },
    rises_when_no_time_is_left = { ramp_input(800, 1, 0, EvidenceLevel::Adverse), 1_000 },
    never_falls = { RampInput { max_share: Permille(10), ..ramp_input(400, 99, 0, EvidenceLevel::Sufficient) }, 400 },
    respects_the_ceiling = { RampInput { max_share: Permille(500), ..ramp_input(400, 99, 0, EvidenceLevel::Sufficient) }, 500 },
)]
fn next_share_follows_time_and_evidence(input: RampInput, expected: u16) {
    assert_eq!(next_share(&input), Permille(expected));
}

#[parameterized(
    as_asked = { Some(300_000), DeadlineNote::AsAsked, 300_000 },
    missing = { None, DeadlineNote::Missing, 700_000 },
    past = { Some(50_000), DeadlineNote::Past, 160_000 },
    too_soon = { Some(101_000), DeadlineNote::TooSoon, 110_000 },
    absurd = { Some(u64::MAX), DeadlineNote::TooFar, 86_500_000 },
)]
fn due_time_is_interpreted(by: Option<u64>, note: DeadlineNote, at: u64) {
    let due = MoveDeadline::new(WallMillis(100_000), by.map(|at| DueTime::By(WallMillis(at))));
    assert_eq!((due.note, due.at), (note, WallMillis(at)));
}

#[parameterized(
    none_left = { 0, 60, 0.0, 0 },
    half_the_slots = { 30, 60, 0.0, 1_000 },
    a_tenth_of_the_slots = { 6, 60, 0.0, 200 },
    by_load = { 60, 60, 96.0, 500 },
)]
fn share_is_limited_by_the_capacity_of_instances(new: u32, old: u32, busy: f64, expected: u16) {
    let capacity = Capacity { new_slots: new, old_slots: old };
    assert_eq!(capacity.max_share_at_load(busy), Permille(expected));
}

#[test]
fn breaker_opens_after_consecutive_failures_and_retries_after_a_pause() {
    let mut breaker = CircuitBreaker::default();
    (0..FAILURES_TO_OPEN).for_each(|_| breaker.record(true, Tick(0)));
    assert!(!breaker.allows(Tick(0)));
    assert!(breaker.allows(Tick(0) + MIN_PAUSE));
    breaker.record(true, Tick(0) + MIN_PAUSE);
    assert!(!breaker.allows(Tick(0) + MIN_PAUSE * 2));
    breaker.record(false, Tick(0) + MIN_PAUSE * 3);
    assert!(breaker.allows(Tick(0) + MIN_PAUSE * 3));
}
