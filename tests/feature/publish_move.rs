//! Tests of `savorykeel status --wait` with moves that succeed and moves that are
//! rolled back.

use std::time::Duration;

use savorykeel_node::admin::api::StatusReport;
use savorykeel_standins::backend::Behaviour;

use crate::{
    feature::moves_stage::{MoveScenario, NEW, default_behaviour},
    harness::{
        command::{CommandOutput, savorykeel},
        deployment::Deployment,
    },
};

const DONE: Option<i32> = Some(0);
const FAILED: Option<i32> = Some(1);
const PENDING: Option<i32> = Some(5);
const TAKEN_BACK: Option<i32> = Some(9);

fn behaviour(service: &str) -> Behaviour {
    match service {
        "gate" => Behaviour { failure_rate: 0.5, ..default_behaviour() },
        _ => default_behaviour(),
    }
}

fn status(scenario: &MoveScenario, flags: &[&str]) -> CommandOutput {
    let operators = scenario.fleet.members[0].operators().to_string();
    savorykeel(&[&["status", "--operators", operators.as_str()], flags].concat(), "")
}

#[test]
fn wait_ends_when_the_moves_of_a_version_have_ended() {
    let mut scenario = MoveScenario::start(&Deployment::small(), behaviour);
    scenario.start_load("gate", 6, Duration::from_millis(20), true);
    scenario.start_load("history", 6, Duration::from_millis(20), false);

    scenario.publish_move(&["history"], Duration::from_secs(20));
    let early = status(&scenario, &["--wait", "2", "--wait-ms", "0"]);
    assert_eq!(early.code, PENDING, "{early:?}");
    let good = status(&scenario, &["--wait", "2", "--wait-ms", "60000"]);
    assert_eq!(good.code, DONE, "{good:?}");
    assert!(good.stdout.contains("history: v1 -> v2, done, share 100.0%"), "{good:?}");

    let mut both = Deployment::small().configuration();
    both.services.values_mut().for_each(|service| service.version = Some(NEW.into()));
    scenario.fleet.publish(2, &both);
    let bad = status(&scenario, &["--wait", "3", "--wait-ms", "60000"]);
    assert_eq!(bad.code, TAKEN_BACK, "{bad:?}");
    assert!(bad.stdout.contains("gate: v1 -> v2, taken-back, share 0.0%"), "{bad:?}");
    assert!(bad.stdout.contains("taken back: failing on "), "{bad:?}");

    let json_status = status(&scenario, &["--json"]);
    let report: StatusReport = serde_json::from_str(&json_status.stdout).unwrap();
    let evidence_runs: Vec<u64> = report.moves.iter().map(|one| one.new.run).collect();
    assert!(
        evidence_runs.len() == 2 && evidence_runs.iter().all(|run| *run > 0),
        "evidence runs of both services: {evidence_runs:?}"
    );
    assert_eq!(status(&scenario, &["--wait", "0"]).code, FAILED, "version 0 requested no move");
}
