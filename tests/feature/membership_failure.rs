//! Tests of membership under crashes, pauses and partitions.

use savorykeel_ports::log::PRESENCE_STREAM;
use savorykeel_standins::{
    caller::Request,
    proxy::{Faults, Zone},
};

use crate::harness::{
    deployment::Deployment,
    fleet::{Fleet, Options},
    invariants::InvariantChecker,
    wait::eventually,
};

fn start(deployment: &Deployment) -> Fleet {
    let fleet = Fleet::start(deployment, Options { peer_proxies: true, ..Options::default() });
    fleet.publish(0, &deployment.configuration());
    fleet.wait_version(1);
    for spec in &deployment.services {
        fleet.wait_answered(&format!("/{}", spec.name));
    }
    fleet
}

/// Returns whether a line of a node's log contains a text and names an instance.
fn log_mentions(fleet: &Fleet, member: usize, text: &str, instance: &str) -> bool {
    let log = fleet.members[member].node().log();
    log.lines().any(|line| line.contains(text) && line.contains(&format!("\"{instance}\"")))
}

/// Returns the number of requests that ran at a member's backend server.
fn run_count(fleet: &Fleet, member: usize) -> usize {
    fleet.members[member].runs().len()
}

#[test]
fn leaving_backend_server_gets_no_new_work() {
    let deployment = Deployment::thyrofonia();
    let fleet = start(&deployment);
    let leaving = (0..fleet.members.len())
        .find(|i| fleet.members[*i].backend_settings().service == "history")
        .unwrap();
    fleet.members[leaving].backend().leave();
    eventually("no node sends calls to the leaving backend server", || {
        let before = run_count(&fleet, leaving);
        for addr in fleet.entries() {
            for _ in 0..10 {
                let _ = fleet.client.call(addr, Request::get("/history"));
            }
        }
        run_count(&fleet, leaving) == before
    });
    let before = run_count(&fleet, leaving);
    for addr in fleet.entries() {
        for _ in 0..20 {
            let reply = fleet.client.call(addr, Request::get("/history")).unwrap();
            assert_eq!(reply.status, 200);
        }
    }
    assert_eq!(run_count(&fleet, leaving), before);
}

#[test]
fn crashed_node_is_noticed_and_gets_no_calls() {
    let deployment = Deployment::thyrofonia();
    let mut fleet = start(&deployment);
    let crashed = fleet.members[0].identity.instance.clone();
    fleet.members[0].kill();
    eventually("some node detects the crash", || {
        (1..fleet.members.len()).any(|i| log_mentions(&fleet, i, "can't be reached", &crashed))
    });
    fleet.wait_answered("/history");
    fleet.restart(0);
    eventually("the restarted node's backend server receives calls", || {
        for addr in fleet.entries() {
            let _ = fleet.client.call(addr, Request::get("/history"));
        }
        fleet.members[0].backend().counts().started > 0
    });
}

#[test]
fn resumed_node_gets_calls_again() {
    let deployment = Deployment::small();
    let fleet = start(&deployment);
    let paused = fleet.members[0].identity.instance.clone();
    fleet.members[0].node().pause();
    eventually("some node detects the pause", || {
        (1..fleet.members.len()).any(|i| log_mentions(&fleet, i, "can't be reached", &paused))
    });
    fleet.members[0].node().resume();
    let before = run_count(&fleet, 0);
    let neighbour = (1..fleet.members.len())
        .find(|i| fleet.members[*i].identity.zone == fleet.members[0].identity.zone)
        .unwrap();
    eventually("the node's backend server receives calls again", || {
        let _ = fleet.client.call(fleet.members[neighbour].callers(), Request::get("/gate"));
        run_count(&fleet, 0) > before
    });
}

#[test]
fn partition_heals_and_the_far_side_catches_up() {
    let deployment = Deployment::thyrofonia();
    let fleet = Fleet::start(
        &deployment,
        Options { peer_proxies: true, log_proxies: true, ..Options::default() },
    );
    let mut checker = InvariantChecker::default();
    fleet.publish(0, &deployment.configuration());
    fleet.wait_version(1);
    set_partition(&fleet, true);
    let isolated: Vec<&str> = instances_in_zone(&fleet, 1);
    eventually("a node outside zone 1 marks one of zone 1 unreachable", || {
        let connected = (0..fleet.members.len()).filter(|i| fleet.members[*i].identity.zone != 1);
        connected.into_iter().any(|i| log_mentions(&fleet, i, "can't be reached", isolated[0]))
    });
    fleet.publish(1, &deployment.configuration());
    let is_connected = |zone: u8| zone != 1;
    eventually("the other zones apply version 2", || {
        let connected = fleet.members.iter().filter(|member| is_connected(member.identity.zone));
        connected.into_iter().all(|member| member.node().journal().iter().any(|a| a.version == 2))
    });
    for member in fleet.members.iter().filter(|member| !is_connected(member.identity.zone)) {
        assert!(
            member.node().journal().iter().all(|a| a.version < 2),
            "version 2 crossed the partition"
        );
    }
    set_partition(&fleet, false);
    fleet.wait_version(2);
    for path in ["/history", "/enroll", "/gate", "/ring"] {
        fleet.wait_answered(path);
    }
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}

fn instances_in_zone(fleet: &Fleet, zone: u8) -> Vec<&str> {
    let members = fleet.members.iter().filter(|member| member.identity.zone == zone);
    members.map(|member| member.identity.instance.as_str()).collect()
}

/// Partitions zone 1 from the other zones and from the log, or ends the partition.
fn set_partition(fleet: &Fleet, is_cut: bool) {
    let cut = Faults { refuse: true, drop_requests: true, drop_answers: true, ..Faults::default() };
    let faults = is_cut.then_some(cut);
    for member in &fleet.members {
        let proxy = member.proxy.as_ref().expect("every node has a proxy");
        if member.identity.zone == 1 {
            proxy.set_zone_faults(Zone(2), faults);
            proxy.set_zone_faults(Zone(3), faults);
        } else {
            proxy.set_zone_faults(Zone(1), faults);
        }
    }
    fleet.log_proxies[0].set_faults(faults.unwrap_or_default());
    if !is_cut {
        fleet.log_proxies[0].cut_established();
    }
}

#[test]
fn presence_appends_do_not_grow_with_the_number_of_nodes() {
    let deployment = Deployment::abay();
    let mut fleet = start(&deployment);
    let all: Vec<usize> = (0..fleet.members.len()).collect();
    for member in &all {
        fleet.members[*member].kill();
    }
    for member in &all {
        fleet.restart(*member);
    }
    fleet.wait_answered("/orders");
    let appends = fleet.log.counts()[PRESENCE_STREAM].appends;
    // Three nodes per zone should append. The factor 2 allows one more append for each of
    // them, because nodes that start at the same time race, in either of the two starts.
    let max_appends = u64::from(deployment.zones) * 3 * 2;
    assert!(appends <= max_appends, "{appends} appends of {} nodes", all.len());
}
