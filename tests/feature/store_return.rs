//! The platform's store comes back from a copy some seconds old.
//!
//! What nodes wrote since is gone, offsets are given out again, and operators write again what
//! they had written. Each test is named after the failure that it guards against.

use std::{
    thread,
    time::{Duration, Instant},
};

use savorykeel_platform_standin::{ConfigurationDocument, Copy, EraHeader, MoveOrderDocument};
use savorykeel_ports::log::CONFIGURATION_STREAM;
use savorykeel_standins::{
    backend::{Answer, Behaviour},
    log::Outage,
    proxy::Faults,
};

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
    wait::{TIMEOUT, eventually},
};

/// Time within which a configuration has to be in force on every node that is in touch. After
/// a disruption of the store, nodes are in touch again once it has been stable for 3 s.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Time for which the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(500);

const SERVICES: [&str; 2] = ["gate", "history"];

fn deployment() -> Deployment {
    let services = vec![ServiceSpec::new("gate", 4, false), ServiceSpec::new("history", 2, false)];
    Deployment { zones: 2, services, slots: 20 }
}

fn configuration(number: u64) -> ConfigurationDocument {
    ConfigurationDocument::new(number, &SERVICES)
}

fn start(options: Options) -> Fleet {
    let fleet = Fleet::start(&deployment(), Options { on_platform: true, ..options });
    fleet.wait_members();
    fleet.store.publish(&configuration(1));
    eventually("the first configuration is in force", || fleet.is_routed("/gate/"));
    fleet
}

/// Lets the store be away for a moment and come back from a copy.
fn come_back(fleet: &Fleet, copy: &Copy) {
    fleet.store.set_away(true);
    thread::sleep(AWAY);
    fleet.store.come_back_from(copy);
}

fn restart_node(fleet: &mut Fleet, member: usize) {
    fleet.members[member].node_mut().kill();
    fleet.members[member].node = None;
    fleet.restart(member);
}

#[track_caller]
fn assert_routed_in_time(fleet: &Fleet, path: &str) {
    let started = Instant::now();
    while !fleet.is_routed(path) {
        assert!(started.elapsed() < IN_FORCE_LIMIT, "{path} isn't in force on every node");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn versions_after_a_return_of_the_store_are_not_ignored() {
    let fleet = start(Options::default());
    fleet.store.publish(&configuration(2).route("/kept/", "gate"));
    let copy = fleet.store.copy();
    for number in [4, 5, 8] {
        fleet.store.publish(&configuration(number).route("/lost/", "gate"));
    }
    eventually("the lost version is in force", || fleet.is_routed("/lost/"));
    come_back(&fleet, &copy);
    fleet.store.publish(&configuration(8).route("/lost/", "gate"));
    let newer = configuration(9).route("/lost/", "gate").route("/newer/", "history");
    fleet.store.publish(&newer);
    assert_routed_in_time(&fleet, "/newer/");
    assert_routed_in_time(&fleet, "/lost/");
}

/// The new end lies beyond the offset at which nodes read on, so no read fails.
#[test]
fn versions_below_the_old_end_are_not_skipped() {
    let fleet = start(Options::default());
    let copy = fleet.store.copy();
    for number in [2, 3, 4] {
        fleet.store.publish(&configuration(number).route("/lost/", "gate"));
    }
    eventually("the lost version is in force", || fleet.is_routed("/lost/"));
    fleet.store.set_away(true);
    thread::sleep(AWAY);
    fleet.store.come_back_from(&copy);
    fleet.store.publish(&configuration(5).route("/newer/", "history"));
    for within in [60, 61, 62, 63] {
        fleet.store.order(&MoveOrderDocument {
            service: "history".into(),
            version: "v1".into(),
            within: Duration::from_secs(within),
        });
    }
    assert_routed_in_time(&fleet, "/newer/");
}

#[test]
fn nodes_do_not_go_back_to_the_copy() {
    let mut fleet = start(Options::default());
    let copy = fleet.store.copy();
    fleet.store.publish(&configuration(2).route("/confirmed/", "gate"));
    eventually("the version is in force", || fleet.is_routed("/confirmed/"));
    come_back(&fleet, &copy);
    // The operator hasn't written its records again yet.
    for member in [0, 1] {
        restart_node(&mut fleet, member);
    }
    let started = Instant::now();
    while started.elapsed() < IN_FORCE_LIMIT {
        for member in 0..fleet.members.len() {
            let reply = fleet.call_route(member, "/confirmed/").expect("the node answers");
            assert_ne!(reply.status, 404, "node {member} went back to the copy");
        }
        thread::sleep(Duration::from_millis(20));
    }
    fleet.store.publish(&configuration(3).route("/confirmed/", "gate").route("/newer/", "gate"));
    assert_routed_in_time(&fleet, "/newer/");
}

#[test]
fn restarted_node_does_not_wait_for_an_offset_that_never_comes() {
    let mut fleet = start(Options::default());
    let copy = fleet.store.copy();
    for number in 2..20 {
        fleet.store.publish(&configuration(number).route("/lost/", "gate"));
    }
    eventually("the lost version is in force", || fleet.is_routed("/lost/"));
    come_back(&fleet, &copy);
    fleet.store.publish(&configuration(20).route("/newer/", "gate"));
    restart_node(&mut fleet, 0);
    assert_routed_in_time(&fleet, "/newer/");
}

#[test]
fn presence_records_that_the_copy_lacks_are_written_again_once() {
    let fleet = Fleet::empty(2, Options { on_platform: true, ..Options::default() });
    let copy = fleet.store.copy();
    let mut fleet = fleet;
    for spec in deployment().services {
        for i in 0..spec.instances {
            fleet.add(&spec, (i % 2) as u8 + 1, 20);
        }
    }
    fleet.wait_members();
    fleet.store.publish(&configuration(1));
    eventually("the first configuration is in force", || fleet.is_routed("/gate/"));
    eventually("every node has a record", || fleet.store.present().len() == fleet.members.len());
    let before: Vec<usize> = writes(&fleet);
    come_back(&fleet, &copy);
    fleet.store.publish(&configuration(1));
    let started = Instant::now();
    while fleet.store.present().len() < fleet.members.len() {
        let elapsed = started.elapsed();
        assert!(elapsed < IN_FORCE_LIMIT, "only {:?} are present", fleet.store.present());
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(2));
    let after = writes(&fleet);
    let again: usize = after.iter().zip(&before).map(|(after, before)| after - before).sum();
    assert!(again <= fleet.members.len() + 1, "{before:?} writes before, {after:?} after");
}

fn writes(fleet: &Fleet) -> Vec<usize> {
    let names = fleet.members.iter().map(|member| &member.identity.instance);
    names.map(|name| fleet.store.presence_writes(name)).collect()
}

#[test]
fn odd_era_headers_do_not_stop_the_configuration() {
    let fleet = start(Options::default());
    let headers = [
        EraHeader::Absent,
        EraHeader::Text("eight".into()),
        EraHeader::Number,
        EraHeader::Text("0".into()),
        EraHeader::Text("18446744073709551616".into()),
    ];
    for (number, header) in (2..).zip(headers) {
        fleet.store.set_era_header(header);
        let path = format!("/route-{number}/");
        fleet.store.publish(&configuration(number).route(&path, "gate"));
        assert_routed_in_time(&fleet, &path);
    }
}

/// Time within which an operator wants a move of the tests to complete.
const MOVE_TIME: Duration = Duration::from_secs(8);

/// Members of `gate` that run the new version.
const NEW_MEMBERS: [usize; 2] = [2, 3];

fn order() -> MoveOrderDocument {
    MoveOrderDocument { service: "gate".into(), version: "v2".into(), within: MOVE_TIME }
}

/// Calls `gate` until a condition holds; returns the versions that answered since.
fn call_until(fleet: &Fleet, limit: Duration, mut is_met: impl FnMut() -> bool) -> Vec<String> {
    let started = Instant::now();
    let mut versions = Vec::new();
    for i in 0.. {
        if is_met() || started.elapsed() > limit {
            break;
        }
        let member = i % fleet.members.len();
        if let Some(answer) = fleet.call_route(member, "/gate/").filter(|r| r.status == 200) {
            versions.push(answer.json::<Answer>().expect("the answer is JSON").version);
        }
    }
    versions
}

fn phase(fleet: &Fleet) -> Option<String> {
    fleet.store.status("gate").map(|status| status.phase)
}

/// Moves `gate` to the new version; returns copies from before the order and from the middle
/// of the move.
fn complete_move(fleet: &mut Fleet) -> [Copy; 2] {
    let before = fleet.store.copy();
    fleet.store.order(&order());
    for member in NEW_MEMBERS {
        fleet.members[member].replace_backend("v2", Behaviour::default());
    }
    call_until(fleet, TIMEOUT, || phase(fleet).as_deref() == Some("running"));
    let middle = fleet.store.copy();
    call_until(fleet, TIMEOUT, || phase(fleet).as_deref() == Some("done"));
    assert_eq!(phase(fleet).as_deref(), Some("done"), "the move is completed");
    [before, middle]
}

#[track_caller]
fn assert_still_done(fleet: &Fleet) {
    let is_done = || phase(fleet).as_deref() == Some("done");
    call_until(fleet, IN_FORCE_LIMIT, is_done);
    assert_eq!(phase(fleet).as_deref(), Some("done"), "the status stands there again");
    let versions = call_until(fleet, 2 * AWAY, || false);
    assert!(versions.iter().all(|version| version == "v2"), "{versions:?}");
    assert_eq!(phase(fleet).as_deref(), Some("done"), "the move began again");
}

#[test]
fn completed_move_does_not_begin_again() {
    let mut fleet = start(Options::default());
    let copies = complete_move(&mut fleet);
    for copy in &copies {
        let writes = fleet.store.status_writes("gate");
        come_back(&fleet, copy);
        let versions = call_until(&fleet, 2 * AWAY, || false);
        assert!(versions.iter().all(|version| version == "v2"), "{versions:?}");
        fleet.store.publish(&configuration(1));
        fleet.store.order(&order());
        assert_still_done(&fleet);
        let writes = fleet.store.status_writes("gate") - writes;
        assert!(writes <= 2, "the status was written {writes} times");
    }
}

#[test]
fn version_that_was_taken_back_gets_no_calls() {
    let mut fleet = start(Options::default());
    let copy = fleet.store.copy();
    fleet.store.order(&order());
    for member in NEW_MEMBERS {
        let behaviour = Behaviour { failure_rate: 1.0, ..Behaviour::default() };
        fleet.members[member].replace_backend("v2", behaviour);
    }
    let is_taken_back = || phase(&fleet).as_deref() == Some("taken-back");
    call_until(&fleet, TIMEOUT, is_taken_back);
    assert!(is_taken_back(), "{:?}", phase(&fleet));
    let runs = |fleet: &Fleet| NEW_MEMBERS.map(|member| fleet.members[member].runs().len());
    let before = runs(&fleet);
    come_back(&fleet, &copy);
    fleet.store.order(&order());
    call_until(&fleet, IN_FORCE_LIMIT, is_taken_back);
    assert!(is_taken_back(), "the status stands there again");
    call_until(&fleet, 2 * AWAY, || false);
    assert_eq!(runs(&fleet), before, "the version got calls");
    for member in [0, 1] {
        restart_node(&mut fleet, member);
        call_until(&fleet, 2 * AWAY, || false);
    }
    assert_eq!(runs(&fleet), before, "the version got calls from a node that started");
}

#[test]
fn node_that_starts_after_the_return_knows_an_ended_move() {
    let mut fleet = start(Options::default());
    let [copy, _] = complete_move(&mut fleet);
    come_back(&fleet, &copy);
    fleet.store.publish(&configuration(1));
    fleet.store.order(&order());
    for member in [0, 1, 4] {
        restart_node(&mut fleet, member);
        assert_still_done(&fleet);
    }
}

/// Guards against nodes that go on at an offset of the log's earlier life: they skipped what was
/// published below it, without an error.
#[test]
fn publishes_after_a_return_of_the_log_are_not_skipped() {
    let deployment = deployment();
    let mut fleet = Fleet::start(&deployment, Options::default());
    fleet.publish_first(&deployment, "/gate");
    fleet.publish(1, &deployment.configuration());
    fleet.wait_version(2);
    let copy = fleet.log.copy();
    for base in 2..5 {
        fleet.publish(base, &deployment.configuration());
    }
    fleet.wait_version(5);
    let records = fleet.log.records(CONFIGURATION_STREAM);
    fleet.log.set_outage(Outage::Unavailable);
    thread::sleep(AWAY);
    fleet.log.come_back_from(&copy);
    fleet.log.set_outage(Outage::None);
    eventually("the lost records stand there again, once", || {
        fleet.log.records(CONFIGURATION_STREAM) == records
    });
    fleet.publish(5, &deployment.configuration());
    fleet.wait_version(6);
    let spec = ServiceSpec::new("history", 1, false);
    let started = fleet.add(&spec, 1, 20);
    eventually("a node that starts then has the same version", || {
        fleet.members[started].node().journal().last().is_some_and(|last| last.version == 6)
    });
    thread::sleep(2 * AWAY);
    assert_eq!(fleet.log.records(CONFIGURATION_STREAM).len(), records.len() + 1);
}

/// Nodes that the store turns away learn of the return from the others, and store what is
/// missing as soon as they reach it.
#[test]
fn nodes_that_do_not_reach_the_store_are_not_left_behind() {
    let options = Options { on_platform: true, log_proxies: true, ..Options::default() };
    let mut fleet = Fleet::empty(2, options);
    fleet.store.publish(&configuration(1));
    let copy = fleet.store.copy();
    for spec in deployment().services {
        for i in 0..spec.instances {
            fleet.add(&spec, (i % 2) as u8 + 1, 20);
        }
    }
    fleet.wait_members();
    eventually("the first configuration is in force", || fleet.is_routed("/gate/"));
    eventually("every node has a record", || fleet.store.present().len() == fleet.members.len());
    fleet.log_proxies[1].set_faults(Faults {
        refuse: true,
        drop_requests: true,
        drop_answers: true,
        ..Faults::default()
    });
    come_back(&fleet, &copy);
    fleet.store.publish(&configuration(2).route("/newer/", "gate"));
    assert_routed_in_time(&fleet, "/newer/");
    let in_zone = |zone| fleet.members.iter().filter(move |m| m.identity.zone == zone).count();
    eventually("the records of zone 1 stand there again", || {
        fleet.store.present().len() == in_zone(1)
    });
    fleet.log_proxies[1].set_faults(Faults::default());
    let started = Instant::now();
    while fleet.store.present().len() < fleet.members.len() {
        assert!(started.elapsed() < IN_FORCE_LIMIT, "only {:?} are present", fleet.store.present());
        thread::sleep(Duration::from_millis(50));
    }
}
