//! `savorykeel demo`: the whole product in one process, with a transcript of what was
//! observed.
//!
//! It publishes a configuration, makes calls throughout, moves one service to a good
//! version and one to a bad version, and reads the burn report. It prints only what it
//! has observed and exits with success only if every check held.

mod accounts;
mod configuration;
mod mesh;
mod operator_client;
mod shares;
mod transcript;

use std::{fs, path::PathBuf, thread, time::Duration};

use savorykeel_policy::{
    ids::ConfigVersion,
    moves::status::{MoveReport, Phase},
};
use savorykeel_standins::{
    backend::Behaviour,
    caller::{Load, Plan, Tally, Template},
};

use crate::{exit::Exit, flags::DemoFlags, report};

use configuration::{GATE, HISTORY, NEW, OLD, TargetVersions, configuration};
use mesh::{InstanceSpec, Mesh};
use operator_client::{AcceptedPublish, OperatorClient};
use transcript::Transcript;

/// Bearer token of the demo's operator.
const TOKEN: &str = "token-of-the-demo";

/// Number of availability zones.
const ZONES: u8 = 2;

/// Time for which calls are made before the first move.
const LOAD_BEFORE_MOVES: Duration = Duration::from_secs(3);

/// Time within which the good move should end.
const GOOD_MOVE_WITHIN: Duration = Duration::from_secs(12);

/// Time within which the bad move would end if its version were good.
const BAD_MOVE_WITHIN: Duration = Duration::from_secs(12);

/// Longest time to wait for the end of a move.
const MOVE_WAIT: Duration = Duration::from_secs(18);

/// Time for which calls are made after the last move.
const LOAD_AFTER_MOVES: Duration = Duration::from_secs(2);

/// Time within which the whole demo must end.
const DEMO_LIMIT: Duration = Duration::from_secs(60);

/// Share of the bad version's calls that fail.
const BAD_FAILURE_RATE: f64 = 0.5;

/// Time after the rollback of a version has been observed from which the version must
/// get no call.
const ROLLBACK_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time that a backend server takes for a call, in milliseconds.
const BACKEND_LATENCY_MS: u64 = 2;

/// Number of callers, each with one call at a time.
const CALLERS: usize = 8;

/// Runs the demo; it succeeds if every check held.
pub fn run(_: DemoFlags) -> anyhow::Result<Exit> {
    let dir = TokenDir::create()?;
    let mut demo = Demo::start(&dir)?;
    let load = demo.start_load()?;
    thread::sleep(LOAD_BEFORE_MOVES);
    demo.check_before_moves(&load);
    demo.move_to_good(&load)?;
    demo.move_to_bad(&load)?;
    thread::sleep(LOAD_AFTER_MOVES);
    accounts::check(&mut demo.transcript, &demo.mesh.caller_addrs())?;
    demo.print_burn_report()?;
    let held = demo.finish(load);
    Ok(if held { Exit::Done } else { Exit::Failed })
}

/// Temporary directory with the operators' token; dropping it removes the directory.
struct TokenDir {
    dir: PathBuf,
}

impl TokenDir {
    fn create() -> anyhow::Result<Self> {
        let dir = std::env::temp_dir().join(format!("savorykeel-demo-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let created = Self { dir };
        fs::write(created.file(), TOKEN)?;
        Ok(created)
    }

    fn file(&self) -> PathBuf {
        self.dir.join("token")
    }
}

impl Drop for TokenDir {
    fn drop(&mut self) {
        // A temporary directory that can't be removed does no harm.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// State of the demo, apart from its callers.
struct Demo {
    transcript: Transcript,
    operator: OperatorClient,
    mesh: Mesh,
    version: ConfigVersion,
}

impl Demo {
    /// Starts the mesh and publishes the first configuration.
    fn start(dir: &TokenDir) -> anyhow::Result<Self> {
        let transcript = Transcript::start();
        let instances = instances();
        let mesh = Mesh::start(&instances, &dir.file())?;
        transcript.print(format!(
            "started a log service, {} nodes in {ZONES} availability zones and a backend server \
             beside each: {GATE} and {HISTORY}, versions {OLD} and {NEW}",
            instances.len()
        ));
        let operator = OperatorClient::new(mesh.operator_addrs(), &dir.file());
        let mut demo = Self { transcript, operator, mesh, version: ConfigVersion::default() };
        demo.publish(TargetVersions { gate: OLD, history: OLD, within: None })?;
        Ok(demo)
    }

    /// Publishes a configuration and checks that it comes into force on every node in time.
    fn publish(&mut self, targets: TargetVersions) -> anyhow::Result<AcceptedPublish> {
        let accepted = self.operator.publish(self.version, configuration(targets)?)?;
        let version = accepted.version;
        self.version = version;
        self.transcript.print(format!(
            "published {GATE} {} and {HISTORY} {}: accepted as version {version}",
            targets.gate, targets.history
        ));
        let took = self.operator.wait_in_force(accepted)?;
        let after = took.map_or("not in time".to_owned(), |took| {
            format!("{:.2} s after the publish", took.as_secs_f64())
        });
        self.transcript
            .check(took.is_some(), format!("version {version} in force on every node, {after}"));
        Ok(accepted)
    }

    /// Starts the callers once every node answers calls to both services.
    fn start_load(&mut self) -> anyhow::Result<Load> {
        let answers = self.mesh.wait_until_answering(&["/gate", "/history"])?;
        self.transcript.check(answers, "every node answers calls to both services");
        let plan = Plan {
            callers: CALLERS,
            ..Plan::new("demo", self.mesh.caller_addrs(), call_templates())
        };
        self.transcript.print(format!("{CALLERS} callers begin, each through every node in turn"));
        Ok(Load::start(plan)?)
    }

    /// Checks that no call has reached a version that the configuration doesn't name.
    fn check_before_moves(&mut self, load: &Load) {
        let observations = load.observations();
        for (service, path) in [(GATE, "/gate"), (HISTORY, "/history")] {
            let seconds = shares::count_by_second(&observations, path, NEW, Duration::ZERO);
            let early: usize = seconds.values().map(|second| second.of_version).sum();
            let text = format!("{early} calls reached {service} {NEW} before it was asked for");
            if early > 0 {
                self.transcript.print_shares(&format!("{service} {NEW}"), &seconds);
            }
            self.transcript.check(early == 0, text);
        }
    }

    /// Moves the gate service to its good version and checks that the move is done in
    /// time.
    fn move_to_good(&mut self, load: &Load) -> anyhow::Result<()> {
        let since = load.since_start();
        let within = Some(GOOD_MOVE_WITHIN);
        let accepted = self.publish(TargetVersions { gate: NEW, history: OLD, within })?;
        let last_report = self.wait_for_move(GATE, accepted)?;
        let took = accepted.sent_at.elapsed();
        self.transcript.print_shares(
            &format!("{GATE} {NEW}"),
            &shares::count_by_second(&load.observations(), "/gate", NEW, since),
        );
        let is_done = last_report.is_some_and(|report| report.phase == Phase::Done);
        let text = format!("{GATE} {NEW} is done {:.1} s after the publish", took.as_secs_f64());
        self.transcript.check(is_done, text);
        self.transcript.check(
            is_done && took <= GOOD_MOVE_WITHIN,
            format!("done within the {} s that the configuration gave", GOOD_MOVE_WITHIN.as_secs()),
        );
        Ok(())
    }

    /// Moves the history service to its bad version and checks that it is rolled back
    /// and gets no calls afterwards.
    fn move_to_bad(&mut self, load: &Load) -> anyhow::Result<()> {
        let since = load.since_start();
        let within = Some(BAD_MOVE_WITHIN);
        let accepted = self.publish(TargetVersions { gate: NEW, history: NEW, within })?;
        let last_report = self.wait_for_move(HISTORY, accepted)?;
        let took = accepted.sent_at.elapsed();
        let is_taken_back = last_report.is_some_and(|report| report.phase == Phase::TakenBack);
        let text =
            format!("{HISTORY} {NEW} is taken back {:.1} s after the publish", took.as_secs_f64());
        self.transcript.check(is_taken_back, text);
        thread::sleep(ROLLBACK_SETTLE_TIME + LOAD_AFTER_MOVES);
        let observations = load.observations();
        self.transcript.print_shares(
            &format!("{HISTORY} {NEW}"),
            &shares::count_by_second(&observations, "/history", NEW, since),
        );
        let settled = since + took + ROLLBACK_SETTLE_TIME;
        let late = shares::count_by_second(&observations, "/history", NEW, settled);
        let late: usize = late.values().map(|second| second.of_version).sum();
        let text = format!(
            "{late} calls reached {HISTORY} {NEW} later than {} s after that",
            ROLLBACK_SETTLE_TIME.as_secs()
        );
        self.transcript.check(late == 0, text);
        Ok(())
    }

    /// Waits for a move to end, prints each change of its phase and its evidence, and
    /// returns its last report.
    fn wait_for_move(
        &self,
        service: &str,
        accepted: AcceptedPublish,
    ) -> anyhow::Result<Option<MoveReport>> {
        let mut phase = None;
        let last_report = self.operator.wait_move(accepted, MOVE_WAIT, |report| {
            if phase != Some(report.phase) {
                phase = Some(report.phase);
                self.transcript.print(format!("the move of {service} is {}", report.phase));
            }
        })?;
        if let Some(report) = &last_report {
            self.transcript.print(format!(
                "evidence: old version {} of {} calls failed, new version {} of {}",
                report.old.failed, report.old.run, report.new.failed, report.new.run
            ));
        }
        Ok(last_report)
    }

    fn print_burn_report(&mut self) -> anyhow::Result<()> {
        let burn = self.operator.burn_report()?;
        self.transcript.print("burn report:");
        print!("{}", report::text(&burn));
        Ok(())
    }

    /// Stops the callers, compares what they observed with the backend servers' ledgers
    /// and ends the transcript. Returns whether every check held.
    fn finish(mut self, load: Load) -> bool {
        let observations = load.finish();
        let tally = Tally::compare(&observations, &self.mesh.runs());
        self.transcript.check_calls(&tally);
        drop(self.mesh);
        let elapsed = self.transcript.elapsed();
        let text = format!("all of it took {:.0} s", elapsed.as_secs_f64());
        self.transcript.check(elapsed < DEMO_LIMIT, text);
        self.transcript.finish()
    }
}

/// Returns the instances of two services, each in an old and a new version, in every
/// availability zone.
fn instances() -> Vec<InstanceSpec> {
    let bad = Behaviour { failure_rate: BAD_FAILURE_RATE, ..Behaviour::default() };
    let kinds = [
        (GATE, OLD, Behaviour::default()),
        (GATE, NEW, Behaviour::default()),
        (HISTORY, OLD, Behaviour::default()),
        (HISTORY, NEW, bad),
    ];
    let in_zone = |zone| {
        kinds.clone().map(|(service, version, behaviour)| {
            let behaviour = Behaviour { latency_ms: BACKEND_LATENCY_MS, ..behaviour };
            InstanceSpec { service, version, zone, behaviour }
        })
    };
    (1..=ZONES).flat_map(in_zone).collect()
}

/// Returns the templates of the calls: half for each service; the calls that open a
/// gate carry an idempotency key.
fn call_templates() -> Vec<Template> {
    vec![
        Template::new("GET", "/gate/log"),
        Template::new("GET", "/history/today"),
        Template::new("POST", "/gate/open"),
        Template::new("GET", "/history/week"),
    ]
}
