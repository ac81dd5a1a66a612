//! Moves that last seconds: stages and the quick verdict.

use std::time::Duration;

use savorykeel_policy::{
    ids::{BackendVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::entry::Stamp,
    moves::{
        evidence::{Ending, Evidence, Observation, Report},
        judge::Judgement,
        quick::QuickJudge,
        short::{ShortInput, instances_for, next_share, settle_time},
        state::{BadKind, Permille},
    },
    time::Tick,
};
use yare::parameterized;

fn version(name: &str) -> BackendVersion {
    BackendVersion::try_from(name).unwrap()
}

fn report(instance: &str, of: &str) -> Report {
    Report {
        instance: InstanceName::try_from(instance).unwrap(),
        stamp: Stamp { incarnation: 1, sequence: 0 },
        zone: ZoneName::try_from("bole").unwrap(),
        service: ServiceName::try_from("orders").unwrap(),
        version: version(of),
        crashes: 0,
        routes: Default::default(),
    }
}

/// Calls of one instance in one second.
#[derive(Clone, Copy)]
struct Calls {
    run: u64,
    failed: u64,
    took_ms: u64,
}

const GOOD: Calls = Calls { run: 20, failed: 0, took_ms: 100 };

fn record(report: &mut Report, calls: Calls) {
    let route = RouteName::try_from("book").unwrap();
    for i in 0..calls.run {
        let ending = if i < calls.failed { Ending::Failed } else { Ending::Ok };
        let took = Duration::from_millis(calls.took_ms);
        report.record(&route, Observation { ending, took, is_cold: false });
    }
}

/// Judges seconds of two old instances and of the new ones.
fn judged(seconds: &[(Calls, &[Calls])]) -> Judgement {
    let mut old = [report("o1", "v1"), report("o2", "v1")];
    let mut new: Vec<Report> =
        (0..seconds[0].1.len()).map(|i| report(&format!("n{i}"), "v2")).collect();
    let mut judge = QuickJudge::default();
    let mut evidence = Evidence::default();
    let mut look = |old: &[Report], new: &[Report], at: u64| {
        for report in old.iter().chain(new) {
            evidence.merge(report.clone());
        }
        judge.evaluate(Tick(at), &evidence, Some(&version("v1")), &version("v2"))
    };
    look(&old, &new, 0);
    let mut last = Judgement::Clear;
    for (i, (old_calls, new_calls)) in seconds.iter().enumerate() {
        old.iter_mut().for_each(|report| record(report, *old_calls));
        new.iter_mut().zip(*new_calls).for_each(|(report, calls)| record(report, *calls));
        last = look(&old, &new, 1_000 * (i as u64 + 1));
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
fn a_version_that_fails_half_of_its_calls_is_found_within_a_second() {
    let bad = Calls { run: 14, failed: 7, ..GOOD };
    assert_eq!(bad_kind(&judged(&[(GOOD, &[bad])])), Some(BadKind::Failing));
}

#[test]
fn a_few_failures_make_the_share_wait() {
    let doubtful = Calls { run: 10, failed: 4, ..GOOD };
    assert_eq!(judged(&[(GOOD, &[doubtful])]), Judgement::Warning);
}

#[test]
fn what_fails_on_both_versions_is_no_fault_of_one() {
    let both = Calls { run: 40, failed: 20, ..GOOD };
    assert_eq!(judged(&[(both, &[both])]), Judgement::Clear);
}

#[test]
fn one_bad_instance_among_several_is_no_fault_of_the_version() {
    let bad = Calls { run: 20, failed: 14, ..GOOD };
    assert_eq!(judged(&[(GOOD, &[bad, GOOD, GOOD])]), Judgement::Warning);
    assert_eq!(bad_kind(&judged(&[(GOOD, &[bad, bad, GOOD])])), Some(BadKind::Failing));
}

#[test]
fn a_version_that_is_several_times_slower_is_found() {
    let slow = Calls { took_ms: 800, ..GOOD };
    let seconds = [(GOOD, &[slow][..]), (GOOD, &[slow])];
    assert_eq!(bad_kind(&judged(&seconds)), Some(BadKind::Slow));
    let both = [(GOOD, &[GOOD][..]), (slow, &[slow]), (slow, &[slow]), (slow, &[slow])];
    assert_eq!(judged(&both[..2]), Judgement::Clear, "both turned slow");
    let usual = Calls { took_ms: 180, ..GOOD };
    assert_eq!(judged(&[(GOOD, &[usual][..]), (GOOD, &[usual])]), Judgement::Clear);
}

#[test]
fn what_was_long_ago_says_nothing() {
    let bad = Calls { run: 14, failed: 7, ..GOOD };
    let (first, later) = ([bad], [GOOD]);
    let mut seconds = vec![(GOOD, &first[..])];
    seconds.extend((0..5).map(|_| (GOOD, &later[..])));
    assert_eq!(judged(&seconds), Judgement::Clear);
}

fn share_at(elapsed_ms: u64, judgement: &Judgement, share: u16) -> u16 {
    next_share(&ShortInput {
        share: Permille(share),
        elapsed: Duration::from_millis(elapsed_ms),
        span: Duration::from_secs(15),
        longest_request: Duration::from_millis(1_200),
        judgement,
        unproven: Permille(60),
        new_instances: 5,
    })
    .0
}

#[parameterized(
    beginning = { 0, 0, 60 },
    first_stage = { 5_000, 60, 60 },
    loaded_stage = { 5_500, 60, 200 },
    still_loaded = { 9_800, 200, 200 },
    all = { 10_200, 200, 1_000 },
    late_start = { 14_000, 0, 1_000 },
    never_falls = { 0, 700, 700 },
)]
fn the_share_rises_in_stages(elapsed_ms: u64, share: u16, expected: u16) {
    assert_eq!(share_at(elapsed_ms, &Judgement::Clear, share), expected);
}

#[test]
fn the_share_does_not_rise_while_anything_speaks_against_the_version() {
    assert_eq!(share_at(14_000, &Judgement::Warning, 60), 60);
}

#[test]
fn a_move_is_done_in_time_with_its_last_request_ended() {
    let longest = Duration::from_millis(1_200);
    let whole_at = (0..15_000).find(|ms| share_at(*ms, &Judgement::Clear, 0) == 1_000).unwrap();
    let done = Duration::from_millis(whole_at) + settle_time(longest);
    assert!(settle_time(longest) > longest);
    assert!(done + Duration::from_secs(1) < Duration::from_secs(15), "{done:?}");
}

#[parameterized(
    small = { 60, 5, 1 },
    one_of_five = { 200, 5, 1 },
    more = { 220, 5, 2 },
    all = { 1_000, 5, 5 },
    single = { 1_000, 1, 1 },
    none = { 60, 0, 1 },
)]
fn a_share_is_concentrated_on_few_instances(share: u16, instances: usize, expected: usize) {
    assert_eq!(instances_for(Permille(share), instances), expected);
}
