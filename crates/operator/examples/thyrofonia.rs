//! Prints the configuration of Thyrofonia Labs: door panels, residents' phones and
//! fitters' tablets.

use std::{process::ExitCode, time::Duration};

use savorykeel_operator::{Mesh, Route, Service};

const HOST: &str = "doors.thyrofonia.example";

/// Returns the whole configuration.
pub fn configuration() -> Mesh {
    Mesh::new()
        .service(Service::new("history", "v1").success(0.995).fast(0.99, ms(400)))
        .service(Service::new("enroll", "v1").success(0.999).fast(0.99, ms(1_000)))
        .service(Service::new("gate", "v1").success(0.9999).fast(0.999, ms(250)))
        .service(Service::new("ring", "v1").success(0.9995).fast(0.99, ms(250)))
        .route(
            Route::non_idempotent("unlock", "gate", "/gate/unlock")
                .host(HOST)
                .method("POST")
                .urgent()
                .timeout(ms(2_000))
                .body_limit(16_384),
        )
        .route(
            Route::idempotent("gate-state", "gate", "/gate")
                .host(HOST)
                .method("GET")
                .method("HEAD")
                .timeout(ms(1_000)),
        )
        .route(
            Route::non_idempotent("ring", "ring", "/ring")
                .host(HOST)
                .method("POST")
                .urgent()
                .timeout(ms(2_000))
                .body_limit(65_536),
        )
        .route(
            Route::non_idempotent("enroll-panel", "enroll", "/panels")
                .host(HOST)
                .method("POST")
                .timeout(ms(10_000)),
        )
        .route(
            Route::idempotent("panel", "enroll", "/panels")
                .host(HOST)
                .method("GET")
                .method("PUT")
                .timeout(ms(5_000)),
        )
        .route(
            Route::idempotent("history", "history", "/history")
                .host(HOST)
                .method("GET")
                .timeout(ms(3_000)),
        )
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[allow(dead_code)]
fn main() -> ExitCode {
    configuration().print()
}
