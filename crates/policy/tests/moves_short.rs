//! Tests of moves that last seconds: the stages of the share and the quick judge.

use std::time::Duration;

use savorykeel_policy::{
    ids::{BackendVersion, InstanceName, RouteName, ServiceName, ZoneName},
    membership::entry::Stamp,
    moves::{
        evidence::{Ending, Evidence, Observation, Report},
        judge::Judgement,
        quick::QuickJudge,
        short::{ShortInput, concentrated_instances, next_share, settle_time},
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

/// Calls that one instance ran in one second.
#[derive(Clone, Copy)]
struct Calls {
    run: u64,
    failed: u64,
    took_ms: u64,
}

const GOOD: Calls = Calls { run: 20, failed: 0, took_ms: 100 };

fn record_calls(report: &mut Report, calls: Calls) {
    let route = RouteName::try_from("book").unwrap();
    for i in 0..calls.run {
        let ending = if i < calls.failed { Ending::Failed } else { Ending::Ok };
        let took = Duration::from_millis(calls.took_ms);
        report.record(&route, Observation { ending, took, is_cold: false });
    }
}

/// Returns the last judgement after feeding the calls of each second to a judge.
///
/// Each entry has the calls of each of two old instances, and the calls of each
/// new one.
fn judge_seconds(seconds: &[(Calls, &[Calls])]) -> Judgement {
    let mut old = [report("o1", "v1"), report("o2", "v1")];
    let mut new: Vec<Report> =
        (0..seconds[0].1.len()).map(|i| report(&format!("n{i}"), "v2")).collect();
    let mut judge = QuickJudge::default();
    let mut evidence = Evidence::default();
    let mut evaluate = |old: &[Report], new: &[Report], at: u64| {
        for report in old.iter().chain(new) {
            evidence.merge(report.clone());
        }
        judge.evaluate(Tick(at), &evidence, Some(&version("v1")), &version("v2"))
    };
    evaluate(&old, &new, 0);
    let mut last = Judgement::Clear;
    for (i, (old_calls, new_calls)) in seconds.iter().enumerate() {
        old.iter_mut().for_each(|report| record_calls(report, *old_calls));
        new.iter_mut().zip(*new_calls).for_each(|(report, calls)| record_calls(report, *calls));
        last = evaluate(&old, &new, 1_000 * (i as u64 + 1));
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
fn version_failing_half_of_its_calls_is_detected_within_one_second() {
    let bad = Calls { run: 14, failed: 7, ..GOOD };
    assert_eq!(bad_kind(&judge_seconds(&[(GOOD, &[bad])])), Some(BadKind::Failing));
}

#[test]
fn few_failures_give_a_warning() {
    let doubtful = Calls { run: 10, failed: 4, ..GOOD };
    assert_eq!(judge_seconds(&[(GOOD, &[doubtful])]), Judgement::Warning);
}

#[test]
fn failures_on_both_versions_are_not_attributed_to_the_new_one() {
    let both = Calls { run: 40, failed: 20, ..GOOD };
    assert_eq!(judge_seconds(&[(both, &[both])]), Judgement::Clear);
}

#[test]
fn one_bad_instance_of_three_does_not_condemn_the_version() {
    let bad = Calls { run: 20, failed: 14, ..GOOD };
    assert_eq!(judge_seconds(&[(GOOD, &[bad, GOOD, GOOD])]), Judgement::Warning);
    assert_eq!(bad_kind(&judge_seconds(&[(GOOD, &[bad, bad, GOOD])])), Some(BadKind::Failing));
}

#[test]
fn version_several_times_slower_is_detected() {
    let slow = Calls { took_ms: 800, ..GOOD };
    let seconds = [(GOOD, &[slow][..]), (GOOD, &[slow])];
    assert_eq!(bad_kind(&judge_seconds(&seconds)), Some(BadKind::Slow));
    let both = [(GOOD, &[GOOD][..]), (slow, &[slow]), (slow, &[slow]), (slow, &[slow])];
    assert_eq!(judge_seconds(&both[..2]), Judgement::Clear, "both versions turned slow");
    let usual = Calls { took_ms: 180, ..GOOD };
    assert_eq!(judge_seconds(&[(GOOD, &[usual][..]), (GOOD, &[usual])]), Judgement::Clear);
}

#[test]
fn old_failures_are_ignored() {
    let bad = Calls { run: 14, failed: 7, ..GOOD };
    let (first, later) = ([bad], [GOOD]);
    let mut seconds = vec![(GOOD, &first[..])];
    seconds.extend((0..5).map(|_| (GOOD, &later[..])));
    assert_eq!(judge_seconds(&seconds), Judgement::Clear);
}

fn share_at(elapsed_ms: u64, judgement: &Judgement, share: u16) -> u16 {
    share_after_calls(100, elapsed_ms, judgement, share)
}

fn share_after_calls(step_calls: u64, elapsed_ms: u64, judgement: &Judgement, share: u16) -> u16 {
    next_share(&ShortInput {
        share: Permille(share),
        step_calls,
        elapsed: Duration::from_millis(elapsed_ms),
        span: Duration::from_secs(15),
        longest_request: Duration::from_millis(1_200),
        judgement,
        unproven_share: Permille(60),
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
fn share_rises_in_stages(elapsed_ms: u64, share: u16, expected: u16) {
    assert_eq!(share_at(elapsed_ms, &Judgement::Clear, share), expected);
}

/// Guards against a version that gets all calls before it has run any: its instances were out of
/// reach while the time for the first stages passed.
#[parameterized(
    before_any_share = { 10_200, 0, 60 },
    at_the_first_share = { 10_200, 60, 60 },
    loaded = { 10_200, 200, 200 },
    out_of_time = { 11_200, 60, 1_000 },
)]
fn share_does_not_rise_without_calls(elapsed_ms: u64, share: u16, expected: u16) {
    assert_eq!(share_after_calls(9, elapsed_ms, &Judgement::Clear, share), expected);
}

#[test]
fn share_does_not_rise_after_a_warning() {
    assert_eq!(share_at(14_000, &Judgement::Warning, 60), 60);
}

#[test]
fn move_is_done_one_second_early_and_outlasts_the_longest_request() {
    let longest = Duration::from_millis(1_200);
    let full_at = (0..15_000).find(|ms| share_at(*ms, &Judgement::Clear, 0) == 1_000).unwrap();
    let span = Duration::from_secs(15);
    let done = Duration::from_millis(full_at) + settle_time(longest, span);
    assert!(settle_time(longest, span) > longest);
    assert!(done + Duration::from_secs(1) < span, "{done:?}");
}

/// Guards against a version that gets all calls at once, and a move that is never done, because a
/// route of the service has a timeout as long as the move.
#[parameterized(as_long = { 15 }, longer = { 300 }, a_day = { 86_400 })]
fn long_timeout_leaves_time_for_the_stages(timeout_s: u64) {
    let (span, longest_request) = (Duration::from_secs(15), Duration::from_secs(timeout_s));
    let share_at = |elapsed_ms: u64, share: u16| {
        let input = ShortInput {
            share: Permille(share),
            step_calls: 100,
            elapsed: Duration::from_millis(elapsed_ms),
            span,
            longest_request,
            judgement: &Judgement::Clear,
            unproven_share: Permille(60),
            new_instances: 5,
        };
        next_share(&input).0
    };
    assert_eq!((share_at(250, 0), share_at(3_000, 60)), (60, 200));
    let full_at = (0..15_000).find(|ms| share_at(*ms, 200) == 1_000).unwrap();
    let done = Duration::from_millis(full_at) + settle_time(longest_request, span);
    assert!(done + Duration::from_secs(1) < span, "{done:?}");
}

#[parameterized(
    small = { 60, 5, 1 },
    one_of_five = { 200, 5, 1 },
    more = { 220, 5, 2 },
    all = { 1_000, 5, 5 },
    single = { 1_000, 1, 1 },
    none = { 60, 0, 1 },
)]
fn share_is_concentrated_on_few_instances(share: u16, instances: usize, expected: usize) {
    assert_eq!(concentrated_instances(Permille(share), instances), expected);
}
