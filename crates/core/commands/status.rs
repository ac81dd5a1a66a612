//! `savorykeel status`: prints the status of the mesh, of a publish or of a move, as
//! reported by one node.

use std::time::{Duration, Instant};

use savorykeel_node::admin::api::{
    MemberStatus, PUBLISHES_PATH, PublishAnswer, STATUS_PATH, StatusReport,
};
use savorykeel_policy::{
    ids::{ConfigVersion, PublishId},
    moves::status::{MoveReport, Phase},
};

use crate::{
    client::{self, ApiClient, ClientError},
    exit::Exit,
    flags::StatusFlags,
};

/// Longest time that the API takes to collect the answers of the other nodes.
const COLLECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a version for which no move has been reported counts as having none.
const MOVE_DISCOVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the status is polled while the command waits for a move.
const MOVE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Prints the status of the mesh, of a publish or of a move.
pub fn run(flags: StatusFlags) -> anyhow::Result<Exit> {
    let exit = client::block_on(async move {
        let api = ApiClient::new(flags.operators);
        let result = match (&flags.publish, flags.wait) {
            (Some(id), _) => show_publish(&api, id, &flags).await,
            (None, Some(version)) => wait_for_moves(&api, ConfigVersion(version), &flags).await,
            (None, None) => show_mesh(&api, &flags).await,
        };
        result.unwrap_or_else(|e| super::report_client_error(&e))
    });
    Ok(exit)
}

async fn show_publish(
    api: &ApiClient,
    id: &PublishId,
    flags: &StatusFlags,
) -> Result<Exit, ClientError> {
    let wait = flags.wait_ms.unwrap_or(0);
    let path = format!("{PUBLISHES_PATH}/{id}?wait_ms={wait}");
    let answer: PublishAnswer = api.get(&path, Duration::from_millis(wait)).await?;
    Ok(super::print_publish_outcome(&answer.outcome))
}

async fn show_mesh(api: &ApiClient, flags: &StatusFlags) -> Result<Exit, ClientError> {
    let status: StatusReport = api.get(STATUS_PATH, COLLECTION_TIMEOUT).await?;
    if flags.json {
        print_json(&status);
    } else {
        print_status(&status);
    }
    Ok(Exit::Done)
}

/// Waits until the moves that `version` requested have ended.
async fn wait_for_moves(
    api: &ApiClient,
    version: ConfigVersion,
    flags: &StatusFlags,
) -> Result<Exit, ClientError> {
    let started_at = Instant::now();
    loop {
        let status: StatusReport = api.get(STATUS_PATH, COLLECTION_TIMEOUT).await?;
        let is_requested = |report: &&MoveReport| report.asked == version;
        let moves: Vec<&MoveReport> = status.moves.iter().filter(is_requested).collect();
        // The answering node may not have applied the version yet, and it starts
        // the moves of a version a moment after it has applied it.
        let is_move_list_complete =
            !moves.is_empty() || started_at.elapsed() >= MOVE_DISCOVERY_TIMEOUT;
        let is_conclusive = status.version >= version && is_move_list_complete;
        let exit = if is_conclusive { exit_when_ended(version, &moves) } else { None };
        if let Some(exit) = exit {
            moves.into_iter().for_each(print_move);
            return Ok(exit);
        }
        let limit = flags.wait_ms.map(Duration::from_millis);
        if limit.is_some_and(|limit| started_at.elapsed() >= limit) {
            moves.into_iter().for_each(print_move);
            return Ok(Exit::Pending);
        }
        ntex::time::sleep(MOVE_POLL_INTERVAL).await;
    }
}

/// Returns the exit code of the wait, or none while a move is still in progress.
fn exit_when_ended(version: ConfigVersion, moves: &[&MoveReport]) -> Option<Exit> {
    if moves.is_empty() {
        eprintln!("savorykeel: the node has no move of version {version}");
        return Some(Exit::Failed);
    }
    if moves.iter().any(|report| report.phase == Phase::TakenBack) {
        return Some(Exit::TakenBack);
    }
    moves.iter().all(|report| report.phase == Phase::Done).then_some(Exit::Done)
}

fn print_json(status: &StatusReport) {
    let text = serde_json::to_string_pretty(status).expect("a status is JSON");
    println!("{text}");
}

fn print_status(status: &StatusReport) {
    println!("version {} is in force on {}", status.version, status.instance);
    println!(
        "over {} member(s): lowest {}, highest {}",
        status.members.len(),
        status.applied.lowest,
        status.applied.highest
    );
    if !status.applied.laggards.is_empty() {
        let laggards: Vec<&str> = status.applied.laggards.iter().map(|i| i.as_str()).collect();
        println!("below the highest: {}", laggards.join(", "));
    }
    for alarm in &status.alarms {
        println!("alarm: {alarm}");
    }
    status.members.iter().for_each(print_member);
    status.moves.iter().for_each(print_move);
}

fn print_member(member: &MemberStatus) {
    let backend = match &member.backend {
        Some(backend) if backend.draining => {
            format!("{} {} draining", backend.service, backend.version)
        }
        Some(backend) => format!("{} {}", backend.service, backend.version),
        None => "no backend server".into(),
    };
    let applied = member.applied.map_or("not told".into(), |version| version.to_string());
    let leaving = if member.leaving { ", leaving" } else { "" };
    println!(
        "member {:<24} {:<16} {:<12} version {applied}, {backend}{leaving}",
        member.instance.as_str(),
        member.zone.as_str(),
        member.liveness.to_string(),
    );
}

fn print_move(report: &MoveReport) {
    let from = report.from.as_ref().map_or("none", |version| version.as_str());
    println!(
        "move {} {}: {from} -> {}, {}, share {:.1}%",
        report.asked,
        report.service,
        report.to,
        report.phase,
        f64::from(report.share_permille.0) / 10.0
    );
    println!(
        "  evidence: old {} of {} failed, new {} of {} failed{}",
        report.old.failed,
        report.old.run,
        report.new.failed,
        report.new.run,
        if report.is_evidence_thin { " (too few calls to show a fault)" } else { "" }
    );
    if let Some(reason) = &report.reason {
        let route = reason.route.as_ref().map_or("all routes", |route| route.as_str());
        println!("  taken back: {} on {route}", reason.kind);
    }
}
