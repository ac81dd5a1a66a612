//! Faults in a seeded order while callers are at work.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use savorykeel_standins::proxy::Faults;

use crate::mesh::Mesh;

use super::{KEY_RETENTION, Options, callers::Callers};

/// Time for which a killed instance stays away.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// Time for which a node is paused.
const PAUSE_DURATION: Duration = Duration::from_millis(1_500);

/// Time for which answers between nodes are dropped.
const DROP_DURATION: Duration = Duration::from_millis(600);

/// Time in which requests between nodes are held back.
const DELAY_DURATION: Duration = Duration::from_millis(250);

/// Lateness of requests that were held back.
const REQUEST_DELAY: Duration = Duration::from_millis(2_500);

/// Instances that a herd takes down.
const HERD_SIZE: usize = 3;

/// What went wrong on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An instance fails: node and backend server at once.
    Kill,
    /// Several instances fail at once.
    Herd,
    /// An instance is stopped as planned and comes again.
    Stop,
    /// A node is paused and goes on.
    Pause,
    /// A backend server crashes.
    Crash,
    /// Open connections to a node go silent for good.
    Silence,
    /// Answers of a node are dropped for a while.
    DropAnswers,
    /// Requests to a node arrive late, when their entry node has given them up.
    Late,
}

/// Faults drawn by chance; herds come by count.
pub const RANDOM_FAULTS: [Fault; 7] = [
    Fault::Kill,
    Fault::Stop,
    Fault::Pause,
    Fault::Crash,
    Fault::Silence,
    Fault::DropAnswers,
    Fault::Late,
];

/// What was done to the mesh.
#[derive(Debug, Default)]
pub(super) struct FaultLog {
    /// Number of faults of each kind.
    pub(super) counts: BTreeMap<Fault, usize>,
    /// Planned stops that didn't end by themselves.
    pub(super) stuck_stops: usize,
    /// Entry nodes that were killed.
    pub(super) kills: Vec<Kill>,
}

/// When an entry node was killed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Kill {
    /// Its address for callers.
    pub(super) entry: SocketAddr,
    /// Just before.
    pub(super) started_at: Instant,
    /// Just after.
    pub(super) ended_at: Instant,
}

/// Injects faults until the callers have begun every request.
pub(super) fn inject(
    mut mesh: Mesh,
    options: &Options,
    entries: &Arc<Mutex<Vec<SocketAddr>>>,
    callers: &Callers,
) -> anyhow::Result<(Mesh, FaultLog)> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut log = FaultLog::default();
    let mut injected = 0;
    while !callers.all_started() {
        thread::sleep(options.fault_pause);
        injected += 1;
        let fault = match injected % options.faults_per_herd {
            0 => Fault::Herd,
            _ => options.fault_kinds[rng.random_range(0..options.fault_kinds.len())],
        };
        *log.counts.entry(fault).or_default() += 1;
        let mut members: Vec<usize> = (0..mesh.members.len()).collect();
        members.shuffle(&mut rng);
        apply(&mut mesh, fault, &members, entries, &mut log)?;
        if fault == Fault::Herd {
            wait_for_claim_expiry(callers);
        }
        eprintln!(
            "{injected} faults, the last was {fault}; {} requests begun",
            callers.started_requests()
        );
    }
    Ok((mesh, log))
}

/// Waits until claims that a herd may have lost are past their time.
fn wait_for_claim_expiry(callers: &Callers) {
    let started = Instant::now();
    while started.elapsed() < KEY_RETENTION && !callers.all_started() {
        thread::sleep(RESTART_DELAY);
    }
}

fn apply(
    mesh: &mut Mesh,
    fault: Fault,
    members: &[usize],
    entries: &Arc<Mutex<Vec<SocketAddr>>>,
    log: &mut FaultLog,
) -> anyhow::Result<()> {
    let i = members[0];
    match fault {
        Fault::Kill => kill(mesh, &members[..1], entries, log)?,
        Fault::Herd => kill(mesh, &members[..HERD_SIZE], entries, log)?,
        Fault::Stop => stop(mesh, i, entries, log)?,
        Fault::Pause => {
            mesh.members[i].signal(Signal::SIGSTOP)?;
            thread::sleep(PAUSE_DURATION);
            mesh.members[i].signal(Signal::SIGCONT)?;
        }
        Fault::Crash => {
            if let Some(backend) = mesh.members[i].backend() {
                backend.crash();
            }
        }
        Fault::Silence => {
            with_proxy(mesh, i, savorykeel_standins::proxy::Handle::silence_established)
        }
        Fault::DropAnswers => {
            let faults = Faults { drop_answers: true, ..Faults::default() };
            apply_proxy_faults(mesh, i, faults, DROP_DURATION);
        }
        Fault::Late => {
            let request_delay_ms = REQUEST_DELAY.as_millis() as u64;
            apply_proxy_faults(
                mesh,
                i,
                Faults { request_delay_ms, ..Faults::default() },
                DELAY_DURATION,
            );
        }
    }
    Ok(())
}

fn kill(
    mesh: &mut Mesh,
    members: &[usize],
    entries: &Arc<Mutex<Vec<SocketAddr>>>,
    log: &mut FaultLog,
) -> anyhow::Result<()> {
    for &i in members {
        let (entry, started_at) = (mesh.members[i].callers(), Instant::now());
        mesh.members[i].kill();
        let ended_at = Instant::now();
        log.kills.extend(entry.map(|entry| Kill { entry, started_at, ended_at }));
    }
    *entries.lock() = mesh.entries();
    thread::sleep(RESTART_DELAY);
    for &i in members {
        mesh.restart(i)?;
    }
    *entries.lock() = mesh.entries();
    Ok(())
}

fn stop(
    mesh: &mut Mesh,
    i: usize,
    entries: &Arc<Mutex<Vec<SocketAddr>>>,
    log: &mut FaultLog,
) -> anyhow::Result<()> {
    // Callers are told of a planned stop; requests on their way must end well.
    let leaving = mesh.members[i].callers();
    entries.lock().retain(|entry| Some(*entry) != leaving);
    mesh.members[i].signal(Signal::SIGTERM)?;
    log.stuck_stops += usize::from(!mesh.members[i].wait_end()?);
    mesh.restart(i)?;
    *entries.lock() = mesh.entries();
    Ok(())
}

fn with_proxy(mesh: &Mesh, i: usize, action: impl Fn(&savorykeel_standins::proxy::Handle)) {
    if let Some(proxy) = &mesh.members[i].proxy {
        action(proxy);
    }
}

fn apply_proxy_faults(mesh: &Mesh, i: usize, faults: Faults, duration: Duration) {
    with_proxy(mesh, i, |proxy| proxy.set_faults(faults));
    thread::sleep(duration);
    with_proxy(mesh, i, |proxy| proxy.set_faults(Faults::default()));
}
