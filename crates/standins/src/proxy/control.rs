//! HTTP API that sets the proxy's faults, for manual use.

use std::sync::Arc;

use ntex::http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{Call, empty, json};

use super::{
    faults::{FaultTable, Faults, Zone},
    forward::{Generation, Shared},
    handle::Counts,
};

/// What to do with the connections that are open now; new ones aren't affected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EstablishedAction {
    /// Close them.
    Cut,
    /// Drop all their bytes permanently and keep them open.
    Silence,
}

/// Body of `POST /v1/established`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EstablishedBody {
    action: EstablishedAction,
}

impl Shared {
    pub(crate) fn set_faults(&self, faults: Faults) {
        self.faults.send_modify(|table| table.all = faults);
    }

    pub(crate) fn set_zone_faults(&self, zone: Zone, faults: Option<Faults>) {
        self.faults.send_modify(|table| {
            match faults {
                Some(faults) => table.zones.insert(zone, faults),
                None => table.zones.remove(&zone),
            };
        });
    }

    pub(crate) fn apply_to_established(&self, action: EstablishedAction) {
        let mut generation = self.generation.lock();
        match action {
            EstablishedAction::Cut => generation.cut.cancel(),
            // Silenced connections keep the `cut` token of their generation. A later cut
            // cancels the token of a newer generation, so it doesn't close them.
            EstablishedAction::Silence => generation.silence.cancel(),
        }
        *generation = Generation::new();
    }
}

/// Handles one request on the control address.
pub(crate) async fn handle(shared: Arc<Shared>, call: Call) -> Response {
    let path: Vec<&str> = call.path.split('/').skip(1).collect();
    match (&call.method, path.as_slice()) {
        (&Method::GET, ["v1", "counts"]) => json(StatusCode::OK, &Counts::of(&shared)),
        (&Method::PUT, ["v1", "faults"]) => apply(call.json(), |f| shared.set_faults(f)),
        (&Method::PUT, ["v1", "fault-table"]) => apply(call.json::<FaultTable>(), |table| {
            shared.faults.send_replace(table);
        }),
        (&Method::PUT, ["v1", "zones", zone, "faults"]) => match zone.parse() {
            Ok(zone) => apply(call.json(), |f| shared.set_zone_faults(Zone(zone), Some(f))),
            Err(_) => empty(StatusCode::NOT_FOUND),
        },
        (&Method::POST, ["v1", "established"]) => {
            apply(call.json::<EstablishedBody>(), |body| shared.apply_to_established(body.action))
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn apply<T>(body: Result<T, Response>, change: impl FnOnce(T)) -> Response {
    match body {
        Ok(value) => {
            change(value);
            empty(StatusCode::NO_CONTENT)
        }
        Err(answer) => answer,
    }
}
