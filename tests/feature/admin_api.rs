//! Tests of the operators' HTTP API.

use std::{fs, net::SocketAddr};

use savorykeel_ports::log::CONFIGURATION_STREAM;
use savorykeel_standins::caller::{Reply, Request};
use serde_json::{Value, json};

use crate::harness::{
    deployment::Deployment,
    fleet::{Fleet, Options},
    settings::{TOKEN, token_file},
    wait::eventually,
};

fn start() -> Fleet {
    let fleet = Fleet::start(&Deployment::small(), Options::default());
    fs::write(token_file(fleet.dir()), TOKEN).unwrap();
    fleet
}

fn operators(fleet: &Fleet) -> SocketAddr {
    fleet.members[0].operators()
}

fn get(fleet: &Fleet, path: &str) -> Reply {
    fleet.client.call(operators(fleet), Request::get(path)).unwrap()
}

fn body(reply: &Reply) -> Value {
    serde_json::from_slice(&reply.body).unwrap()
}

fn post(fleet: &Fleet, token: &str, text: &str) -> Reply {
    let req = Request::post("/v1/publishes", text.as_bytes().to_vec())
        .header("Authorization", format!("Bearer {token}"));
    fleet.client.call(operators(fleet), req).unwrap()
}

#[test]
fn what_can_not_be_a_publish_gets_a_numbered_code_and_is_not_appended() {
    let fleet = start();
    let large = "x".repeat(5 << 20);
    let cases = [
        (post(&fleet, "wrong-token-wrong-token", "{}"), 401, 303),
        (post(&fleet, "wrong-token-wrong-token", &large), 401, 303),
        (post(&fleet, TOKEN, ""), 400, 106),
        (post(&fleet, TOKEN, &large), 413, 107),
        (post(&fleet, TOKEN, "{\"format\":1}"), 400, 106),
        (post(&fleet, TOKEN, "{\"format\":9,\"id\":\"a\"}"), 503, 305),
        (get(&fleet, "/v1/nothing"), 404, 306),
        (get(&fleet, "/v1/publishes/a%20b"), 400, 106),
        (get(&fleet, "/v1/configuration"), 503, 100),
    ];
    for (reply, status, code) in &cases {
        let body = body(reply);
        assert_eq!(reply.status, *status, "{body}");
        assert_eq!(body["code"], *code, "{body}");
        assert!(body["detail"].as_str().is_some_and(|detail| !detail.is_empty()), "{body}");
    }
    assert!(fleet.log.records(CONFIGURATION_STREAM).is_empty());
}

#[test]
fn a_record_without_the_fields_of_a_publish_is_refused_by_name() {
    let fleet = start();
    let record = json!({"format": 1, "id": "a", "base": 0, "configuration": {"format": 1}});
    let reply = post(&fleet, TOKEN, &record.to_string());
    assert_eq!(reply.status, 422);
    let body = body(&reply);
    assert_eq!(body["outcome"], "refused");
    assert_eq!(body["reasons"][0]["path"], "configuration");
}

#[test]
fn status_names_members_versions_and_what_to_look_at() {
    let fleet = start();
    let deployment = Deployment::small();
    assert_eq!(body(&get(&fleet, "/v1/status"))["version"], 0);
    fleet.publish(0, &deployment.configuration());
    fleet.wait_version(1);
    eventually("the status shows version 1 on all four members", || {
        let status = body(&get(&fleet, "/v1/status"));
        let applied = json!({"lowest": 1, "highest": 1, "laggards": []});
        let members = status["members"].as_array().unwrap();
        let alive = members.iter().filter(|m| m["liveness"] == "alive" && m["applied"] == 1);
        status["applied"] == applied && alive.count() == 4
    });
    let published = body(&get(&fleet, "/v1/configuration"));
    assert_eq!(published["version"], 1);
    let expected = serde_json::to_value(deployment.configuration()).unwrap();
    assert_eq!(published["configuration"], expected);
}
