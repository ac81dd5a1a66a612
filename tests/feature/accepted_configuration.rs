//! What the platform's store has acknowledged comes into force on every node.

use std::{
    thread,
    time::{Duration, Instant},
};

use savorykeel_platform_standin::ConfigurationDocument;
use savorykeel_standins::caller::Request;
use serde_json::{Value, json};

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
    process::peak_memory_kib,
    wait::eventually,
};

/// Time within which an acknowledged configuration has to be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Memory of a node's machine.
const MACHINE_KIB: u64 = 260 << 10;

/// Bytes of a long path. Up to eight times as many fit a record of the store.
const LONG_PATH_BYTES: usize = 32 << 10;

/// Returns a configuration with a route to `gate` for each path, each with a rank of its own.
fn ranked(number: u64, paths: &[String]) -> Value {
    let bytes = ConfigurationDocument::new(number, &["gate", "history"]).to_bytes();
    let mut document: Value = serde_json::from_slice(&bytes).expect("the document is JSON");
    let rules = paths.iter().enumerate().map(|(rank, path)| {
        json!({"name": format!("kind/{rank}"), "kind": "idempotent", "slo": "400s",
            "priority": 100 * rank, "match": {"path_prefix": path},
            "action": {"service": "gate", "timeout": "600s", "attempts": 40}})
    });
    document["listeners"][0]["rules"] = rules.collect();
    document
}

/// Guards against an acknowledged configuration that every node refuses because of a bound that
/// no page of the platform has: callers went on under the one before, for good.
#[test]
fn acknowledged_configuration_is_in_force_on_every_node_whatever_its_values() {
    let services = vec![ServiceSpec::new("gate", 4, false), ServiceSpec::new("history", 2, false)];
    let deployment = Deployment { zones: 2, services, slots: 20 };
    let mut fleet = Fleet::start(&deployment, Options { on_platform: true, ..Options::default() });
    fleet.wait_members();
    let mut paths: Vec<String> = (0..20).map(|n| format!("/kind-{n}/")).collect();
    fleet
        .store
        .publish(&ConfigurationDocument::new(1, &["gate", "history"]).route("/dropped/", "gate"));
    eventually("the first configuration is in force", || fleet.is_routed("/dropped/"));

    fleet.store.publish_document(&ranked(2, &paths));
    let acknowledged_at = Instant::now();
    while !fleet.is_routed("/kind-19/") {
        assert!(acknowledged_at.elapsed() < IN_FORCE_LIMIT, "it isn't in force on every node");
        thread::sleep(Duration::from_millis(20));
    }
    for member in 0..fleet.members.len() {
        let reply = fleet.call_route(member, "/dropped/").expect("the node answers");
        assert_eq!(reply.status, 404, "node {member} still has the route");
    }
    // A node that starts takes it over from the others.
    let started = fleet.add(&ServiceSpec::new("gate", 1, false), 1, 20);
    eventually("a node that starts has it", || {
        fleet.call_route(started, "/kind-19/").is_some_and(|reply| reply.status == 200)
    });
    // The next one differs by one route, and is passed on as a difference.
    paths.push("/added/".into());
    fleet.store.publish_document(&ranked(3, &paths));
    eventually("the next one is in force", || fleet.is_routed("/added/"));
    for node in fleet.members.iter().filter_map(|member| member.node.as_ref()) {
        let req = Request::get("/v1/status");
        let status = fleet.client.call(node.ready().operators, req).expect("the node answers");
        let status: Value = status.json().expect("the status is JSON");
        assert_eq!(status["version"], json!(4), "position of version 3");
        assert!(!node.log().contains("configuration refused"));
    }
}

/// Guards against nodes that run out of memory over a long path in a configuration that the store
/// has accepted.
#[test]
fn long_path_needs_little_memory() {
    let services = vec![ServiceSpec::new("gate", 2, false)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let fleet = Fleet::start(&deployment, Options { on_platform: true, ..Options::default() });
    fleet.wait_members();
    let paths = ["/a".repeat(LONG_PATH_BYTES / 2), "/beside/".into()];
    fleet.store.publish_document(&ranked(1, &paths));
    eventually("the configuration is in force", || fleet.is_routed("/beside/"));
    for member in &fleet.members {
        let peak_kib = peak_memory_kib(member.node().pid());
        assert!(peak_kib <= MACHINE_KIB, "{peak_kib} KiB at {:?}", member.identity.instance);
    }
}
