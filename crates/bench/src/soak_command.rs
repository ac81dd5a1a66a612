//! The `soak` command.

use std::{env, path::PathBuf, time::Duration};

use anyhow::{Context, bail, ensure};
use argh::FromArgs;
use savorykeel_bench::soak::{self, Fault, Options};
use savorykeel_node::settings::RawTesting;

/// Runs callers against real processes under faults and checks every outcome.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Args {
    /// seed of callers and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// number of requests
    #[argh(option, default = "100000")]
    requests: usize,
    /// callers at once
    #[argh(option, default = "32")]
    callers: usize,
    /// milliseconds between two faults
    #[argh(option, default = "1000")]
    fault_pause_ms: u64,
    /// let the log service come back from older copies, too
    #[argh(switch)]
    log_returns: bool,
    /// mechanism to switch off: settle, fences or ledger
    #[argh(option)]
    without: Vec<String>,
}

/// Runs the soak, prints its report and fails if a guarantee was violated.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let mut fault_kinds = soak::RANDOM_FAULTS.to_vec();
    if args.log_returns {
        fault_kinds.push(Fault::LogReturn);
    }
    let options = Options {
        binary: binary()?,
        seed: args.seed,
        requests: args.requests,
        callers: args.callers,
        fault_pause: Duration::from_millis(args.fault_pause_ms),
        fault_kinds,
        faults_per_herd: 15,
        requests_per_crash: 2_000,
        testing: testing(&args.without)?,
    };
    let report = soak::run(&options)?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    eprintln!("requests with an unknown outcome: {:.4} %", report.unknown_share() * 100.0);
    ensure!(report.violations() == 0, "{} guarantees were violated", report.violations());
    Ok(())
}

/// Returns the test switches that turn the named mechanisms off, or `None` when
/// none is named.
fn testing(without: &[String]) -> anyhow::Result<Option<RawTesting>> {
    if without.is_empty() {
        return Ok(None);
    }
    let mut testing = RawTesting { breaks_promises: true, ..RawTesting::default() };
    for name in without {
        match name.as_str() {
            "settle" => testing.without_settle = true,
            "fences" => testing.without_fences = true,
            "ledger" => testing.without_ledger = true,
            other => bail!("--without {other}: expected settle, fences or ledger"),
        }
    }
    Ok(Some(testing))
}

/// Returns the path of the `savorykeel` binary of the same build.
pub fn binary() -> anyhow::Result<PathBuf> {
    let executable =
        env::current_exe().context("failed to determine the path of this executable")?;
    let binary = executable.with_file_name("savorykeel");
    ensure!(binary.exists(), "{} is missing: build it with the same profile", binary.display());
    Ok(binary)
}
