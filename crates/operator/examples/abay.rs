//! Prints the configuration of Abay Sackworks: prices, orders, payments and dispatch.

use std::{process::ExitCode, time::Duration};

use savorykeel_operator::{Mesh, Route, Service};

const HOST: &str = "sacks.abay.example";

/// Returns the whole configuration.
pub fn configuration() -> Mesh {
    Mesh::new()
        .service(Service::new("pricebook", "v1").success(0.999).fast(0.99, ms(300)))
        .service(Service::new("orders", "v1").success(0.9995).fast(0.99, ms(800)))
        .service(Service::new("payments", "v1").success(0.9999).fast(0.99, ms(1_000)))
        .service(Service::new("dispatch", "v1").success(0.999).fast(0.99, ms(800)))
        .route(
            Route::idempotent("stock-hold-check", "dispatch", "/dispatch/holds")
                .method("GET")
                .urgent()
                .timeout(ms(500)),
        )
        .route(
            Route::non_idempotent("stock-hold", "dispatch", "/dispatch/holds")
                .method("POST")
                .urgent()
                .timeout(ms(1_000)),
        )
        .route(
            Route::idempotent("credit-status", "payments", "/payments/credit")
                .method("GET")
                .urgent()
                .timeout(ms(500)),
        )
        .route(
            Route::non_idempotent("book", "orders", "/orders")
                .host(HOST)
                .method("POST")
                .timeout(ms(5_000)),
        )
        .route(
            Route::idempotent("order", "orders", "/orders")
                .host(HOST)
                .method("GET")
                .timeout(ms(3_000)),
        )
        .route(
            Route::non_idempotent("deposit", "payments", "/payments/deposits")
                .host(HOST)
                .method("POST")
                .timeout(ms(10_000)),
        )
        .route(
            Route::non_idempotent("load-lorry", "dispatch", "/dispatch/loads")
                .host(HOST)
                .method("POST")
                .timeout(ms(5_000)),
        )
        .route(
            Route::idempotent("prices", "pricebook", "/prices")
                .host(HOST)
                .method("GET")
                .timeout(ms(2_000)),
        )
        .route(
            Route::idempotent("set-price", "pricebook", "/prices")
                .host(HOST)
                .method("PUT")
                .timeout(ms(5_000)),
        )
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[allow(dead_code)]
fn main() -> ExitCode {
    configuration().print()
}
