//! Steady load while the platform's store goes away and comes back from older copies.
//!
//! A store soak is seeded and has a bounded number of steps. An operator publishes versions that each
//! add a route, and writes again what a return has undone. Meanwhile nodes are killed, suspended
//! and cut off from each other. Observers ask every node for the routes all the time: a route that
//! a node has served must not be refused as unknown later. After each round of steps, the newest version
//! has to be in force on every node and every node present in the store. See
//! `docs/design/0018-store-eras.md`.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use anyhow::ensure;
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use savorykeel_node::settings::RawLimits;
use savorykeel_platform_standin::{self as store, ConfigurationDocument, EraHeader};
use savorykeel_standins::{
    backend::Behaviour,
    caller::{Client, Request},
};
use serde::Serialize;

use crate::mesh::{MemberSpec, Mesh, MeshOptions};

/// Nodes of the mesh.
const NODES: usize = 7;

/// Availability zones over which the nodes are spread.
const ZONES: u8 = 3;

/// Steps from one check of the newest version to the next.
const STEPS_PER_ROUND: usize = 4;

/// Time within which the newest version has to be in force after the last step: nodes are in
/// touch 3 s after a disruption and then have 2 s.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Time for which a node is suspended.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Time between the kill of a node and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Pause of an observer between two requests.
const OBSERVER_PAUSE: Duration = Duration::from_millis(10);

/// Largest number of versions whose routes the newest configuration still has.
const ROUTES_KEPT: u64 = 40;

/// The extent of a store soak.
#[derive(Debug, Clone)]
pub struct Options {
    /// The `savorykeel` binary.
    pub binary: PathBuf,
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of rounds.
    pub rounds: usize,
}

/// One step of a store soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Step {
    /// Versions are published.
    Publish,
    /// The store comes back from a copy, and the operator writes again what is lost.
    Return,
    /// The store comes back from a copy twice within a second.
    TwoReturns,
    /// The store comes back, and nodes are killed before the operator writes again.
    ReturnBesideKills,
    /// The store is away for a moment.
    Away,
    /// A node and its backend server are killed.
    Kill,
    /// A node is suspended while versions are published.
    Pause,
    /// Open connections to a node stop carrying data.
    Silence,
    /// The store states an odd era, or none, for a moment.
    OddEra,
}

const STEPS: [Step; 9] = [
    Step::Publish,
    Step::Return,
    Step::TwoReturns,
    Step::ReturnBesideKills,
    Step::Away,
    Step::Kill,
    Step::Pause,
    Step::Silence,
    Step::OddEra,
];

/// The extent and the findings of a store soak.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Steps by kind.
    pub steps: BTreeMap<String, usize>,
    /// Versions published.
    pub versions: u64,
    /// Requests of the observers that were answered.
    pub observed: usize,
    /// What broke a promise.
    pub violations: Vec<String>,
}

/// What the observers have seen; the key is the index of a node.
#[derive(Default)]
struct Observed {
    /// Highest version that each node has served.
    served: BTreeMap<usize, u64>,
    answered: usize,
    violations: Vec<String>,
}

/// State that the observers share with the steps.
struct Shared {
    entries: Mutex<Vec<Option<std::net::SocketAddr>>>,
    observed: Mutex<Observed>,
    is_over: AtomicBool,
}

/// The operator: all versions that it has published, and the store as it was before them.
struct Operator {
    store: store::Handle,
    newest: u64,
    /// Copies of the store, each with the newest version that it has.
    copies: Vec<(u64, store::Copy)>,
}

impl Operator {
    fn configuration(number: u64) -> ConfigurationDocument {
        let first = number.saturating_sub(ROUTES_KEPT).max(1);
        let routes = first..=number;
        routes.fold(ConfigurationDocument::new(number, &["gate"]), |configuration, version| {
            configuration.route(&route_of(version), "gate")
        })
    }

    fn publish(&mut self, count: u64) {
        for _ in 0..count {
            self.copies.push((self.newest, self.store.copy()));
            self.newest += 1;
            self.store.publish(&Self::configuration(self.newest));
        }
    }

    /// Lets the store come back from one of its last copies; returns the newest version there.
    fn come_back(&mut self, rng: &mut StdRng) -> u64 {
        let oldest = self.copies.len().saturating_sub(4);
        let copy = rng.random_range(oldest..self.copies.len());
        self.copies.truncate(copy + 1);
        let (version, copy) = self.copies[copy].clone();
        self.store.set_away(true);
        thread::sleep(Duration::from_millis(rng.random_range(50..700)));
        self.store.come_back_from(&copy);
        version
    }

    /// Writes lost versions again: each of them in order, or only the newest.
    fn write_again(&mut self, after: u64, rng: &mut StdRng) {
        thread::sleep(Duration::from_millis(rng.random_range(0..1_500)));
        let first = if rng.random_bool(0.5) { after + 1 } else { self.newest };
        for number in first..=self.newest {
            self.store.publish(&Self::configuration(number));
        }
    }
}

fn route_of(version: u64) -> String {
    format!("/v{version}/")
}

/// Runs the soak and returns its findings.
pub fn run(options: &Options) -> anyhow::Result<Report> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let store = store::start()?;
    store.publish(&Operator::configuration(1));
    let mut operator = Operator { store, newest: 1, copies: Vec::new() };
    operator.copies.push((1, operator.store.copy()));
    let mut mesh = start_mesh(options, &operator)?;
    let shared = Arc::new(Shared {
        entries: Mutex::new(entries(&mesh)),
        observed: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    let observers = (0..NODES).map(|node| observe(shared.clone(), node));
    let observers: Vec<JoinHandle<()>> = observers.collect::<anyhow::Result<_>>()?;
    let mut report = Report { seed: options.seed, ..Report::default() };
    for _ in 0..options.rounds {
        for _ in 0..STEPS_PER_ROUND {
            let step = STEPS[rng.random_range(0..STEPS.len())];
            *report.steps.entry(step.to_string()).or_default() += 1;
            apply(step, &mut mesh, &mut operator, &shared, &mut rng)?;
        }
        report.violations.extend(check_round(&mesh, &operator, &shared));
        eprintln!("{} versions published, {:?}", operator.newest, report.steps);
    }
    shared.is_over.store(true, Ordering::Release);
    for observer in observers {
        ensure!(observer.join().is_ok(), "an observer panicked");
    }
    let observed = std::mem::take(&mut *shared.observed.lock());
    report.violations.extend(observed.violations);
    report.observed = observed.answered;
    report.versions = operator.newest;
    Ok(report)
}

fn start_mesh(options: &Options, operator: &Operator) -> anyhow::Result<Mesh> {
    let mesh_options = MeshOptions {
        binary: options.binary.clone(),
        limits: RawLimits::default(),
        testing: None,
        proxies: true,
        workers: 1,
    };
    let spec = |i: usize| MemberSpec {
        service: "gate".into(),
        zone: (i % usize::from(ZONES)) as u8 + 1,
        slots: 20,
        behaviour: Behaviour::default(),
    };
    let specs: Vec<MemberSpec> = (0..NODES).map(spec).collect();
    Mesh::start_on_platform(mesh_options, &specs, operator.store.addr(), &request(1))
}

fn request(version: u64) -> Request {
    let req = Request::get(&route_of(version)).header("Host", ConfigurationDocument::HOST);
    req.timeout(IN_FORCE_LIMIT).close()
}

fn entries(mesh: &Mesh) -> Vec<Option<std::net::SocketAddr>> {
    mesh.members.iter().map(crate::mesh::Member::callers).collect()
}

/// Asks a node for the route of the highest version that it has served, and for the next one.
fn observe(shared: Arc<Shared>, node: usize) -> anyhow::Result<JoinHandle<()>> {
    let client = Client::start()?;
    Ok(thread::spawn(move || {
        while !shared.is_over.load(Ordering::Acquire) {
            thread::sleep(OBSERVER_PAUSE);
            let Some(entry) = shared.entries.lock()[node] else { continue };
            let served = shared.observed.lock().served.get(&node).copied().unwrap_or(1);
            for version in [served, served + 1] {
                let Ok(reply) = client.call(entry, request(version)) else { continue };
                let mut observed = shared.observed.lock();
                observed.answered += 1;
                let highest = observed.served.entry(node).or_insert(1);
                match reply.status {
                    404 if version <= *highest => {
                        let violation = format!("node {node} went back: it served {highest}");
                        observed.violations.push(violation);
                        observed.served.insert(node, version.saturating_sub(1).max(1));
                    }
                    200 => *highest = (*highest).max(version),
                    _ => {}
                }
            }
        }
    }))
}

fn apply(
    step: Step,
    mesh: &mut Mesh,
    operator: &mut Operator,
    shared: &Shared,
    rng: &mut StdRng,
) -> anyhow::Result<()> {
    let mut nodes: Vec<usize> = (0..NODES).collect();
    nodes.shuffle(rng);
    let versions = rng.random_range(1..4);
    match step {
        Step::Publish => operator.publish(versions),
        Step::Return => {
            operator.publish(versions);
            thread::sleep(Duration::from_millis(rng.random_range(0..1_500)));
            let kept = operator.come_back(rng);
            operator.write_again(kept, rng);
        }
        Step::TwoReturns => {
            operator.publish(versions);
            let first = operator.come_back(rng);
            let second = operator.come_back(rng);
            operator.write_again(first.min(second), rng);
        }
        Step::ReturnBesideKills => {
            operator.publish(versions);
            thread::sleep(Duration::from_millis(1_000));
            let kept = operator.come_back(rng);
            kill(mesh, shared, &nodes[..2])?;
            operator.write_again(kept, rng);
        }
        Step::Away => {
            operator.store.set_away(true);
            thread::sleep(Duration::from_millis(rng.random_range(100..1_500)));
            operator.store.set_away(false);
        }
        Step::Kill => kill(mesh, shared, &nodes[..1])?,
        Step::Pause => {
            mesh.members[nodes[0]].signal(Signal::SIGSTOP)?;
            operator.publish(versions);
            thread::sleep(PAUSE);
            mesh.members[nodes[0]].signal(Signal::SIGCONT)?;
        }
        Step::Silence => {
            if let Some(proxy) = &mesh.members[nodes[0]].proxy {
                proxy.silence_established();
            }
        }
        Step::OddEra => {
            let texts = ["", "x", "0", "-1", "99999999999999999999"];
            let text = texts[rng.random_range(0..texts.len())];
            operator.store.set_era_header(EraHeader::Text(text.into()));
            operator.publish(versions);
            thread::sleep(Duration::from_millis(300));
            operator.store.set_era_header(EraHeader::Number);
        }
    }
    Ok(())
}

fn kill(mesh: &mut Mesh, shared: &Shared, nodes: &[usize]) -> anyhow::Result<()> {
    for node in nodes {
        shared.entries.lock()[*node] = None;
        mesh.members[*node].kill();
    }
    thread::sleep(RESTART_DELAY);
    for node in nodes {
        mesh.restart(*node)?;
    }
    *shared.entries.lock() = entries(mesh);
    Ok(())
}

/// Checks that the newest version is in force on every node in time and that every node is
/// present in the store.
fn check_round(mesh: &Mesh, operator: &Operator, shared: &Shared) -> Vec<String> {
    let started = Instant::now();
    let is_routed = |i: usize| {
        let reply =
            mesh.members[i].callers().map(|a| mesh.client.call(a, request(operator.newest)));
        reply.is_some_and(|reply| reply.is_ok_and(|reply| reply.status == 200))
    };
    let mut late: Vec<usize> = (0..NODES).collect();
    while !late.is_empty() && started.elapsed() < IN_FORCE_LIMIT {
        late.retain(|i| !is_routed(*i));
        thread::sleep(OBSERVER_PAUSE);
    }
    let newest = operator.newest;
    let late = late.into_iter().map(|i| format!("node {i} doesn't serve version {newest} in time"));
    let mut violations: Vec<String> = late.collect();
    while operator.store.present().len() < NODES && started.elapsed() < 2 * IN_FORCE_LIMIT {
        thread::sleep(OBSERVER_PAUSE);
    }
    let present = operator.store.present();
    if present.len() < NODES {
        violations.push(format!("only {present:?} are present in the store"));
    }
    for served in shared.observed.lock().served.values_mut() {
        *served = newest.max(*served);
    }
    violations
}
