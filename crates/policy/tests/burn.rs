//! Tests of recording calls and of comparing them with objectives.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use savorykeel_policy::{
    burn::{
        BurnReport, CallKey, Cause, Classification, Counts, GroupBurn, MAX_CELLS, NodeCoverage,
        Recorder, Snapshot, Window, classify, report,
    },
    code::Code,
    config::{model::Configuration, raw::RawConfiguration},
    ids::ConfigVersion,
    time::Tick,
};
use yare::parameterized;

const SHED: Classification = Classification::Bad(Cause::Shed);
const SLOW: Classification = Classification::Bad(Cause::Slow);

fn configuration() -> Configuration {
    let raw: RawConfiguration = serde_json::from_value(serde_json::json!({
        "format": 1,
        "services": {
            "gate": {"version": "v1", "objective": {"success": 0.99, "latency_ms": 100, "fast": 0.9}},
            "ring": {"version": "v1", "objective": {"success": 1.0}}
        },
        "routes": []
    }))
    .unwrap();
    Configuration::try_from(raw).unwrap()
}

fn key(route: &str, zone: &str, version: &str) -> CallKey {
    CallKey {
        service: "gate".try_into().unwrap(),
        route: route.try_into().unwrap(),
        zone: Some(zone.try_into().unwrap()),
        version: Some(version.try_into().unwrap()),
    }
}

fn record(
    recorder: &mut Recorder,
    key: &CallKey,
    at: Duration,
    classification: Classification,
    n: usize,
) {
    for _ in 0..n {
        recorder.record(key, Tick(at.as_millis() as u64), classification);
    }
}

fn burn_report(recorder: &Recorder, at: Duration) -> BurnReport {
    let snapshot = recorder.snapshot(Tick(at.as_millis() as u64));
    report(ConfigVersion(7), &configuration(), &snapshot, NodeCoverage::default())
}

fn names(groups: &[GroupBurn]) -> Vec<&str> {
    groups.iter().map(|group| group.name.as_deref().unwrap()).collect()
}

#[parameterized(
    good = { Ok(200), 100, Classification::Good },
    not_found_is_an_answer = { Ok(404), 100, Classification::Good },
    late = { Ok(200), 101, SLOW },
    failed_and_late = { Ok(503), 900, Classification::Bad(Cause::BackendFailure) },
    overloaded = { Err(Code::Overloaded), 1, SHED },
    no_backend_server = { Err(Code::NoBackendServer), 1, SHED },
    unknown = { Err(Code::SettleFailed), 1, Classification::Bad(Cause::Unknown) },
    too_large = { Err(Code::BodyTooLarge), 1, Classification::Ignored },
    cancelled = { Err(Code::Cancelled), 1, Classification::Ignored },
)]
fn call_is_classified_by_the_answer_to_its_caller(
    ended: Result<u16, Code>,
    millis: u64,
    expected: Classification,
) {
    let configuration = configuration();
    let objective = &configuration.services.values().next().unwrap().objective;
    assert_eq!(classify(ended, Duration::from_millis(millis), objective), expected);
}

#[test]
fn burn_rate_is_the_failure_rate_over_the_allowed_rate() {
    let mut recorder = Recorder::default();
    let now = Duration::from_secs(60);
    record(&mut recorder, &key("unlock", "a", "v1"), now, Classification::Good, 90);
    record(&mut recorder, &key("unlock", "b", "v2"), now, SHED, 2);
    record(&mut recorder, &key("state", "b", "v2"), now, SLOW, 8);
    let report = burn_report(&recorder, now);

    let gate = &report.services[0];
    assert_eq!(gate.service.as_str(), "gate");
    let hour = &gate.windows[Window::OneHour as usize];
    assert_eq!(hour.counts, Counts { total: 100, shed: 2, slow: 8, ..Counts::default() });
    assert!((hour.failure_burn - 2.0).abs() < 1e-9, "{}", hour.failure_burn);
    assert!((hour.slow_burn - 0.8).abs() < 1e-9, "{}", hour.slow_burn);
    assert!((gate.budget_spent - 2.0).abs() < 1e-9, "{}", gate.budget_spent);
    assert_eq!(hour.causes.len(), 2);
    assert!((hour.causes[1].share - 0.8).abs() < 1e-9);
    assert_eq!(names(&gate.zones), ["a", "b"]);
    assert_eq!(names(&gate.versions), ["v1", "v2"]);
    assert_eq!(gate.versions[1].windows[0].counts.total, 10);
    assert_eq!(gate.routes.len(), 2);
}

#[test]
fn burn_rate_of_an_objective_without_budget_is_finite() {
    let mut recorder = Recorder::default();
    let mut key = key("ring", "a", "v1");
    key.service = "ring".try_into().unwrap();
    record(&mut recorder, &key, Duration::ZERO, SHED, 1);
    let report = burn_report(&recorder, Duration::ZERO);
    let burn = report.services[1].windows[0].failure_burn;
    assert!(burn.is_finite() && burn > 1_000.0, "{burn}");
}

#[parameterized(
    five_minutes = { Window::FiveMinutes },
    one_hour = { Window::OneHour },
    six_hours = { Window::SixHours },
    three_days = { Window::ThreeDays },
)]
fn call_expires_exactly_at_the_end_of_its_window(window: Window) {
    let mut recorder = Recorder::default();
    record(&mut recorder, &key("unlock", "a", "v1"), Duration::ZERO, SHED, 1);
    let total = |at: Duration| {
        let snapshot = recorder.snapshot(Tick(at.as_millis() as u64));
        snapshot.cells.first().map_or(0, |cell| cell.windows[window as usize].total)
    };
    assert_eq!(total(window.span() - Duration::from_millis(1)), 1);
    assert_eq!(total(window.span()), 0);
}

#[test]
fn number_of_cells_is_bounded_and_no_call_is_lost() {
    let mut recorder = Recorder::default();
    let calls = MAX_CELLS + 500;
    for i in 0..calls {
        let key = key("unlock", "a", &format!("v{i}"));
        record(&mut recorder, &key, Duration::ZERO, SHED, 1);
    }
    let snapshot = recorder.snapshot(Tick(0));
    assert_eq!(snapshot.cells.len(), MAX_CELLS + 1);
    let total: u64 = snapshot.cells.iter().map(|cell| cell.windows[0].total).sum();
    assert_eq!(total, calls as u64);
}

#[test]
fn call_with_a_time_before_the_newest_slot_is_counted() {
    let mut recorder = Recorder::default();
    let key = key("unlock", "a", "v1");
    record(&mut recorder, &key, Duration::from_secs(100), SHED, 1);
    record(&mut recorder, &key, Duration::from_secs(89), SHED, 1);
    let report = burn_report(&recorder, Duration::from_secs(100));
    assert!(report.services[0].windows.iter().all(|window| window.counts.total == 2));
}

#[test]
fn sum_of_snapshots_is_independent_of_order_and_grouping() {
    let mut rng = StdRng::seed_from_u64(11);
    for _ in 0..50 {
        let mut snapshots: Vec<Snapshot> = (0..4).map(|_| random_snapshot(&mut rng)).collect();
        let forward = Snapshot::sum(snapshots.clone());
        let (left, right) = snapshots.split_at(rng.random_range(0..=snapshots.len()));
        let halves = [Snapshot::sum(left.to_vec()), Snapshot::sum(right.to_vec())];
        assert_eq!(Snapshot::sum(halves), forward);
        snapshots.reverse();
        assert_eq!(Snapshot::sum(snapshots), forward);
    }
}

fn random_snapshot(rng: &mut StdRng) -> Snapshot {
    let mut recorder = Recorder::default();
    for _ in 0..rng.random_range(0..40) {
        let routes = ["unlock", "state"];
        let route = routes[rng.random_range(0..routes.len())];
        let key = key(route, &format!("z{}", rng.random_range(0..3)), "v1");
        let at = Duration::from_secs(rng.random_range(0..3_000));
        record(&mut recorder, &key, at, SHED, 1);
    }
    recorder.snapshot(Tick(3_000_000))
}
