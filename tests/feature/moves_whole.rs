//! Tests of moves in the two existing deployments at full size, with real
//! processes.

use std::{thread, time::Duration};

use savorykeel_policy::moves::state::BadKind;
use savorykeel_standins::{
    backend::{Behaviour, LoadFailures, RouteBehaviour},
    caller::Tally,
    log::Outage,
};
use yare::parameterized;

use crate::{
    feature::moves_stage::{
        MoveScenario, NEW, OLD, answered_by, default_behaviour, failed_by, version_of,
    },
    harness::{deployment::Deployment, wait::eventually},
};

/// The service of a deployment for each kind of new version.
#[derive(Debug, Clone)]
struct ServiceRoles {
    good: &'static str,
    bad_at_once: &'static str,
    bad_route: &'static str,
    bad_under_load: &'static str,
}

const THYROFONIA: ServiceRoles = ServiceRoles {
    good: "ring",
    bad_at_once: "gate",
    bad_route: "enroll",
    bad_under_load: "history",
};

const ABAY: ServiceRoles = ServiceRoles {
    good: "pricebook",
    bad_at_once: "orders",
    bad_route: "payments",
    bad_under_load: "dispatch",
};

/// Returns how the new version of a service of either deployment behaves.
fn behaviour(service: &str) -> Behaviour {
    match service {
        "gate" | "orders" => Behaviour { failure_rate: 0.5, ..default_behaviour() },
        "enroll" | "payments" => {
            let path = format!("/{service}/change");
            let route = RouteBehaviour { path, failure_rate: 0.5, extra_latency_ms: 0 };
            Behaviour { routes: vec![route], ..default_behaviour() }
        }
        "history" | "dispatch" => Behaviour {
            latency_ms: 30,
            under_load: Some(LoadFailures { above: 2, rate: 0.5 }),
            ..default_behaviour()
        },
        _ => default_behaviour(),
    }
}

#[parameterized(
    thyrofonia = { Deployment::thyrofonia(), THYROFONIA },
    abay = { Deployment::abay(), ABAY },
)]
fn good_version_is_done_and_bad_ones_are_rolled_back(deployment: Deployment, roles: ServiceRoles) {
    let mut scenario = MoveScenario::start(&deployment, behaviour);
    scenario.start_load(roles.good, 6, Duration::from_millis(30), false);
    scenario.start_load(roles.bad_at_once, 6, Duration::from_millis(30), true);
    scenario.start_load(roles.bad_route, 6, Duration::from_millis(30), true);
    scenario.start_load(roles.bad_under_load, 16, Duration::ZERO, false);
    let services = [roles.good, roles.bad_at_once, roles.bad_route, roles.bad_under_load];
    scenario.publish_move(&services, Duration::from_secs(40));

    let reason = scenario.wait_rolled_back(roles.bad_at_once);
    assert_eq!(reason.kind, BadKind::Failing);
    let spread = scenario.wait_rolled_back_on_all_nodes(roles.bad_at_once);
    eprintln!("the verdict reached {} nodes within {spread:?}", scenario.fleet.members.len());
    scenario.wait_no_calls(roles.bad_at_once, NEW);
    let calls = scenario.finish(roles.bad_at_once);
    let (answered, failed) = (answered_by(&calls, NEW), failed_by(&calls, NEW));
    eprintln!("{} calls, {answered} answered by the bad version, {failed} failed", calls.len());
    assert!(
        answered > 0 && answered * 5 < calls.len(),
        "{answered} of {} calls were answered by it",
        calls.len()
    );
    assert!(failed * 10 < calls.len(), "{failed} of {} calls failed", calls.len());

    let reason = scenario.wait_rolled_back(roles.bad_route);
    let route = format!("{}-change", roles.bad_route);
    assert_eq!(reason.kind, BadKind::Failing);
    assert!(reason.route.is_none_or(|found| found.as_str() == route));
    scenario.wait_no_calls(roles.bad_route, NEW);

    scenario.wait_rolled_back(roles.bad_under_load);
    scenario.wait_no_calls(roles.bad_under_load, NEW);

    let done = scenario.wait_done(roles.good);
    assert!(
        done.at <= scenario.deadline,
        "done {} ms late",
        done.at.0.saturating_sub(scenario.deadline.0)
    );
    scenario.wait_no_calls(roles.good, OLD);
    let calls = scenario.finish(roles.good);
    let last_calls = &calls[calls.len() - 20..];
    assert!(last_calls.iter().all(|call| version_of(call) == Some(NEW)), "{last_calls:?}");
    let tally = Tally::compare(&calls, &scenario.runs());
    assert_eq!(tally.answered, tally.calls, "{:?}", tally.problems);
    assert_eq!((tally.failed, tally.doubled), (0, 0));
    assert_eq!(scenario.endings(roles.good).iter().filter(|e| e.state.bad.is_some()).count(), 0);
}

#[parameterized(
    thyrofonia = { Deployment::thyrofonia(), "gate", "ring" },
    abay = { Deployment::abay(), "orders", "pricebook" },
)]
fn moves_go_on_without_log_and_after_their_nodes_were_replaced(
    deployment: Deployment,
    bad_later: &'static str,
    replaced: &'static str,
) {
    let mut scenario = MoveScenario::start(&deployment, |_| default_behaviour());
    scenario.start_load(bad_later, 6, Duration::from_millis(30), true);
    scenario.publish_move(&[bad_later, replaced], Duration::from_secs(30));
    scenario.fleet.log.set_outage(Outage::Unavailable);

    thread::sleep(Duration::from_secs(12));
    let group = scenario.members_of(replaced);
    for member in &group {
        scenario.fleet.members[*member].kill();
    }
    for member in &group {
        scenario.fleet.restart(*member);
    }
    scenario.start_load(replaced, 6, Duration::from_millis(30), false);
    scenario.wait_no_calls(replaced, OLD);
    scenario.wait_no_calls(bad_later, OLD);

    for member in scenario.new_members(bad_later) {
        let bad = Behaviour { failure_rate: 0.3, ..default_behaviour() };
        scenario.fleet.members[member].backend().set_behaviour(bad);
    }
    scenario.wait_no_calls(bad_later, NEW);

    assert!(scenario.endings(bad_later).is_empty(), "the log was unavailable");
    scenario.fleet.log.set_outage(Outage::None);
    scenario.wait_rolled_back(bad_later);
    let done = scenario.wait_done(replaced);
    assert!(done.state.bad.is_none());
    eventually("the log holds at most one ending per member", || {
        scenario.endings(replaced).len() <= group.len()
    });
    let calls = scenario.finish(replaced);
    assert_eq!(failed_by(&calls, NEW), 0);
    assert!(answered_by(&calls, NEW) > 0);
}
