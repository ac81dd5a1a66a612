//! `savorykeel report`: prints reports on the calls that nodes recorded.

use std::{fs, time::Duration};

use anyhow::Context;
use savorykeel_node::admin::api::BURN_PATH;
use savorykeel_policy::burn::BurnReport;

use crate::{
    client::{self, ApiClient, ClientError},
    exit::Exit,
    flags::{BurnFlags, ReportFlags, ReportKind},
    report,
};

/// Maximum time that the API takes to query the other nodes before it answers; it extends
/// the time-out of the request.
const COLLECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Prints a report.
pub fn run(flags: ReportFlags) -> anyhow::Result<Exit> {
    match flags.kind {
        ReportKind::Burn(flags) => run_burn(&flags),
    }
}

fn run_burn(flags: &BurnFlags) -> anyhow::Result<Exit> {
    let api = ApiClient::new(flags.operators);
    let answer: Result<BurnReport, ClientError> =
        client::block_on(async move { api.get(BURN_PATH, COLLECTION_TIMEOUT).await });
    let burn = match answer {
        Ok(burn) => burn,
        Err(e) => return Ok(super::report_client_error(&e)),
    };
    if let Some(file) = &flags.html {
        fs::write(file, report::html(&burn))
            .with_context(|| format!("{} could not be written", file.display()))?;
    }
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&burn)?);
    } else {
        print!("{}", report::text(&burn));
    }
    Ok(Exit::Done)
}
