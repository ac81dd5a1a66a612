//! `savorykeel status`: the mesh as one node sees it.

use std::time::Duration;

use savorykeel_node::admin::api::{MemberStatus, STATUS_PATH, StatusReport};
use savorykeel_policy::moves::status::MoveReport;

use crate::{
    client::{self, ApiClient, ClientError},
    exit::Exit,
    flags::StatusFlags,
};

/// Prints the status.
pub fn run(flags: StatusFlags) -> anyhow::Result<Exit> {
    let api = ApiClient::new(flags.operators);
    let answer: Result<StatusReport, ClientError> =
        client::block_on(async move { api.get(STATUS_PATH, Duration::ZERO).await });
    let status = match answer {
        Ok(status) => status,
        Err(e) => return Ok(super::client_failure(&e)),
    };
    if flags.json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print_status(&status);
    }
    Ok(Exit::Done)
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
    let leaving = if member.leaving { ", leaving" } else { "" };
    println!(
        "member {:<24} {:<16} {:<12} version {}, {backend}{leaving}",
        member.instance.as_str(),
        member.zone.as_str(),
        member.liveness.to_string(),
        member.applied
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
