//! A library for programs by which operators generate the desired configuration.
//!
//! A program builds a [`Mesh`] and calls [`Mesh::print`]; its output is piped into
//! `savorykeel publish`. Before it is printed, the configuration is checked by the code
//! that every node runs, so that the program itself reports its mistakes.
//! The fields are described in `docs/CONFIGURATION.md`.
//!
//! ```
//! use savorykeel_operator::{Mesh, Route, Service};
//!
//! let mesh = Mesh::new()
//!     .service(Service::new("gate", "v2").by("2026-12-04T18:00:00Z"))
//!     .route(Route::non_idempotent("unlock", "gate", "/gate/unlock").method("POST").urgent());
//! assert!(mesh.check().is_ok());
//! ```

mod account;
mod route;
mod service;

use std::process::ExitCode;

use savorykeel_policy::config::{
    model::{CONFIGURATION_FORMAT, Configuration},
    raw::{RawConfiguration, RawLimits},
};

pub use account::{Account, key_digest};
pub use route::Route;
pub use savorykeel_policy::{config::model::Refusals, refusal::Refusal};
pub use service::Service;

/// Builder of the whole desired configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Mesh {
    raw: RawConfiguration,
}

impl Default for Mesh {
    fn default() -> Self {
        let raw = RawConfiguration {
            format: CONFIGURATION_FORMAT,
            services: Default::default(),
            routes: Vec::new(),
            limits: RawLimits::default(),
            accounts: None,
        };
        Self { raw }
    }
}

impl Mesh {
    /// Returns a configuration with default limits and without services and routes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service, or replaces the one of the same name.
    pub fn service(mut self, service: Service) -> Self {
        self.raw.services.insert(service.name, service.raw);
        self
    }

    /// Appends a route.
    ///
    /// A request is handled by the first route that matches it, so add specific routes
    /// before general ones.
    pub fn route(mut self, route: Route) -> Self {
        self.raw.routes.push(route.raw);
        self
    }

    /// Appends a client account. From the first one on, requests to routes that aren't public
    /// need a key of an account.
    pub fn account(mut self, account: Account) -> Self {
        self.raw.accounts.get_or_insert_default().push(account.raw);
        self
    }

    /// Requires a key of an account on routes that aren't public, even if no account is added.
    pub fn require_keys(mut self) -> Self {
        self.raw.accounts.get_or_insert_default();
        self
    }

    /// Sets the retries allowed, as a share of requests, from 0 to 1.
    pub fn retry_share(mut self, share: f64) -> Self {
        self.raw.limits.retry_share = share;
        self
    }

    /// Sets the largest share of a service's traffic, from 0 to 1, that an unproven
    /// version, one without evidence so far, may get.
    pub fn unproven_share(mut self, share: f64) -> Self {
        self.raw.limits.unproven_share = share;
        self
    }

    /// Sets the largest depth of nested calls.
    pub fn call_depth(mut self, depth: u32) -> Self {
        self.raw.limits.call_depth = depth;
        self
    }

    /// Runs all checks that a node runs.
    ///
    /// Returns the configuration, or every problem that was found.
    pub fn check(&self) -> Result<RawConfiguration, Refusals> {
        Configuration::try_from(self.raw.clone())?;
        Ok(self.raw.clone())
    }

    /// Prints the configuration as JSON to standard output, or its problems to standard
    /// error, and returns the program's exit code.
    ///
    /// Nothing is printed to standard output when a check fails, so that
    /// `program | savorykeel publish` publishes nothing.
    pub fn print(&self) -> ExitCode {
        match self.check() {
            Ok(raw) => {
                println!(
                    "{}",
                    serde_json::to_string_pretty(&raw).expect("a configuration serializes to JSON")
                );
                ExitCode::SUCCESS
            }
            Err(refusals) => {
                for refusal in &refusals.0 {
                    eprintln!("{refusal}");
                }
                ExitCode::FAILURE
            }
        }
    }
}
