//! Moves of whole deployments at today's sizes, with real processes.

use std::{thread, time::Duration};

use savorykeel_policy::moves::state::BadKind;
use savorykeel_standins::{
    backend::{Behaviour, LoadFailures, RouteBehaviour},
    caller::Tally,
    log::Outage,
};
use yare::parameterized;

use crate::{
    feature::moves_stage::{NEW, OLD, Stage, answered_by, failed_by, usual, version_of},
    harness::{deployment::Deployment, wait::eventually},
};

/// The part that each service of a deployment plays.
#[derive(Debug, Clone)]
struct Parts {
    good: &'static str,
    bad_at_once: &'static str,
    bad_route: &'static str,
    bad_under_load: &'static str,
}

const THYROFONIA: Parts =
    Parts { good: "ring", bad_at_once: "gate", bad_route: "enroll", bad_under_load: "history" };

const ABAY: Parts = Parts {
    good: "pricebook",
    bad_at_once: "orders",
    bad_route: "payments",
    bad_under_load: "dispatch",
};

/// How the new version of each service of both deployments behaves.
fn behaviour(service: &str) -> Behaviour {
    match service {
        "gate" | "orders" => Behaviour { failure_rate: 0.5, ..usual() },
        "enroll" | "payments" => {
            let path = format!("/{service}/change");
            let route = RouteBehaviour { path, failure_rate: 0.5, extra_latency_ms: 0 };
            Behaviour { routes: vec![route], ..usual() }
        }
        "history" | "dispatch" => Behaviour {
            latency_ms: 30,
            under_load: Some(LoadFailures { above: 2, rate: 0.5 }),
            ..usual()
        },
        _ => usual(),
    }
}

#[parameterized(
    thyrofonia = { Deployment::thyrofonia(), THYROFONIA },
    abay = { Deployment::abay(), ABAY },
)]
fn good_version_is_done_and_bad_ones_are_taken_back(deployment: Deployment, parts: Parts) {
    let mut stage = Stage::start(&deployment, behaviour);
    stage.call(parts.good, 6, Duration::from_millis(30), false);
    stage.call(parts.bad_at_once, 6, Duration::from_millis(30), true);
    stage.call(parts.bad_route, 6, Duration::from_millis(30), true);
    stage.call(parts.bad_under_load, 16, Duration::ZERO, false);
    let services = [parts.good, parts.bad_at_once, parts.bad_route, parts.bad_under_load];
    stage.publish_move(&services, Duration::from_secs(40));

    let reason = stage.wait_taken_back(parts.bad_at_once);
    assert_eq!(reason.kind, BadKind::Failing);
    let spread = stage.wait_taken_back_everywhere(parts.bad_at_once);
    eprintln!("the verdict reached {} nodes within {spread:?}", stage.fleet.members.len());
    stage.wait_no_calls(parts.bad_at_once, NEW);
    let calls = stage.finish(parts.bad_at_once);
    let (met, failed) = (answered_by(&calls, NEW), failed_by(&calls, NEW));
    eprintln!("{} calls, {met} met the bad version, {failed} failed", calls.len());
    assert!(met > 0 && met * 5 < calls.len(), "{met} of {} calls met it", calls.len());
    assert!(failed * 10 < calls.len(), "{failed} of {} calls failed", calls.len());

    let reason = stage.wait_taken_back(parts.bad_route);
    let route = format!("{}-change", parts.bad_route);
    assert_eq!(reason.kind, BadKind::Failing);
    assert!(reason.route.is_none_or(|found| found.as_str() == route));
    stage.wait_no_calls(parts.bad_route, NEW);

    stage.wait_taken_back(parts.bad_under_load);
    stage.wait_no_calls(parts.bad_under_load, NEW);

    let done = stage.wait_done(parts.good);
    assert!(done.at <= stage.by, "done {} ms late", done.at.0.saturating_sub(stage.by.0));
    stage.wait_no_calls(parts.good, OLD);
    let calls = stage.finish(parts.good);
    let last = &calls[calls.len() - 20..];
    assert!(last.iter().all(|call| version_of(call) == Some(NEW)), "{last:?}");
    let tally = Tally::compare(&calls, &stage.runs());
    assert_eq!(tally.answered, tally.calls, "{:?}", tally.problems);
    assert_eq!((tally.failed, tally.doubled), (0, 0));
    assert_eq!(stage.endings(parts.good).iter().filter(|e| e.state.bad.is_some()).count(), 0);
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
    let mut stage = Stage::start(&deployment, |_| usual());
    stage.call(bad_later, 6, Duration::from_millis(30), true);
    stage.publish_move(&[bad_later, replaced], Duration::from_secs(30));
    stage.fleet.log.set_outage(Outage::Unavailable);

    thread::sleep(Duration::from_secs(12));
    let group = stage.group(replaced);
    for member in &group {
        stage.fleet.members[*member].kill();
    }
    for member in &group {
        stage.fleet.restart(*member);
    }
    stage.call(replaced, 6, Duration::from_millis(30), false);
    stage.wait_no_calls(replaced, OLD);
    stage.wait_no_calls(bad_later, OLD);

    for member in stage.new_members(bad_later) {
        let bad = Behaviour { failure_rate: 0.3, ..usual() };
        stage.fleet.members[member].backend().set_behaviour(bad);
    }
    stage.wait_no_calls(bad_later, NEW);

    assert!(stage.endings(bad_later).is_empty(), "the log was away");
    stage.fleet.log.set_outage(Outage::None);
    stage.wait_taken_back(bad_later);
    let done = stage.wait_done(replaced);
    assert!(done.state.bad.is_none());
    eventually("the ends are in the log once each or a little more", || {
        stage.endings(replaced).len() <= group.len()
    });
    let calls = stage.finish(replaced);
    assert_eq!(failed_by(&calls, NEW), 0);
    assert!(answered_by(&calls, NEW) > 0);
}
