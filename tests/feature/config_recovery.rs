//! Tests of the configuration under restarts, outages of the log and lost records.
//!
//! Each test asserts from the nodes' own journals that no node applied a lower
//! version than before and that each applied only complete accepted versions.

use savorykeel_policy::config::raw::RawConfiguration;
use savorykeel_ports::log::{CHECKPOINT_STREAM, CONFIGURATION_STREAM};
use savorykeel_standins::{
    caller::Request,
    log::Outage,
    proxy::{Faults, Zone},
};

use crate::harness::{
    deployment::Deployment,
    fleet::{Fleet, Options},
    invariants::InvariantChecker,
    publish::PublishRecord,
    wait::eventually,
};

/// Starts a fleet whose nodes keep their addresses over restarts.
fn start(deployment: &Deployment) -> Fleet {
    Fleet::start(deployment, Options { peer_proxies: true, ..Options::default() })
}

/// Returns a configuration that differs from the other variants by its call depth.
fn configuration_variant(deployment: &Deployment, variant: u64) -> RawConfiguration {
    let mut configuration = deployment.configuration();
    configuration.limits.call_depth = 10 + variant as u32;
    configuration
}

/// Publishes versions one after another and waits until every running node has
/// applied each.
#[track_caller]
fn publish_versions(
    fleet: &Fleet,
    deployment: &Deployment,
    versions: std::ops::RangeInclusive<u64>,
) {
    for version in versions {
        fleet.publish(version - 1, &configuration_variant(deployment, version));
        fleet.wait_version(version);
    }
}

fn in_zone(fleet: &Fleet, zone: u8) -> Vec<usize> {
    (0..fleet.members.len()).filter(|i| fleet.members[*i].identity.zone == zone).collect()
}

fn kill(fleet: &mut Fleet, members: &[usize]) {
    for member in members {
        fleet.members[*member].kill();
    }
}

fn restart(fleet: &mut Fleet, members: &[usize]) {
    for member in members {
        fleet.restart(*member);
    }
}

/// Waits until restarted members have applied a version in a new incarnation.
#[track_caller]
fn wait_applied_again(fleet: &Fleet, members: &[usize], version: u64) {
    for member in members {
        let instance = &fleet.members[*member].identity.instance;
        eventually(&format!("{instance} serves version {version} again"), || {
            let journal = crate::harness::invariants::read_journal(fleet, instance);
            let incarnations: std::collections::BTreeSet<u64> =
                journal.iter().map(|applied| applied.incarnation).collect();
            let last = journal.last().map(|applied| applied.version.0);
            incarnations.len() > 1 && last == Some(version)
        });
    }
}

#[test]
fn restarted_zone_comes_back_at_the_version_in_force() {
    let deployment = Deployment::thyrofonia();
    let mut fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=3);
    let zone = in_zone(&fleet, 1);
    kill(&mut fleet, &zone);
    fleet.publish(3, &configuration_variant(&deployment, 4));
    fleet.wait_version(4);
    restart(&mut fleet, &zone);
    wait_applied_again(&fleet, &zone, 4);
    publish_versions(&fleet, &deployment, 5..=5);
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}

#[test]
fn restarted_fleet_comes_back_at_the_version_in_force() {
    let deployment = Deployment::thyrofonia();
    let mut fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=6);
    let all: Vec<usize> = (0..fleet.members.len()).collect();
    kill(&mut fleet, &all);
    restart(&mut fleet, &all);
    wait_applied_again(&fleet, &all, 6);
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}

#[test]
fn zone_restarts_without_the_log_and_catches_up_when_it_is_back() {
    let deployment = Deployment::thyrofonia();
    let mut fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=3);
    fleet.log.set_outage(Outage::Unavailable);
    let zone = in_zone(&fleet, 2);
    kill(&mut fleet, &zone);
    restart(&mut fleet, &zone);
    wait_applied_again(&fleet, &zone, 3);
    for version in 4..=9 {
        fleet.publish(version - 1, &configuration_variant(&deployment, version));
    }
    fleet.log.set_outage(Outage::None);
    fleet.wait_version(9);
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}

#[test]
fn fleet_that_restarts_without_the_log_serves_nothing_until_it_is_back() {
    let deployment = Deployment::small();
    let mut fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=2);
    let all: Vec<usize> = (0..fleet.members.len()).collect();
    kill(&mut fleet, &all);
    fleet.log.set_outage(Outage::Silent);
    restart(&mut fleet, &all);
    let addr = fleet.members[0].callers();
    let req = Request::get("/gate");
    let reply = fleet.client.call(addr, req).expect("the node answers");
    assert_eq!((reply.code(), reply.outcome()), (Some(100), Some("not-run")));
    fleet.log.set_outage(Outage::None);
    wait_applied_again(&fleet, &all, 2);
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}

#[test]
fn restarted_node_does_not_trust_peers_that_lag() {
    let deployment = Deployment::thyrofonia();
    let options = Options { peer_proxies: true, log_proxies: true, ..Options::default() };
    let mut fleet = Fleet::start(&deployment, options);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=1);
    // Zone 1 is partitioned off and stays at version 1.
    set_partition(&fleet, true);
    fleet.publish(1, &configuration_variant(&deployment, 2));
    let restarted = in_zone(&fleet, 3)[0];
    let ahead: Vec<usize> = [in_zone(&fleet, 2), in_zone(&fleet, 3)].concat();
    eventually("zones 2 and 3 apply version 2", || {
        let journals = ahead.iter().map(|i| fleet.members[*i].node().journal());
        journals.into_iter().all(|journal| journal.iter().any(|a| a.version == 2))
    });
    // The log becomes unavailable, and no node that has version 2 can answer.
    fleet.log.set_outage(Outage::Unavailable);
    let old_log_len = fleet.members[restarted].node().log().len();
    fleet.members[restarted].kill();
    let paused: Vec<usize> = ahead.into_iter().filter(|i| *i != restarted).collect();
    for member in &paused {
        fleet.members[*member].node().pause();
    }
    set_partition(&fleet, false);
    fleet.restart(restarted);
    eventually("nodes of zone 1 answer the restarted node", || {
        let log = fleet.members[restarted].node().log();
        log[old_log_len..].contains("\"recovering\"") && log[old_log_len..].contains("\"floor\":1")
    });
    for _ in 0..40 {
        let addr = fleet.members[restarted].callers();
        let reply = fleet.client.call(addr, Request::get("/gate")).expect("the node answers");
        assert_eq!((reply.code(), reply.outcome()), (Some(100), Some("not-run")));
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    for member in &paused {
        fleet.members[*member].node().resume();
    }
    fleet.wait_version(2);
    wait_applied_again(&fleet, &[restarted], 2);
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}

const PARTITION: Faults = Faults {
    refuse: true,
    drop_requests: true,
    drop_answers: true,
    request_delay_ms: 0,
    answer_delay_ms: 0,
};

/// Partitions zone 1 from the other zones and from the log, or ends the partition.
fn set_partition(fleet: &Fleet, is_partitioned: bool) {
    let faults = is_partitioned.then_some(PARTITION);
    for member in &fleet.members {
        let proxy = member.proxy.as_ref().expect("every node has a proxy");
        let sources: &[u8] = if member.identity.zone == 1 { &[2, 3] } else { &[1] };
        for from in sources {
            proxy.set_zone_faults(Zone(*from), faults);
        }
    }
    fleet.log_proxies[0].set_faults(faults.unwrap_or_default());
    fleet.log_proxies[0].cut_established();
}

#[test]
fn paused_node_catches_up_although_the_records_are_gone() {
    let deployment = Deployment::small();
    let fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=1);
    fleet.members[0].node().pause();
    for version in 2..=40 {
        fleet.publish(version - 1, &configuration_variant(&deployment, version));
    }
    eventually("the other nodes apply version 40", || {
        fleet.members[1..]
            .iter()
            .all(|member| member.node().journal().iter().any(|applied| applied.version == 40))
    });
    checker.read_log(&fleet);
    fleet.log.expire_oldest(CONFIGURATION_STREAM, 40);
    fleet.members[0].node().resume();
    fleet.wait_version(40);
    checker.assert_invariants(&fleet);
}

#[test]
fn fleet_starts_from_a_checkpoint_when_every_record_is_gone() {
    let deployment = Deployment::small();
    let adjust_node = Box::new(|settings: &mut savorykeel_node::settings::RawSettings| {
        settings.control.checkpoint = std::time::Duration::from_millis(500);
    });
    let mut fleet = Fleet::start(
        &deployment,
        Options { peer_proxies: true, adjust_node, ..Options::default() },
    );
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=3);
    eventually("a checkpoint covers every record", || {
        let checkpoints = fleet.log.records(CHECKPOINT_STREAM);
        let parsed = checkpoints
            .iter()
            .filter_map(|body| savorykeel_policy::config::checkpoint::Checkpoint::parse(body).ok());
        parsed.into_iter().any(|checkpoint| checkpoint.image.position.0 == 3)
    });
    checker.read_log(&fleet);
    let all: Vec<usize> = (0..fleet.members.len()).collect();
    kill(&mut fleet, &all);
    fleet.log.expire_oldest(CONFIGURATION_STREAM, 3);
    restart(&mut fleet, &all);
    wait_applied_again(&fleet, &all, 3);
    publish_versions(&fleet, &deployment, 4..=4);
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}

#[test]
fn repeated_append_comes_into_force_once() {
    let deployment = Deployment::small();
    let fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    let record = PublishRecord::new(0, &configuration_variant(&deployment, 1));
    let body = serde_json::to_vec(&record).unwrap();
    for _ in 0..3 {
        fleet.log.append(CONFIGURATION_STREAM, body.clone());
    }
    publish_versions(&fleet, &deployment, 2..=2);
    checker.read_log(&fleet);
    assert_eq!(checker.version(), 2);
    checker.assert_invariants(&fleet);
}

#[test]
fn record_of_unknown_format_stops_every_node() {
    let deployment = Deployment::small();
    let fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=1);
    fleet.log.append(CONFIGURATION_STREAM, br#"{"format":2,"id":"later"}"#.to_vec());
    fleet.publish(1, &configuration_variant(&deployment, 2));
    eventually("a reader logs the unknown format", || {
        let logs = fleet.members.iter().map(|member| member.node().log());
        logs.into_iter().any(|log| log.contains("record of unknown format"))
    });
    checker.read_log(&fleet);
    assert_eq!(checker.version(), 1);
    checker.assert_invariants(&fleet);
}

#[test]
fn malformed_records_change_nothing() {
    let deployment = Deployment::small();
    let fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=1);
    let malformed: [&[u8]; 4] = [b"", b"\xff\x00", b"{\"format\":1,\"id\":\"x\"", b"[[[[[["];
    for body in malformed {
        fleet.log.append(CONFIGURATION_STREAM, body.to_vec());
    }
    publish_versions(&fleet, &deployment, 2..=2);
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}

#[test]
fn of_two_publishes_at_one_moment_one_is_accepted() {
    const ROUNDS: u64 = 50;
    let deployment = Deployment::small();
    let fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    for round in 0..ROUNDS {
        let records = [1, 2].map(|publisher| {
            PublishRecord::new(round, &configuration_variant(&deployment, 2 * round + publisher))
        });
        std::thread::scope(|scope| {
            for record in &records {
                let body = serde_json::to_vec(record).unwrap();
                let log = &fleet.log;
                scope.spawn(move || log.append(CONFIGURATION_STREAM, body).expect("taken"));
            }
        });
        fleet.wait_version(round + 1);
        checker.read_log(&fleet);
        assert_eq!(checker.version(), round + 1, "not exactly one of two was accepted");
    }
    assert_eq!(fleet.log.records(CONFIGURATION_STREAM).len() as u64, 2 * ROUNDS);
    checker.assert_invariants(&fleet);
}

#[test]
fn slow_log_delays_versions_and_nothing_else() {
    let deployment = Deployment::small();
    let mut fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=1);
    fleet.log.set_slow_ms(1_500);
    fleet.members[0].kill();
    fleet.restart(0);
    publish_versions(&fleet, &deployment, 2..=4);
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}

#[test]
fn links_that_go_silent_delay_versions_and_nothing_else() {
    let deployment = Deployment::thyrofonia();
    let fleet = start(&deployment);
    let mut checker = InvariantChecker::default();
    publish_versions(&fleet, &deployment, 1..=1);
    for version in 2..=4 {
        for member in &fleet.members {
            member.proxy.as_ref().expect("every node has a proxy").silence_established();
        }
        publish_versions(&fleet, &deployment, version..=version);
    }
    checker.read_log(&fleet);
    checker.assert_invariants(&fleet);
}
