//! The `moves` command: measures how moves to good and bad versions end, over many
//! seeds.
//!
//! It runs the decision code of `savorykeel_policy::moves` on randomly generated
//! calls of one service, without a network or a cluster. The families, the model
//! of the calls and the results are in `docs/design/0007-judge.md`.

mod check;
mod draw;
mod family;
mod plot;
mod report;
mod simulation;
mod stats;
mod strategy;

use std::{
    path::PathBuf,
    sync::atomic::{AtomicUsize, Ordering},
};

use argh::FromArgs;
use parking_lot::Mutex;
use strum::IntoEnumIterator;

use family::Family;
use simulation::{Outcome, Simulation};
use strategy::Strategy;

/// Runs the decisions about moves over families of versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "moves")]
pub(crate) struct Args {
    /// seeds for each family
    #[argh(option, default = "200")]
    seeds: u64,
    /// first seed
    #[argh(option, default = "1")]
    first_seed: u64,
    /// only this family
    #[argh(option)]
    family: Option<Family>,
    /// only this strategy
    #[argh(option)]
    strategy: Option<Strategy>,
    /// threads to run on
    #[argh(option, default = "3")]
    threads: usize,
    /// fail unless the shares that operators rely on are reached
    #[argh(switch)]
    check: bool,
    /// file for a plot as SVG
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// The outcomes of one family under one strategy, over all seeds.
struct Cell {
    family: Family,
    strategy: Strategy,
    outcomes: Vec<Outcome>,
}

/// Runs the experiment, prints its table, and writes the plot and checks the shares
/// when asked to.
pub(crate) fn run(args: &Args) -> anyhow::Result<()> {
    let families: Vec<Family> = match args.family {
        Some(family) => vec![family],
        None => Family::iter().collect(),
    };
    let strategies: Vec<Strategy> =
        Strategy::iter().filter(|s| args.strategy.is_none_or(|only| only == *s)).collect();
    let pairs = families.iter().flat_map(|family| strategies.iter().map(|s| (*family, *s)));
    let cells = run_cells(pairs, args);
    report::print(&cells, args.seeds);
    if let Some(path) = &args.svg {
        plot::write(path, &cells)?;
    }
    if args.check {
        check::check(&cells)?;
    }
    Ok(())
}

/// One move to simulate, and the cell that gets its outcome.
struct Job {
    cell: usize,
    seed: u64,
}

fn run_cells(pairs: impl Iterator<Item = (Family, Strategy)>, args: &Args) -> Vec<Cell> {
    let mut cells: Vec<Cell> =
        pairs.map(|(family, strategy)| Cell { family, strategy, outcomes: Vec::new() }).collect();
    let seeds = args.first_seed..args.first_seed + args.seeds;
    let jobs: Vec<Job> = (0..cells.len())
        .flat_map(|cell| seeds.clone().map(move |seed| Job { cell, seed }))
        .collect();
    let next_job = AtomicUsize::new(0);
    let outcomes = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..args.threads.max(1) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next_job.fetch_add(1, Ordering::Relaxed)) {
                    let cell = &cells[job.cell];
                    let outcome = Simulation::new(cell.family, job.seed).run(cell.strategy);
                    outcomes.lock().push(CompletedJob { cell: job.cell, outcome });
                }
            });
        }
    });
    for completed in outcomes.into_inner() {
        cells[completed.cell].outcomes.push(completed.outcome);
    }
    cells
}

/// The outcome of a simulated move, and the cell that gets it.
struct CompletedJob {
    cell: usize,
    outcome: Outcome,
}
