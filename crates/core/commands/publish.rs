//! `savorykeel publish`: publishes a configuration and prints the outcome.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use savorykeel_node::admin::api::{
    CONFIGURATION_PATH, PUBLISHES_PATH, PublishAnswer, PublishOutcome, PublishedConfiguration,
};
use savorykeel_policy::{
    code::Code,
    config::{
        raw::RawConfiguration,
        record::{RECORD_FORMAT, RawPublish},
    },
    ids::ConfigVersion,
};

use crate::{
    client::{self, ApiClient, ClientError},
    configuration::{self, Source},
    exit::Exit,
    flags::PublishFlags,
};

/// Publishes a configuration and prints the outcome.
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
            Err(e) => return super::report_client_error(&e),
        },
    };
    let id = flags.id.map_or_else(random_id, String::from);
    println!("publish {id}, derived from version {base}");
    let request = RawPublish { format: RECORD_FORMAT, id, base, configuration };
    let wait = Duration::from_millis(flags.wait_ms);
    let path = format!("{PUBLISHES_PATH}?wait_ms={}", flags.wait_ms);
    let answer: Result<PublishAnswer, ClientError> = api.post(&path, &request, wait).await;
    match answer {
        Ok(answer) => print_outcome(flags.operators, &request, &answer.outcome),
        Err(e @ (ClientError::Refused(_) | ClientError::Unreachable { .. })) => {
            super::report_client_error(&e)
        }
        Err(e) => {
            // The publish may have reached the log although no valid answer arrived.
            eprintln!("savorykeel: {e}");
            print_retry_commands(flags.operators, &request);
            Exit::Pending
        }
    }
}

/// Returns the version in force on the node; zero before the first publish.
async fn version_in_force(api: &ApiClient) -> Result<ConfigVersion, ClientError> {
    let answer: Result<PublishedConfiguration, ClientError> =
        api.get(CONFIGURATION_PATH, Duration::ZERO).await;
    match answer {
        Ok(published) => Ok(published.version),
        Err(ClientError::Refused(e)) if e.name == Code::NoConfiguration => {
            Ok(ConfigVersion::default())
        }
        Err(e) => Err(e),
    }
}

/// Returns a random id in the form of a UUID.
fn random_id() -> String {
    let random: u128 = rand::rng().random();
    let hex = format!("{random:032x}");
    format!("{}-{}-4{}-8{}-{}", &hex[..8], &hex[8..12], &hex[13..16], &hex[17..20], &hex[20..])
}

/// Prints the outcome of a publish and returns the exit code.
fn print_outcome(operators: SocketAddr, request: &RawPublish, outcome: &PublishOutcome) -> Exit {
    let exit = super::print_publish_outcome(outcome);
    if exit == Exit::Pending {
        print_retry_commands(operators, request);
    }
    exit
}

/// Prints the commands that query the outcome of a publish and that repeat it.
fn print_retry_commands(operators: SocketAddr, request: &RawPublish) {
    println!("this asks again:");
    println!("  savorykeel status --operators {operators} --publish {}", request.id);
    println!("this publishes again if it never arrived, and changes nothing if it did:");
    println!(
        "  savorykeel publish --operators {operators} --id {} --base {} --token-file TOKEN FILE",
        request.id, request.base
    );
}
