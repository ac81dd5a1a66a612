//! Tests of the backend server stand-in: running, failing, shedding and recording
//! requests, crashes, hints and announcements.

use std::time::{Duration, Instant};

use savorykeel_standins::{
    backend::{self, Answer, Behaviour, HintMode, LoadFailures, RouteBehaviour, Settings},
    caller::{CallError, Client, Request},
};

fn start(settings: Settings) -> (backend::Handle, Client) {
    (backend::start(settings).unwrap(), Client::start().unwrap())
}

fn gate_settings() -> Settings {
    Settings::new("gate", "v1").with_name("gate-a")
}

/// Waits until a condition holds, for at most 30 s so that a busy machine doesn't
/// cause false failures.
fn eventually(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(Instant::now() < deadline, "the condition did not hold within 30 s");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn answer_carries_the_tag_and_body_hash_of_its_request() {
    let (server, client) = start(gate_settings());
    let req = Request::post("/gate/open", "door 7").tag("t1").header("X-Answer-Padding", "100000");
    let reply = client.call(server.addr(), req).unwrap();
    let answer: Answer = reply.json().unwrap();
    assert_eq!(answer.tag.as_deref(), Some("t1"));
    assert_eq!(answer.body_hash, Answer::hash_of(b"door 7"));
    assert_eq!((answer.version.as_str(), answer.padding.len()), ("v1", 100_000));
    let runs = server.ledger();
    assert_eq!((runs.len(), runs[0].tag.as_deref(), runs[0].status), (1, Some("t1"), Some(200)));
}

#[test]
fn requests_fail_by_route_and_by_load() {
    let bad_route =
        RouteBehaviour { path: "/gate/log".into(), failure_rate: 1.0, extra_latency_ms: 0 };
    let under_load = Some(LoadFailures { above: 1, rate: 1.0 });
    let behaviour =
        Behaviour { latency_ms: 100, routes: vec![bad_route], under_load, ..Behaviour::default() };
    let (server, client) = start(gate_settings().with_behaviour(behaviour));
    let status = |path: &str| client.call(server.addr(), Request::get(path)).unwrap().status;
    assert_eq!(status("/gate/open"), 200);
    assert_eq!(status("/gate/log/1"), 500);
    let first = client.send(server.addr(), Request::get("/gate/open"));
    eventually(|| server.running() == 1);
    assert_eq!(status("/gate/open"), 500);
    assert_eq!(first.wait().unwrap().status, 200);
}

#[test]
fn requests_above_the_slots_wait_and_the_rest_are_shed() {
    let behaviour = Behaviour { latency_ms: 200, ..Behaviour::default() };
    let mut settings = gate_settings().with_behaviour(behaviour);
    (settings.slots, settings.waiting) = (1, 1);
    let (server, client) = start(settings);
    let calls: Vec<_> = (0..4).map(|_| client.send(server.addr(), Request::get("/gate"))).collect();
    let mut statuses: Vec<u16> =
        calls.into_iter().map(|call| call.wait().unwrap().status).collect();
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 503, 503]);
    assert_eq!((server.counts().started, server.counts().shed), (2, 2));
}

#[test]
fn marked_request_crashes_the_server_which_then_restarts() {
    let mut settings = gate_settings();
    settings.restart_ms = 10;
    let (server, client) = start(settings);
    let cut = client.call(server.addr(), Request::get("/gate").header("X-Crash", "1"));
    assert!(matches!(cut, Err(CallError::Cut(_))), "{cut:?}");
    eventually(|| client.call(server.addr(), Request::get("/gate")).is_ok());
    assert_eq!(server.counts().crashes, 1);
}

#[test]
fn health_and_load_return_the_configured_hints() {
    let behaviour = Behaviour {
        health: HintMode::AlwaysGood,
        load: HintMode::AlwaysBad,
        ..Behaviour::default()
    };
    let (server, client) = start(gate_settings().with_behaviour(behaviour));
    server.drain();
    assert_eq!(client.call(server.addr(), Request::get("/health")).unwrap().status, 200);
    let load = client.call(server.addr(), Request::get("/load")).unwrap().text();
    assert!(load.contains("\"running\":20"), "{load}");
    assert!(server.ledger().is_empty());
}

#[test]
fn announcement_is_renewed_until_the_server_leaves() {
    // A second backend server takes the node's role: it answers 200 and records the
    // requests in its ledger.
    let (node, _client) = start(Settings::new("node", "v1"));
    let mut settings = gate_settings().with_node(node.addr());
    settings.lease_ms = 60;
    let server = backend::start(settings).unwrap();
    eventually(|| server.counts().announcements >= 3);
    server.leave();
    eventually(|| node.ledger().last().is_some_and(|run| run.method == "DELETE"));
    assert!(node.ledger().iter().all(|run| run.path == "/savorykeel/v1/announcement"));
}
