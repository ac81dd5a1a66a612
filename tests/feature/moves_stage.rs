//! Scenario for tests of moves: a deployment whose services move to version `v2`
//! under load.

use std::{collections::BTreeMap, time::Duration};

use jiff::Timestamp;
use savorykeel_policy::{
    config::raw::RawConfiguration,
    moves::{state::BadReason, status::MoveEnding},
    time::WallMillis,
};
use savorykeel_ports::log::MOVE_STREAM;
use savorykeel_standins::{
    backend::{Behaviour, Run},
    caller::{CallOutcome, Load, Observation, Plan, Template},
};

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
    wait::eventually_some,
};

/// Target version of every move.
pub const NEW: &str = "v2";

/// Baseline version of every move.
pub const OLD: &str = "v1";

/// A deployment with instances of both versions, and load on its services.
pub struct MoveScenario {
    /// The nodes, the backend servers and the log service.
    pub fleet: Fleet,
    /// Running load by service.
    pub loads: BTreeMap<String, Load>,
    /// Time by which the moves must be done, in milliseconds since the Unix epoch.
    pub deadline: WallMillis,
    configuration: RawConfiguration,
    first_new_member: usize,
}

impl MoveScenario {
    /// Starts both versions of every service and waits until `v1` answers calls.
    ///
    /// `new_behaviour` returns how the new version of a service behaves.
    #[track_caller]
    pub fn start(deployment: &Deployment, new_behaviour: fn(&str) -> Behaviour) -> Self {
        let options = Options {
            adjust_backend: Box::new(move |settings| {
                let is_new = settings.version == NEW;
                settings.behaviour =
                    if is_new { new_behaviour(&settings.service) } else { default_behaviour() };
            }),
            ..Options::default()
        };
        let mut fleet = Fleet::start(deployment, options);
        let configuration = deployment.configuration();
        fleet.publish(0, &configuration);
        fleet.wait_version(1);
        let first_new_member = fleet.members.len();
        for spec in &deployment.services {
            let spec = ServiceSpec { version: NEW.into(), ..spec.clone() };
            for i in 0..spec.instances {
                let zone = (i % usize::from(deployment.zones)) as u8 + 1;
                fleet.add(&spec, zone, deployment.slots);
            }
        }
        fleet.wait_version(1);
        for spec in &deployment.services {
            fleet.wait_answered(&format!("/{}", spec.name));
        }
        let deadline = WallMillis(0);
        Self { fleet, loads: BTreeMap::new(), deadline, configuration, first_new_member }
    }

    /// Starts callers of one service, which call through every running node.
    pub fn start_load(
        &mut self,
        service: &str,
        callers: usize,
        pause: Duration,
        has_changes: bool,
    ) {
        let entries = self.fleet.entries();
        let mut mix = vec![Template::new("GET", &format!("/{service}"))];
        if has_changes {
            mix.push(Template::new("POST", &format!("/{service}/change")));
        }
        let plan = Plan { callers, pause, ..Plan::new(service, entries, mix) };
        self.loads.insert(service.to_owned(), Load::start(plan).expect("the load starts"));
    }

    /// Publishes the move of the services to `v2` with a deadline after `within`.
    #[track_caller]
    pub fn publish_move(&mut self, services: &[&str], within: Duration) {
        let deadline = Timestamp::now() + within;
        self.deadline = WallMillis(deadline.as_millisecond() as u64);
        for service in services {
            let raw = self.configuration.services.get_mut(*service).expect("the service exists");
            raw.version = Some(NEW.into());
            raw.by = Some(deadline.to_string());
        }
        self.fleet.publish(1, &self.configuration);
        self.fleet.wait_version(2);
    }

    /// Returns the endings of a service's move to `v2` that the log holds.
    pub fn endings(&self, service: &str) -> Vec<MoveEnding> {
        let records = self.fleet.log.records(MOVE_STREAM);
        let endings = records.iter().map(|body| serde_json::from_slice::<MoveEnding>(body));
        let endings = endings.map(|ending| ending.expect("the record is the ending of a move"));
        // The first configuration starts a move as well, which ends after a few
        // seconds without a baseline version.
        let is_to_new_version = |ending: &MoveEnding| ending.to.as_str() == NEW;
        endings
            .filter(|ending| ending.service.as_str() == service)
            .filter(is_to_new_version)
            .collect()
    }

    /// Waits until the log records that the move of a service is done.
    #[track_caller]
    pub fn wait_done(&self, service: &str) -> MoveEnding {
        self.wait_ending(service, "done", |ending| ending.state.done)
    }

    /// Waits until the log records that the move of a service was rolled back.
    #[track_caller]
    pub fn wait_rolled_back(&self, service: &str) -> BadReason {
        let ending = self.wait_ending(service, "rolled back", |e| e.state.bad.is_some());
        ending.state.bad.expect("the move was rolled back")
    }

    #[track_caller]
    fn wait_ending(
        &self,
        service: &str,
        end: &str,
        is_match: fn(&MoveEnding) -> bool,
    ) -> MoveEnding {
        // A move may last longer than one wait of the harness.
        for _ in 0..EXTRA_POLLS {
            let found = self.endings(service).into_iter().find(is_match);
            if let Some(ending) = found {
                return ending;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        eventually_some(&format!("the move of {service} is {end}"), || {
            self.endings(service).into_iter().find(is_match)
        })
    }

    /// Waits until calls of a service continue but none goes to `version` any more.
    #[track_caller]
    pub fn wait_no_calls(&self, service: &str, version: &str) {
        let what = format!("no call of {service} goes to {version}");
        eventually_some(&what, || {
            let (before, all_before) = (self.started(service, version), self.calls(service));
            std::thread::sleep(QUIET_PERIOD);
            let is_quiet = self.started(service, version) == before;
            (is_quiet && self.calls(service) > all_before).then_some(())
        });
    }

    fn started(&self, service: &str, version: &str) -> u64 {
        let members = self.fleet.of_service(service);
        let of_version = members.filter(|m| m.backend_settings().version == version);
        of_version.map(|m| m.backend().counts().started).sum()
    }

    fn calls(&self, service: &str) -> usize {
        self.loads.get(service).map_or(0, Load::calls)
    }

    /// Waits until every node has rolled back the new version of a service, and
    /// returns the time between the first and the last node.
    #[track_caller]
    pub fn wait_rolled_back_on_all_nodes(&self, service: &str) -> Duration {
        let nodes = || self.fleet.members.iter().filter_map(|member| member.node.as_ref());
        let times = nodes().map(|node| {
            eventually_some(&format!("{} receives the verdict", node.ready().instance), || {
                rolled_back_at(&node.log(), service)
            })
        });
        let times: Vec<u64> = times.collect();
        let spread = times.iter().max().unwrap_or(&0) - times.iter().min().unwrap_or(&0);
        Duration::from_millis(spread)
    }

    /// Returns the members with the new version of a service.
    pub fn new_members(&self, service: &str) -> Vec<usize> {
        let members = self.first_new_member..self.fleet.members.len();
        members.filter(|i| self.fleet.members[*i].backend_settings().service == service).collect()
    }

    /// Returns the members with either version of a service.
    pub fn members_of(&self, service: &str) -> Vec<usize> {
        let runs_service = |i: &usize| self.fleet.members[*i].backend_settings().service == service;
        (0..self.fleet.members.len()).filter(runs_service).collect()
    }

    /// Stops the callers of a service and returns their observations.
    pub fn finish(&mut self, service: &str) -> Vec<Observation> {
        self.loads.remove(service).expect("the service has callers").finish()
    }

    /// Returns the ledger entries of all backend servers.
    pub fn runs(&self) -> Vec<Run> {
        self.fleet.runs()
    }
}

/// Time without a call to a version after which it counts as unused.
const QUIET_PERIOD: Duration = Duration::from_secs(2);

/// Polls, at intervals of 500 ms, before the timeout of [`eventually_some`] begins.
const EXTRA_POLLS: u32 = 180;

/// Returns when a node rolled back the new version of a service, according to its
/// log, in milliseconds.
fn rolled_back_at(log: &str, service: &str) -> Option<u64> {
    let line = log.lines().find(|line| {
        line.contains("version taken back") && line.contains(&format!("\"service\":\"{service}\""))
    })?;
    let fields: serde_json::Value = serde_json::from_str(line).ok()?;
    fields["at_ms"].as_u64()
}

/// Returns the behaviour of version `v1` and of a good new version.
pub fn default_behaviour() -> Behaviour {
    Behaviour { latency_ms: 5, ..Behaviour::default() }
}

/// Returns the number of calls that `version` answered.
pub fn answered_by(calls: &[Observation], version: &str) -> usize {
    calls.iter().filter(|call| version_of(call) == Some(version)).count()
}

/// Returns the number of calls that `failing_version` answered with a status of
/// 500 or above.
pub fn failed_by(calls: &[Observation], failing_version: &str) -> usize {
    let is_failed = |call: &&Observation| matches!(&call.outcome, CallOutcome::Answered { status, version, .. } if *status >= 500 && version == failing_version);
    calls.iter().filter(is_failed).count()
}

/// Returns the version that answered a call.
pub fn version_of(call: &Observation) -> Option<&str> {
    match &call.outcome {
        CallOutcome::Answered { version, .. } => Some(version),
        _ => None,
    }
}
