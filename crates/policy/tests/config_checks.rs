//! Tests of the validation of route matches, which may involve several routes.

use savorykeel_policy::config::{
    model::{Configuration, Refusals},
    raw::RawConfiguration,
};
use serde_json::{Value, json};
use yare::parameterized;

fn route(i: usize, host: Option<&str>, path: &str, methods: &[&str]) -> Value {
    json!({"name": format!("r{i}"), "match": {"host": host, "path": path, "methods": methods},
        "service": "gate", "idempotent": true})
}

fn check(routes: &[(Option<&str>, &str, &[&str])]) -> Result<Configuration, Refusals> {
    let routes: Vec<Value> = routes
        .iter()
        .enumerate()
        .map(|(i, (host, path, methods))| route(i, *host, path, methods))
        .collect();
    let configuration =
        json!({"format": 1, "services": {"gate": {"version": "v1"}}, "routes": routes});
    let raw: RawConfiguration = serde_json::from_value(configuration).unwrap();
    Configuration::try_from(raw)
}

#[parameterized(
    same_path = { &[(None, "/gate", &[]), (None, "/gate", &[])] },
    below = { &[(None, "/gate", &[]), (None, "/gate/open", &["POST"])] },
    below_root = { &[(None, "/", &[]), (None, "/gate", &[])] },
    last_slash = { &[(None, "/gate/", &[]), (None, "/gate", &[])] },
    same_host = { &[(Some("a.example"), "/", &[]), (Some("A.example"), "/gate", &[])] },
    any_host_first = { &[(None, "/", &[]), (Some("a.example"), "/gate", &[])] },
    methods = { &[(None, "/gate", &["GET", "POST"]), (None, "/gate", &["POST"])] },
    methods_of_several = { &[(None, "/", &["GET"]), (None, "/gate", &["POST"]), (None, "/gate", &["GET", "POST"])] },
)]
fn unreachable_route_is_refused(routes: &[(Option<&str>, &str, &[&str])]) {
    let Err(Refusals(refusals)) = check(routes) else { panic!("not refused") };
    let path = format!("routes[{}].match", routes.len() - 1);
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].path, path);
}

#[parameterized(
    narrower_first = { &[(None, "/gate/open", &[]), (None, "/gate", &[])] },
    whole_segments = { &[(None, "/gate", &[]), (None, "/gates", &[])] },
    other_host = { &[(Some("a.example"), "/", &[]), (Some("b.example"), "/", &[])] },
    any_host_last = { &[(Some("a.example"), "/", &[]), (None, "/", &[])] },
    one_method_left = { &[(None, "/gate", &["GET"]), (None, "/gate", &["GET", "POST"])] },
    any_method_left = { &[(None, "/gate", &["GET", "POST"]), (None, "/gate", &[])] },
)]
fn reachable_route_is_accepted(routes: &[(Option<&str>, &str, &[&str])]) {
    assert!(check(routes).is_ok());
}

#[parameterized(
    query = { None, "/gate?x=1" },
    space = { None, "/gate open" },
    control = { None, "/gate\n" },
    long_path = { None, &format!("/{}", "x".repeat(1_024)) },
    port = { Some("a.example:80"), "/" },
    scheme = { Some("http://a.example"), "/" },
    empty_host = { Some(""), "/" },
)]
fn invalid_match_is_refused(host: Option<&str>, path: &str) {
    assert!(check(&[(host, path, &[])]).is_err());
}
