//! Orders for one service in succession, with real processes on the platform's interface.

use std::{
    thread,
    time::{Duration, Instant},
};

use savorykeel_platform_standin::{ConfigurationDocument, MoveOrderDocument};
use savorykeel_standins::backend::Behaviour;
use yare::parameterized;

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
    wait::eventually,
};

/// Time within which the moves have to complete.
const WITHIN: Duration = Duration::from_secs(16);

/// Time from the first order to the second, and from there to the end of the test.
const ORDER_BACK_AFTER: Duration = Duration::from_secs(2);
const OBSERVED: Duration = Duration::from_secs(5);

/// Share of the requests that an unproven version may get, and a number besides.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: usize = 50;

/// What happens between the two orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Between {
    Nothing,
    RestartsInTurn,
    RestartOfAll,
}

fn order(fleet: &Fleet, version: &str) {
    fleet.store.order(&MoveOrderDocument {
        service: "gate".into(),
        version: version.into(),
        within: WITHIN,
    });
}

/// Calls the service at two nodes for a time.
fn call_for(fleet: &Fleet, time: Duration) {
    let started = Instant::now();
    while started.elapsed() < time {
        [2, 3].iter().for_each(|entry| drop(fleet.call_route(*entry, "/gate/")));
        thread::sleep(Duration::from_millis(5));
    }
}

fn restart(fleet: &mut Fleet, members: &[usize]) {
    for member in members {
        fleet.members[*member].node_mut().kill();
        fleet.members[*member].node = None;
    }
    for member in members {
        fleet.restart(*member);
    }
    eventually("the nodes serve again", || fleet.is_routed("/gate/"));
}

fn runs_of(fleet: &Fleet, version: &str) -> usize {
    let members = fleet.of_service("gate");
    let of_version = members.filter(|m| m.backend_settings().version == version);
    of_version.map(|member| member.runs().len()).sum()
}

/// Guards against an order back to the version that carries the traffic, which sent all of it to
/// the version that was rising.
#[parameterized(
    at_once = { Between::Nothing },
    nodes_restarted_in_turn = { Between::RestartsInTurn },
    all_nodes_restarted = { Between::RestartOfAll },
)]
fn order_back_keeps_the_traffic_where_it_is(between: Between) {
    let services = vec![ServiceSpec::new("gate", 2, false), ServiceSpec::new("history", 2, false)];
    let deployment = Deployment { zones: 2, services, slots: 20 };
    let mut fleet = Fleet::start(&deployment, Options { on_platform: true, ..Options::default() });
    fleet.wait_members();
    fleet.store.publish(&ConfigurationDocument::new(1, &["gate", "history"]));
    eventually("the configuration is in force", || fleet.is_routed("/gate/"));
    call_for(&fleet, Duration::from_secs(4));
    order(&fleet, "v2");
    let new = ServiceSpec { version: "v2".into(), ..ServiceSpec::new("gate", 1, false) };
    let added = [fleet.add(&new, 1, 20), fleet.add(&new, 2, 20)];
    fleet.wait_members();
    call_for(&fleet, ORDER_BACK_AFTER);
    let all: Vec<usize> = (0..fleet.members.len()).collect();
    match between {
        Between::Nothing => {}
        Between::RestartsInTurn => all.iter().for_each(|member| restart(&mut fleet, &[*member])),
        Between::RestartOfAll => restart(&mut fleet, &all),
    }
    order(&fleet, "v1");
    thread::sleep(Duration::from_millis(500));
    let failing = Behaviour { failure_rate: 0.5, ..Behaviour::default() };
    added.iter().for_each(|member| fleet.members[*member].backend().set_behaviour(failing.clone()));
    let (old_before, new_before) = (runs_of(&fleet, "v1"), runs_of(&fleet, "v2"));
    call_for(&fleet, OBSERVED);
    let (old, new) = (runs_of(&fleet, "v1") - old_before, runs_of(&fleet, "v2") - new_before);
    let allowed = ((old + new) as f64 * EXPOSURE_SHARE) as usize + EXPOSURE_SLACK;
    assert!(new <= allowed, "{new} of {} requests ran at v2, {allowed} are allowed", old + new);
    assert!(old > 100, "{old} requests ran at v1");
}
