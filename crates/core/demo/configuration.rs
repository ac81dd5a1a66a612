//! Builds the configurations that the demo publishes.

use std::{collections::BTreeMap, time::Duration};

use jiff::{SignedDuration, Timestamp};
use savorykeel_policy::{
    accounts::KeyDigest,
    config::{
        model::CONFIGURATION_FORMAT,
        raw::{RawAccount, RawConfiguration, RawLimits, RawRoute, RawService},
    },
};

/// Service whose new version is good.
pub const GATE: &str = "gate";

/// Service whose new version is bad.
pub const HISTORY: &str = "history";

/// Path of the only route that needs a key.
pub const RECORDS_PATH: &str = "/records";

/// Name of the client account.
pub const ACCOUNT: &str = "archive";

/// Key of the client account.
pub const ACCOUNT_KEY: &str = "key-of-the-demo";

/// Quota of the client account, in requests per second.
pub const QUOTA_RATE: f64 = 5.0;

/// Requests that the account may send at once above that rate.
pub const QUOTA_BURST: f64 = 10.0;

/// Version that both services start with.
pub const OLD: &str = "v1";

/// Version that both services move to.
pub const NEW: &str = "v2";

/// Versions that a configuration requests for the two services.
#[derive(Debug, Clone, Copy)]
pub struct TargetVersions {
    /// Version of the gate service.
    pub gate: &'static str,
    /// Version of the history service.
    pub history: &'static str,
    /// Time from now within which the moves should end; none sets no due time.
    pub within: Option<Duration>,
}

/// Returns a complete configuration that requests the given versions.
pub fn configuration(targets: TargetVersions) -> anyhow::Result<RawConfiguration> {
    let by = targets.within.map(due_time).transpose()?;
    let services = [(GATE, targets.gate), (HISTORY, targets.history)]
        .map(|(name, version)| (name.to_owned(), service(version, by.clone())));
    Ok(RawConfiguration {
        format: CONFIGURATION_FORMAT,
        services: BTreeMap::from(services),
        routes: vec![
            RawRoute { public: false, ..route("records", GATE, RECORDS_PATH, true) },
            route("gate-open", GATE, "/gate/open", false),
            route("gate", GATE, "/gate", true),
            route("history", HISTORY, "/history", true),
        ],
        limits: RawLimits::default(),
        accounts: Some(vec![account()]),
    })
}

/// Returns the demo's only client account.
fn account() -> RawAccount {
    RawAccount {
        name: ACCOUNT.to_owned(),
        key_digests: vec![KeyDigest::of(ACCOUNT_KEY.as_bytes()).to_string()],
        requests_per_second: Some(QUOTA_RATE),
        burst: Some(QUOTA_BURST),
        ..RawAccount::default()
    }
}

fn due_time(within: Duration) -> anyhow::Result<String> {
    let at = Timestamp::now().checked_add(SignedDuration::try_from(within)?)?;
    Ok(at.to_string())
}

fn service(version: &str, by: Option<String>) -> RawService {
    RawService { by, ..RawService::with_version(version) }
}

fn route(name: &str, service: &str, path: &str, idempotent: bool) -> RawRoute {
    RawRoute { public: true, ..RawRoute::to_service(service, name, path, idempotent) }
}
