//! Injects faults in a seeded order while callers send requests.

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

/// Time between the kill of an instance and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// Time for which a node is suspended.
const PAUSE_DURATION: Duration = Duration::from_millis(1_500);

/// Time for which answers between nodes are dropped.
const DROP_DURATION: Duration = Duration::from_millis(600);

/// Time during which requests between nodes are delayed.
const DELAY_DURATION: Duration = Duration::from_millis(250);

/// Delay of each of these requests.
const REQUEST_DELAY: Duration = Duration::from_millis(2_500);

/// Number of instances that a herd kills at once.
const HERD_SIZE: usize = 3;

/// A kind of injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An instance is killed: its node and its backend server at once.
    Kill,
    /// Several instances are killed at once.
    Herd,
    /// An instance is stopped as planned and restarted.
    Stop,
    /// A node's process is suspended and resumed.
    Pause,
    /// A backend server crashes.
    Crash,
    /// Open connections to a node stop carrying data without being closed.
    Silence,
    /// Answers of a node are dropped for `DROP_DURATION`.
    DropAnswers,
    /// Requests to a node arrive after their entry node has given them up.
    Late,
    /// The log service comes back from an older copy that lacks the newest version.
    LogReturn,
}

/// Faults that are chosen at random; a herd is due after a fixed number of faults.
///
/// [`Fault::LogReturn`] isn't one of them, so that the seeds of earlier soaks keep their faults.
pub const RANDOM_FAULTS: [Fault; 7] = [
    Fault::Kill,
    Fault::Stop,
    Fault::Pause,
    Fault::Crash,
    Fault::Silence,
    Fault::DropAnswers,
    Fault::Late,
];

/// The faults that were injected into the mesh.
#[derive(Debug, Default)]
pub(super) struct FaultLog {
    /// Number of faults of each kind.
    pub(super) counts: BTreeMap<Fault, usize>,
    /// Planned stops after which the node didn't exit by itself.
    pub(super) stuck_stops: usize,
    /// Returns of the log service after which the nodes didn't write the lost version again.
    pub(super) lost_versions: usize,
    /// Kills of entry nodes.
    pub(super) kills: Vec<Kill>,
}

/// The kill of an entry node, with the time span in which it happened.
#[derive(Debug, Clone, Copy)]
pub(super) struct Kill {
    /// Address at which the node served callers.
    pub(super) entry: SocketAddr,
    /// Time just before the kill.
    pub(super) started_at: Instant,
    /// Time just after the kill.
    pub(super) ended_at: Instant,
}

/// Injects faults until the callers have started every request.
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
            "{injected} faults injected, latest: {fault}; {} requests started",
            callers.started_requests()
        );
    }
    Ok((mesh, log))
}

/// Waits until the claims that a herd may have lost would have expired.
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
        Fault::LogReturn => log.lost_versions += usize::from(!mesh.return_log()?),
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
    // Callers stop using a node before its planned stop; requests in flight must
    // still get their answers.
    let leaving = mesh.members[i].callers();
    entries.lock().retain(|entry| Some(*entry) != leaving);
    mesh.members[i].signal(Signal::SIGTERM)?;
    log.stuck_stops += usize::from(!mesh.members[i].wait_for_exit()?);
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
