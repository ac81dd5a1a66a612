//! Requests of the operators' API about evacuations of availability zones.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use ntex::http::{Payload, Request, Response, StatusCode};
use savorykeel_adapters::log::HttpLog;
use savorykeel_platform::PlatformStore;
use savorykeel_policy::{
    code::Code,
    evacuation::Evacuations,
    ids::{InstanceName, ZoneName},
};
use savorykeel_ports::{desired::DesiredState, log::LogError};
use slog::{info, warn};

use crate::{http::read_body, settings::StoreChoice, state::NodeState};

use super::{
    api::{EvacuationReport, EvacuationRequest, ZoneEvacuation},
    api_error, json_response,
    query::{self, Answer, Query},
    token,
};

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 4 << 10;

/// Longest time to receive the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers a request to evacuate a zone or to revoke its evacuation, once the store has it.
pub(super) async fn request(state: &NodeState, req: &Request, payload: &mut Payload) -> Response {
    if let Err(denied) = token::check(state.settings.token_file.as_deref(), req.headers()) {
        return api_error(Code::Unauthorized, denied.to_string());
    }
    let mut memory = state.body_memory.reservation(MAX_BODY_BYTES);
    let Ok(body) = read_body(payload, MAX_BODY_BYTES, BODY_TIMEOUT, &mut memory).await else {
        return api_error(Code::BadRequest, "the body can't be read");
    };
    let request: EvacuationRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(e) => return api_error(Code::BadRequest, e.to_string()),
    };
    match store(state, &request).await {
        Ok(()) => {
            info!(state.log, "evacuation stored"; "of" => %request.zone,
                "evacuated" => request.evacuated);
            json_response(StatusCode::OK, &request)
        }
        Err(e) => {
            warn!(state.log, "evacuation not stored"; "of" => %request.zone, "problem" => %e);
            api_error(Code::LogUnavailable, e.to_string())
        }
    }
}

async fn store(state: &NodeState, request: &EvacuationRequest) -> Result<(), LogError> {
    let (zone, is_requested) = (&request.zone, request.evacuated);
    match &state.settings.store {
        StoreChoice::LogService(base) => {
            HttpLog::new(base.clone()).await?.store_evacuation(zone, is_requested).await
        }
        StoreChoice::Platform(settings) => {
            PlatformStore::new(settings).store_evacuation(zone, is_requested).await
        }
    }
}

/// Returns which zones are evacuated and which nodes know it, asking every node.
pub(super) async fn report(state: &Arc<NodeState>) -> EvacuationReport {
    let answers = query::query_all(state, Query::Evacuations).await;
    let known: BTreeMap<InstanceName, Option<Evacuations>> = answers
        .into_iter()
        .map(|member| match member.answer {
            Some(Answer::Evacuations(evacuations)) => (member.instance, Some(evacuations)),
            _ => (member.instance, None),
        })
        .collect();
    let zones: BTreeSet<&ZoneName> =
        known.values().flatten().flat_map(|evacuations| evacuations.evacuated()).collect();
    EvacuationReport {
        instance: state.settings.instance.clone(),
        zones: zones.into_iter().map(|zone| zone_evacuation(zone, &known)).collect(),
    }
}

fn zone_evacuation(
    zone: &ZoneName,
    known: &BTreeMap<InstanceName, Option<Evacuations>>,
) -> ZoneEvacuation {
    let names = |state: Option<bool>| {
        let has_state = |evacuations: &Option<Evacuations>| {
            evacuations.as_ref().map(|known| known.is_evacuated(zone)) == state
        };
        let nodes = known.iter().filter(|(_, evacuations)| has_state(evacuations));
        nodes.map(|(instance, _)| instance.clone()).collect()
    };
    ZoneEvacuation {
        zone: zone.clone(),
        applied: names(Some(true)),
        not_applied: names(Some(false)),
        unknown: names(None),
    }
}
