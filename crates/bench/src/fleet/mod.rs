//! `fleet`: measures convergence, control traffic and resource use of real node
//! processes.
//!
//! Nodes reach each other through proxies that add the delay between availability
//! zones and count the bytes on the control links, including framing.
//! `docs/CAPACITY.md` describes how the figures are used.

mod configuration;
mod observer;
mod process;
mod publishing;
mod report;
mod running_fleet;

use std::{path::PathBuf, thread, time::Duration};

use anyhow::Context;
use argh::FromArgs;
use savorykeel_node::control::ControlMode;

pub(crate) use self::configuration::{publish_record, service_name};

use self::{
    publishing::measure_publishes,
    report::{FleetFigures, print_table},
    running_fleet::RunningFleet,
};

/// Measures fleets of real node processes on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub(crate) struct Args {
    /// numbers of nodes, separated by commas
    #[argh(option, default = "String::from(\"25,50,100\")")]
    nodes: String,

    /// number of availability zones
    #[argh(option, default = "5")]
    zones: u8,

    /// number of services in the configuration
    #[argh(option, default = "290")]
    services: usize,

    /// number of publishes measured in each fleet
    #[argh(option, default = "20")]
    publishes: u64,

    /// seconds for which each fleet is watched at rest
    #[argh(option, default = "10")]
    rest_seconds: u64,

    /// ways of distribution, separated by commas: gossip, poll
    #[argh(option, default = "String::from(\"gossip,poll\")")]
    modes: String,

    /// the savorykeel binary; beside this program when absent
    #[argh(option)]
    binary: Option<PathBuf>,
}

/// Parameters of the measurement of one fleet.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    nodes: usize,
    zones: u8,
    services: usize,
    publishes: u64,
    rest_time: Duration,
    mode: ControlMode,
    binary: PathBuf,
}

/// Measures a fleet for each mode and number of nodes in the arguments, and prints
/// the figures.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    let mut rows = Vec::new();
    for mode in args.modes.split(',') {
        let mode: ControlMode = mode.parse().with_context(|| format!("mode {mode:?}"))?;
        for nodes in args.nodes.split(',') {
            let nodes = nodes.parse().with_context(|| format!("number of nodes {nodes:?}"))?;
            let figures = measure(&plan(args, nodes, mode)?)?;
            println!("{}", serde_json::to_string(&figures)?);
            rows.push(figures);
        }
    }
    print_table(&rows);
    Ok(())
}

fn plan(args: &Args, nodes: usize, mode: ControlMode) -> anyhow::Result<Plan> {
    let default_binary = || anyhow::Ok(std::env::current_exe()?.with_file_name("savorykeel"));
    let binary = args.binary.clone().map_or_else(default_binary, Ok)?;
    Ok(Plan {
        nodes,
        zones: args.zones,
        services: args.services,
        publishes: args.publishes,
        rest_time: Duration::from_secs(args.rest_seconds),
        mode,
        binary,
    })
}

fn measure(plan: &Plan) -> anyhow::Result<FleetFigures> {
    let mut fleet = RunningFleet::start(plan)?;
    let started = fleet.publish_and_wait(0)?;
    fleet.announce_backends()?;
    // Traffic of announcements and of the first table comparison must not count as
    // traffic at rest.
    thread::sleep(SETTLE_TIME);
    let rest = fleet.measure_at_rest(plan.rest_time)?;
    let publishes = measure_publishes(&mut fleet, plan.publishes)?;
    let membership = observer::measure_membership(&mut fleet)?;
    Ok(FleetFigures::new(plan, started, rest, publishes, membership))
}

/// Time after the announcements before a fleet counts as at rest.
const SETTLE_TIME: Duration = Duration::from_secs(8);
