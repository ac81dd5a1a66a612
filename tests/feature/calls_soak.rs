//! Short soak tests; `savorykeel-bench soak` runs long ones.

use std::{path::PathBuf, time::Duration};

use parking_lot::Mutex;
use savorykeel_bench::{
    soak::{self, Fault, Options, Report},
    store_soak,
};
use savorykeel_node::settings::RawTesting;

/// Serializes the soaks, which would otherwise starve each other.
static SOAK_LOCK: Mutex<()> = Mutex::new(());

fn options(seed: u64, requests: usize) -> Options {
    Options {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_savorykeel")),
        seed,
        requests,
        callers: 16,
        fault_pause: Duration::from_millis(300),
        fault_kinds: soak::RANDOM_FAULTS.to_vec(),
        faults_per_herd: 12,
        requests_per_crash: 500,
        testing: None,
    }
}

#[test]
fn no_promise_is_broken_under_faults() {
    let _guard = SOAK_LOCK.lock();
    let report = soak::run(&options(1, 3_000)).unwrap();
    assert_eq!(report.violations(), 0, "{report:#?}");
    assert_eq!(report.requests, 3_000);
    assert!(report.faults.values().sum::<usize>() > 0, "{report:#?}");
}

#[test]
fn no_promise_is_broken_while_the_log_comes_back_from_copies() {
    let _guard = SOAK_LOCK.lock();
    let fault_kinds = vec![Fault::LogReturn, Fault::Kill, Fault::Pause, Fault::Silence];
    let report = soak::run(&Options { fault_kinds, ..options(2, 2_000) }).unwrap();
    assert_eq!(report.violations(), 0, "{report:#?}");
    assert!(report.faults.contains_key("log-return"), "{report:#?}");
}

#[test]
fn no_configuration_goes_back_while_the_store_comes_back_from_copies() {
    let _guard = SOAK_LOCK.lock();
    let binary = options(0, 0).binary;
    let report = store_soak::run(&store_soak::Options { binary, seed: 1, rounds: 3 }).unwrap();
    assert!(report.violations.is_empty(), "{report:#?}");
    assert!(report.observed > 0 && report.versions > 1, "{report:#?}");
}

/// Runs soaks with a mechanism switched off until one finds a violation.
///
/// Which seed causes a violation depends on the timing of the machine, so several
/// are tried. With the mechanism on, the same faults cause none.
fn find_violation(testing: RawTesting, kinds: &[Fault], is_violation: impl Fn(&Report) -> bool) {
    let _guard = SOAK_LOCK.lock();
    let mut last_report = None;
    for seed in 1..=5 {
        let testing = Some(RawTesting { breaks_promises: true, ..testing.clone() });
        let fault_kinds = kinds.to_vec();
        let report = soak::run(&Options { testing, fault_kinds, ..options(seed, 1_500) }).unwrap();
        if is_violation(&report) {
            return;
        }
        last_report = Some(report);
    }
    panic!("no soak found a violation: {last_report:#?}");
}

#[test]
fn the_soak_finds_what_settle_prevents() {
    let testing = RawTesting { without_settle: true, ..RawTesting::default() };
    let kinds = [Fault::Late, Fault::Silence];
    find_violation(testing, &kinds, |report| report.doubled + report.not_run_but_ran > 0);
}

#[test]
fn the_soak_finds_what_fences_prevent() {
    let testing = RawTesting { without_fences: true, ..RawTesting::default() };
    let kinds = [Fault::Late];
    find_violation(testing, &kinds, |report| report.doubled + report.not_run_but_ran > 0);
}

#[test]
fn the_soak_finds_what_the_ledger_prevents() {
    let testing = RawTesting { without_ledger: true, ..RawTesting::default() };
    let kinds = [Fault::Kill];
    find_violation(testing, &kinds, |report| report.doubled > 0);
}
