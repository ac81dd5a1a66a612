//! Guards the decisions about moves against rolling good versions back and letting
//! bad ones stay.
//!
//! Runs a few seeds of each family with the measurement tool; the results over many
//! seeds are in `docs/design/0007-judge.md`.

use std::process::Command;

use yare::parameterized;

#[parameterized(
    good = { "good" },
    good_cold = { "good-cold" },
    good_dependency = { "good-dependency" },
    good_zone = { "good-zone" },
    good_peak = { "good-peak" },
    good_low_traffic = { "good-low-traffic" },
    bad_at_once = { "bad-at-once" },
    bad_above_load = { "bad-above-load" },
    bad_one_route = { "bad-one-route" },
    bad_one_route_later = { "bad-one-route-later" },
    slow_2x = { "slow2x" },
    slow_10x = { "slow10x" },
    fail_2_percent = { "fail2-percent" },
    fail_20_percent = { "fail20-percent" },
    crash_on_start = { "crash-on-start" },
    flapping = { "flapping" },
)]
fn family_meets_the_required_shares(family: &str) {
    let run = Command::new(env!("CARGO_BIN_EXE_savorykeel-bench"))
        .args(["moves", "--seeds", "3", "--threads", "1", "--strategy", "savorykeel"])
        .args(["--check", "--family", family])
        .output()
        .unwrap();
    let table = String::from_utf8_lossy(&run.stdout);
    let problem = String::from_utf8_lossy(&run.stderr);
    assert!(run.status.success(), "{problem}\n{table}");
}
