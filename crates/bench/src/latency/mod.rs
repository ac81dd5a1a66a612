//! `latency`: measures the latency that two nodes add to a call.
//!
//! Calls go directly to a backend server, through two processes that only forward
//! bytes, and through two nodes. Rounds of the three alternate within one run, so
//! that all are measured under the same conditions of the machine. The backend
//! server, the forwarders and the nodes are real processes on loopback.

mod load;
mod mesh;
mod report;

use std::time::Duration;

use argh::FromArgs;

use load::Pattern;
use mesh::Mesh;
use report::Comparison;

/// Rate of calls through a node at the target size, in calls per second.
const TARGET_RATE: u32 = 400;

/// Measure the latency that two nodes add to a call.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct Args {
    /// seconds of each round (default 2)
    #[argh(option, default = "2")]
    seconds: u64,

    /// rounds of each pattern, direct and through the nodes in turn (default 5)
    #[argh(option, default = "5")]
    rounds: u32,

    /// bytes in the body of each request (default 256)
    #[argh(option, default = "256")]
    body_bytes: usize,
}

/// Runs the measurement and prints its results as a table.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let mesh = Mesh::start()?;
    let patterns = [
        Pattern::Concurrent(1),
        Pattern::Concurrent(16),
        Pattern::Concurrent(64),
        Pattern::Rate(TARGET_RATE),
    ];
    println!("{}", Comparison::HEADING);
    for pattern in patterns {
        let comparison = compare(args, &mesh, pattern)?;
        println!("{comparison}");
    }
    Ok(())
}

fn compare(args: &Args, mesh: &Mesh, pattern: Pattern) -> anyhow::Result<Comparison> {
    let duration = Duration::from_secs(args.seconds);
    let mut comparison = Comparison::new(pattern)?;
    for _ in 0..args.rounds {
        comparison.direct.add_round(&load::run(
            mesh.backend(),
            pattern,
            duration,
            args.body_bytes,
        )?)?;
        comparison.relayed.add_round(&load::run(
            mesh.relays(),
            pattern,
            duration,
            args.body_bytes,
        )?)?;
        let node_cpu_time = mesh.node_cpu_time()?;
        comparison.meshed.add_round(&load::run(
            mesh.entry(),
            pattern,
            duration,
            args.body_bytes,
        )?)?;
        comparison.node_cpu_time += mesh.node_cpu_time()? - node_cpu_time;
    }
    Ok(comparison)
}
