//! `savorykeel evacuate`: evacuates an availability zone, or shows which ones are evacuated.

use std::time::Duration;

use savorykeel_node::admin::api::{
    EVACUATIONS_PATH, EvacuationReport, EvacuationRequest, ZoneEvacuation,
};
use savorykeel_policy::ids::InstanceName;

use crate::{
    client::{self, ApiClient},
    exit::Exit,
    flags::EvacuateFlags,
};

/// Runs the command.
pub fn run(flags: EvacuateFlags) -> anyhow::Result<Exit> {
    let mut api = ApiClient::new(flags.operators);
    if let Some(file) = &flags.token_file {
        api = api.with_token_file(file)?;
    }
    match (flags.list, flags.zone) {
        (true, None) if !flags.end => Ok(client::block_on(list(api))),
        (false, Some(zone)) => {
            let request = EvacuationRequest { zone, evacuated: !flags.end };
            Ok(client::block_on(store(api, request)))
        }
        _ => {
            eprintln!("savorykeel: name one zone, or use --list alone");
            Ok(Exit::Usage)
        }
    }
}

async fn store(api: ApiClient, request: EvacuationRequest) -> Exit {
    match api.post::<EvacuationRequest>(EVACUATIONS_PATH, &request, Duration::ZERO).await {
        Ok(EvacuationRequest { zone, evacuated: true }) => {
            println!("evacuation of {zone} stored");
            Exit::Done
        }
        Ok(EvacuationRequest { zone, evacuated: false }) => {
            println!("end of the evacuation of {zone} stored");
            Exit::Done
        }
        Err(e) => super::report_client_error(&e),
    }
}

async fn list(api: ApiClient) -> Exit {
    match api.get::<EvacuationReport>(EVACUATIONS_PATH, Duration::ZERO).await {
        Ok(report) if report.zones.is_empty() => {
            println!("no zone is evacuated");
            Exit::Done
        }
        Ok(report) => {
            report.zones.iter().for_each(print_zone);
            Exit::Done
        }
        Err(e) => super::report_client_error(&e),
    }
}

fn print_zone(zone: &ZoneEvacuation) {
    println!("{} is evacuated, applied by {} node(s)", zone.zone, zone.applied.len());
    print_names("not applied by", &zone.not_applied);
    print_names("not known of", &zone.unknown);
}

fn print_names(label: &str, names: &[InstanceName]) {
    if !names.is_empty() {
        let names: Vec<&str> = names.iter().map(InstanceName::as_str).collect();
        println!("  {label}: {}", names.join(", "));
    }
}
