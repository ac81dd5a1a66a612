//! Tests that the Rust and Python libraries print the same configurations and that the
//! Rust library refuses invalid ones.

#[path = "../examples/abay.rs"]
mod abay;
#[path = "../examples/thyrofonia.rs"]
mod thyrofonia;

use std::{path::Path, process::Command};

use savorykeel_operator::{Mesh, Route, Service};
use savorykeel_policy::config::raw::RawConfiguration;
use yare::parameterized;

#[parameterized(
    thyrofonia = { thyrofonia::configuration(), "thyrofonia.py" },
    abay = { abay::configuration(), "abay.py" },
)]
fn python_and_rust_examples_print_the_same_configuration(mesh: Mesh, program: &str) {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../operators/python/examples");
    let output = Command::new("python3").arg("-B").arg(examples.join(program)).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let from_python: RawConfiguration = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(from_python, mesh.check().unwrap());
}

#[test]
fn check_refuses_every_invalid_field() {
    let mesh = Mesh::new()
        .service(Service::new("gate", "v1").by("soon"))
        .route(Route::idempotent("state", "gates", "/gate"));
    let refusals = mesh.check().unwrap_err().0;
    let paths: Vec<&str> = refusals.iter().map(|refusal| refusal.path.as_str()).collect();
    assert_eq!(paths, ["services.gate.by", "routes[0].service"]);
}
