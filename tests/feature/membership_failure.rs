//! Membership under crashes, pauses and partitions.

use savorykeel_ports::log::PRESENCE_STREAM;
use savorykeel_standins::{
    caller::Request,
    proxy::{Faults, Zone},
};

use crate::harness::{
    deployment::Deployment,
    fleet::{Fleet, Options},
    promises::Referee,
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

/// Tells whether a node's log says something of another node.
fn says(fleet: &Fleet, member: usize, what: &str, of: &str) -> bool {
    let log = fleet.members[member].node().log();
    log.lines().any(|line| line.contains(what) && line.contains(&format!("\"{of}\"")))
}

/// Counts the runs at a member's backend server.
fn runs(fleet: &Fleet, member: usize) -> usize {
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
    eventually("calls from every node pass the leaving backend server by", || {
        let before = runs(&fleet, leaving);
        for addr in fleet.entries() {
            for _ in 0..10 {
                let _ = fleet.client.call(addr, Request::get("/history"));
            }
        }
        runs(&fleet, leaving) == before
    });
    let before = runs(&fleet, leaving);
    for addr in fleet.entries() {
        for _ in 0..20 {
            let reply = fleet.client.call(addr, Request::get("/history")).unwrap();
            assert_eq!(reply.status, 200);
        }
    }
    assert_eq!(runs(&fleet, leaving), before);
}

#[test]
fn crashed_node_is_noticed_and_passed_by() {
    let deployment = Deployment::thyrofonia();
    let mut fleet = start(&deployment);
    let crashed = fleet.members[0].place.instance.clone();
    fleet.members[0].kill();
    eventually("some node notices the crash", || {
        (1..fleet.members.len()).any(|i| says(&fleet, i, "can't be reached", &crashed))
    });
    fleet.wait_answered("/history");
    fleet.restart(0);
    eventually("the restarted node's backend server gets work", || {
        for addr in fleet.entries() {
            let _ = fleet.client.call(addr, Request::get("/history"));
        }
        fleet.members[0].backend().counts().started > 0
    });
}

#[test]
fn paused_node_is_taken_back_when_it_goes_on() {
    let deployment = Deployment::small();
    let fleet = start(&deployment);
    let paused = fleet.members[0].place.instance.clone();
    fleet.members[0].node().pause();
    eventually("the pause is noticed", || {
        (1..fleet.members.len()).any(|i| says(&fleet, i, "can't be reached", &paused))
    });
    fleet.members[0].node().resume();
    let before = runs(&fleet, 0);
    let neighbour = (1..fleet.members.len())
        .find(|i| fleet.members[*i].place.zone == fleet.members[0].place.zone)
        .unwrap();
    eventually("the node's backend server gets work again", || {
        let _ = fleet.client.call(fleet.members[neighbour].callers(), Request::get("/gate"));
        runs(&fleet, 0) > before
    });
}

#[test]
fn partition_heals_and_the_far_side_catches_up() {
    let deployment = Deployment::thyrofonia();
    let fleet = Fleet::start(
        &deployment,
        Options { peer_proxies: true, log_proxies: true, ..Options::default() },
    );
    let mut referee = Referee::default();
    fleet.publish(0, &deployment.configuration());
    fleet.wait_version(1);
    set_partition(&fleet, true);
    let far: Vec<&str> = zone_names(&fleet, 1);
    eventually("the near side gives up on the far one", || {
        let near = (0..fleet.members.len()).filter(|i| fleet.members[*i].place.zone != 1);
        near.into_iter().any(|i| says(&fleet, i, "can't be reached", far[0]))
    });
    fleet.publish(1, &deployment.configuration());
    let is_near = |zone: u8| zone != 1;
    eventually("the near side applies version 2", || {
        let near = fleet.members.iter().filter(|member| is_near(member.place.zone));
        near.into_iter().all(|member| member.node().journal().iter().any(|a| a.version == 2))
    });
    for member in fleet.members.iter().filter(|member| !is_near(member.place.zone)) {
        assert!(member.node().journal().iter().all(|a| a.version < 2), "crossed the partition");
    }
    set_partition(&fleet, false);
    fleet.wait_version(2);
    for path in ["/history", "/enroll", "/gate", "/ring"] {
        fleet.wait_answered(path);
    }
    referee.read(&fleet);
    referee.assert_promises(&fleet);
}

fn zone_names(fleet: &Fleet, zone: u8) -> Vec<&str> {
    let members = fleet.members.iter().filter(|member| member.place.zone == zone);
    members.map(|member| member.place.instance.as_str()).collect()
}

/// Cuts zone 1 off from the other zones and from the log, or heals it.
fn set_partition(fleet: &Fleet, is_cut: bool) {
    let cut = Faults { refuse: true, drop_requests: true, drop_answers: true, ..Faults::default() };
    let faults = is_cut.then_some(cut);
    for member in &fleet.members {
        let proxy = member.proxy.as_ref().expect("every node has a proxy");
        if member.place.zone == 1 {
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
    // Three a zone are wanted; a race may add one more for each in either start.
    let most = u64::from(deployment.zones) * 3 * 2;
    assert!(appends <= most, "{appends} appends of {} nodes", all.len());
}
