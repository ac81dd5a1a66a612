//! `savorykeel publish`: publishes a configuration and tells what became of it.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use savorykeel_node::admin::api::{
    PUBLISH_FORMAT, PUBLISHES_PATH, PublishAnswer, PublishOutcome, PublishRequest, STATUS_PATH,
    StatusReport,
};
use savorykeel_policy::{config::raw::RawConfiguration, ids::ConfigVersion};

use crate::{
    client::{self, ApiClient, ClientError},
    configuration::{self, Source},
    exit::Exit,
    flags::PublishFlags,
};

/// Publishes a configuration.
pub fn run(flags: PublishFlags) -> anyhow::Result<Exit> {
    let configuration = match configuration::read_unchecked(&Source::new(flags.file.clone())) {
        Ok(configuration) => configuration,
        Err(e) => {
            eprintln!("{e}");
            return Ok(Exit::Usage);
        }
    };
    let mut api = ApiClient::new(flags.operators);
    if let Some(file) = &flags.token_file {
        api = api.with_token_file(file)?;
    }
    Ok(client::block_on(publish(api, flags, configuration)))
}

async fn publish(api: ApiClient, flags: PublishFlags, configuration: RawConfiguration) -> Exit {
    let base = match flags.base {
        Some(base) => ConfigVersion(base),
        None => match version_in_force(&api).await {
            Ok(version) => version,
            Err(e) => return super::client_failure(&e),
        },
    };
    let id = flags.id.unwrap_or_else(random_id);
    println!("publish {id}, derived from version {base}");
    let request = PublishRequest { format: PUBLISH_FORMAT, id, base, configuration };
    let wait = Duration::from_millis(flags.wait_ms);
    let path = format!("{PUBLISHES_PATH}?wait_ms={}", flags.wait_ms);
    let answer: Result<PublishAnswer, ClientError> = api.post(&path, &request, wait).await;
    match answer {
        Ok(answer) => print_outcome(flags.operators, &request, &answer.outcome),
        Err(e @ ClientError::Refused(_)) => super::client_failure(&e),
        Err(e) => {
            // The request may have reached the log although no answer came.
            eprintln!("savorykeel: {e}");
            print_pending(flags.operators, &request);
            Exit::Pending
        }
    }
}

async fn version_in_force(api: &ApiClient) -> Result<ConfigVersion, ClientError> {
    let status: StatusReport = api.get(STATUS_PATH, Duration::ZERO).await?;
    Ok(status.version)
}

/// Draws an id in the form of a random UUID.
fn random_id() -> String {
    let random: u128 = rand::rng().random();
    let hex = format!("{random:032x}");
    format!("{}-{}-4{}-8{}-{}", &hex[..8], &hex[8..12], &hex[13..16], &hex[17..20], &hex[20..])
}

/// Prints the outcome of a publish and returns the exit code.
pub(super) fn print_outcome(
    operators: SocketAddr,
    request: &PublishRequest,
    outcome: &PublishOutcome,
) -> Exit {
    match outcome {
        PublishOutcome::Accepted { version } => {
            println!("accepted as version {version}");
            Exit::Done
        }
        PublishOutcome::Conflict { base, in_force } => {
            println!("conflict: derived from version {base}, but version {in_force} was in force");
            Exit::Conflict
        }
        PublishOutcome::Refused { reasons } => {
            println!("refused:");
            reasons.iter().for_each(|reason| println!("  {reason}"));
            Exit::Refused
        }
        PublishOutcome::Pending { detail } => {
            println!("{detail}");
            print_pending(operators, request);
            Exit::Pending
        }
    }
}

fn print_pending(operators: SocketAddr, request: &PublishRequest) {
    println!("not known yet; this asks again and may be repeated:");
    println!("  savorykeel status --operators {operators} --publish {}", request.id);
    println!("and this publishes again if it never arrived, and changes nothing if it did:");
    println!(
        "  savorykeel publish --operators {operators} --id {} --base {} --token-file FILE FILE",
        request.id, request.base
    );
}
