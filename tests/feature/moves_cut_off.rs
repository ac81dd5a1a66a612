//! Moves while machines are cut off, with real processes on the platform's interface.

use std::{
    thread,
    time::{Duration, Instant},
};

use savorykeel_platform_standin::{ConfigurationDocument, MoveOrderDocument};
use savorykeel_standins::{
    backend::Behaviour,
    proxy::{Faults, Zone},
};
use yare::parameterized;

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
};

/// Time within which the moves have to complete.
const WITHIN: Duration = Duration::from_secs(16);

/// Time from the order to the cut, and its length.
const CUT_AFTER: Duration = Duration::from_millis(500);
const CUT_TIME: Duration = Duration::from_secs(10);

/// Zone of the machine that is cut off; the others are in zones 1 and 2.
const CUT_ZONE: u8 = 3;

/// What the machine of the new version is cut off from, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    Nodes,
    NodesAndStore,
    BeforeStart,
}

fn start() -> Fleet {
    let services = vec![ServiceSpec::new("gate", 2, false), ServiceSpec::new("history", 2, false)];
    let deployment = Deployment { zones: 2, services: services.clone(), slots: 20 };
    let options =
        Options { on_platform: true, peer_proxies: true, log_proxies: true, ..Options::default() };
    let mut fleet = Fleet::empty(CUT_ZONE, options);
    for spec in &services {
        for zone in 1..=deployment.zones {
            fleet.add(spec, zone, deployment.slots);
        }
    }
    fleet.wait_members();
    fleet.store.publish(&ConfigurationDocument::new(1, &["gate", "history"]));
    call_until(&fleet, WITHIN, || fleet.is_routed("/gate/"));
    fleet
}

fn add_new_version(fleet: &mut Fleet) {
    let spec = ServiceSpec { version: "v2".into(), ..ServiceSpec::new("gate", 1, false) };
    fleet.add(&spec, CUT_ZONE, 20);
}

fn order(fleet: &Fleet) {
    fleet.store.order(&MoveOrderDocument {
        service: "gate".into(),
        version: "v2".into(),
        within: WITHIN,
    });
}

fn set_cut(fleet: &Fleet, cut: Option<Cut>) {
    let silent = Faults { drop_requests: true, drop_answers: true, ..Faults::default() };
    let faults = cut.map(|_| silent);
    for member in &fleet.members {
        let proxy = member.proxy.as_ref().expect("every node has a proxy");
        match member.identity.zone {
            CUT_ZONE => [1, 2].iter().for_each(|zone| proxy.set_zone_faults(Zone(*zone), faults)),
            _ => proxy.set_zone_faults(Zone(CUT_ZONE), faults),
        }
        if cut.is_none() {
            proxy.cut_established();
        }
    }
    let store_proxy = &fleet.log_proxies[usize::from(CUT_ZONE) - 1];
    let is_store_cut = cut == Some(Cut::NodesAndStore);
    store_proxy.set_faults(if is_store_cut { silent } else { Faults::default() });
    if cut.is_none() {
        store_proxy.cut_established();
    }
}

fn phase(fleet: &Fleet) -> Option<String> {
    fleet.store.status("gate").map(|status| status.phase)
}

/// Calls the service at the machines that aren't cut off until a condition holds or `limit` has
/// passed; returns whether it held.
fn call_until(fleet: &Fleet, limit: Duration, condition: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition() {
            return true;
        }
        let entries = fleet.members.iter().enumerate().filter(|(_, m)| m.identity.zone != CUT_ZONE);
        for (entry, _) in entries {
            fleet.call_route(entry, "/gate/");
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Guards against a machine that is cut off and takes the old version, of which it reaches no
/// server, for ended: it completed the move to a version that fails.
#[parameterized(
    from_nodes = { Cut::Nodes },
    from_nodes_and_store = { Cut::NodesAndStore },
    before_it_starts = { Cut::BeforeStart },
)]
fn cut_off_machine_does_not_complete_a_move(cut: Cut) {
    let mut fleet = start();
    if cut == Cut::BeforeStart {
        set_cut(&fleet, Some(cut));
    }
    add_new_version(&mut fleet);
    if cut == Cut::BeforeStart {
        set_cut(&fleet, Some(cut));
    } else {
        fleet.wait_members();
    }
    let failing = Behaviour { failure_rate: 0.5, ..Behaviour::default() };
    fleet.members.last().expect("it was added").backend().set_behaviour(failing);
    order(&fleet);
    thread::sleep(CUT_AFTER);
    set_cut(&fleet, Some(cut));
    let is_done = || phase(&fleet).as_deref() == Some("done");
    assert!(!call_until(&fleet, CUT_TIME, is_done), "completed during the cut");
    set_cut(&fleet, None);
    let has_ended = || matches!(phase(&fleet).as_deref(), Some("done" | "taken-back"));
    call_until(&fleet, WITHIN, has_ended);
    assert_eq!(phase(&fleet).as_deref(), Some("taken-back"));
}

/// Guards against a move that waits for an old version that has ended: its nodes run on and say
/// so, which tells it from one that can't be reached.
#[test]
fn move_from_a_version_that_crashed_is_done_in_time() {
    let mut fleet = start();
    add_new_version(&mut fleet);
    fleet.wait_members();
    order(&fleet);
    for member in fleet.members.iter().filter(|m| m.backend_settings().service == "gate") {
        if member.backend_settings().version == "v1" {
            member.backend().crash();
        }
    }
    let is_done = || phase(&fleet).as_deref() == Some("done");
    assert!(call_until(&fleet, WITHIN, is_done), "{:?}", phase(&fleet));
}
