//! Steady load under faults, checked against the backend servers' own ledgers.
//!
//! Seeded and bounded in requests and faults. Callers re-send keyed requests
//! that got no answer; meanwhile nodes are killed, alone and in herds, backend
//! servers crash, connections go silent, messages come late, and members come
//! and go. See `docs/design/0004-settle.md`.

mod callers;
mod check;
mod faults;

use std::{path::PathBuf, sync::Arc, time::Duration};

use parking_lot::Mutex;
use savorykeel_node::settings::{RawLimits, RawTesting};
use savorykeel_policy::config::raw::{
    RawConfiguration, RawLimits as RawMeshLimits, RawRoute, RawService,
};
use savorykeel_standins::backend::Behaviour;

use crate::mesh::{MemberSpec, Mesh, MeshOptions};

pub use check::Report;
pub use faults::{Fault, RANDOM_FAULTS};

/// Instances of the service under test.
const INSTANCES: usize = 5;

/// Nodes of another service, which callers enter by too.
const OTHER_NODES: usize = 2;

/// Availability zones.
const ZONES: u8 = 3;

/// Time for which idempotency keys are remembered; longer than any caller tries.
const KEY_RETENTION: Duration = Duration::from_secs(20);

/// What a soak covers.
#[derive(Debug, Clone)]
pub struct Options {
    /// The `savorykeel` binary.
    pub binary: PathBuf,
    /// Seed of callers and faults.
    pub seed: u64,
    /// Requests, re-sends not counted.
    pub requests: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// Time between two faults.
    pub fault_pause: Duration,
    /// Kinds of faults that are drawn.
    pub fault_kinds: Vec<Fault>,
    /// Faults between two herds of killed nodes.
    pub faults_per_herd: usize,
    /// One in this many requests crashes what runs it.
    pub requests_per_crash: usize,
    /// Mechanisms to switch off.
    pub testing: Option<RawTesting>,
}

/// Runs the soak and returns what it found.
pub fn run(options: &Options) -> anyhow::Result<Report> {
    let mesh_options = MeshOptions {
        binary: options.binary.clone(),
        limits: RawLimits { key_kept: KEY_RETENTION, ..RawLimits::default() },
        testing: options.testing.clone(),
        proxies: true,
        workers: 1,
    };
    let mesh = Mesh::start(mesh_options, &member_specs(), &configuration(), "/gate")?;
    let entries = Arc::new(Mutex::new(mesh.entries()));
    let callers = callers::Callers::start(options, entries.clone())?;
    let (mesh, log) = faults::inject(mesh, options, &entries, &callers)?;
    let requests = callers.finish();
    let runs = mesh.runs();
    Ok(check::check(options, &requests, &runs, &log))
}

fn member_specs() -> Vec<MemberSpec> {
    let spec = |service: &str, i: usize| MemberSpec {
        service: service.to_owned(),
        zone: (i % usize::from(ZONES)) as u8 + 1,
        slots: 20,
        behaviour: Behaviour { latency_ms: 15, ..Behaviour::default() },
    };
    let gate = (0..INSTANCES).map(|i| spec("gate", i));
    let others = (0..OTHER_NODES).map(|i| spec("history", i));
    gate.chain(others).collect()
}

fn configuration() -> RawConfiguration {
    let service = || RawService::with_version("v1");
    let route = |name: &str, service: &str, path: &str, idempotent: bool| RawRoute {
        timeout_ms: 2_500,
        ..RawRoute::to_service(service, name, path, idempotent)
    };
    RawConfiguration {
        format: 1,
        services: [("gate".into(), service()), ("history".into(), service())].into(),
        routes: vec![
            route("gate-change", "gate", "/gate/change", false),
            route("gate", "gate", "/gate", true),
            route("history", "history", "/history", true),
        ],
        limits: RawMeshLimits::default(),
    }
}
