//! Figures of a measured fleet and their table.

use std::time::Duration;

use savorykeel_node::control::ControlMode;
use serde::Serialize;

use super::{
    Plan, observer::MembershipFigures, publishing::PublishFigures, running_fleet::RestUsage,
};

/// Results of the measurement of one fleet.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct FleetFigures {
    /// How the nodes received configuration.
    pub(crate) mode: ControlMode,
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of availability zones.
    pub(crate) zones: u8,
    /// Time from the first publish, right after the start, until the last node
    /// applied it, in milliseconds.
    pub(crate) start_ms: u64,
    /// Resource use at rest.
    pub(crate) rest: RestUsage,
    /// Convergence and cost of publishes.
    pub(crate) publishes: PublishFigures,
    /// Times until membership changes were recorded.
    pub(crate) membership: MembershipFigures,
}

impl FleetFigures {
    /// Combines the figures of one fleet.
    pub(crate) fn new(
        plan: &Plan,
        start: Duration,
        rest: RestUsage,
        publishes: PublishFigures,
        membership: MembershipFigures,
    ) -> Self {
        Self {
            mode: plan.mode,
            nodes: plan.nodes,
            zones: plan.zones,
            start_ms: start.as_millis() as u64,
            rest,
            publishes,
            membership,
        }
    }
}

/// Prints the figures as a Markdown table.
pub(crate) fn print_table(rows: &[FleetFigures]) {
    println!(
        "| mode | nodes | last node p50 ms | p99 ms | link bytes/s a node at rest | link bytes a publish a node | log bytes a publish a node | CPU % of a core | RSS MB (max) | log reads/s | left ms | crash noticed ms | crash settled ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for row in rows {
        println!("{}", format_row(row));
    }
}

fn format_row(row: &FleetFigures) -> String {
    let (rest, publishes) = (&row.rest, &row.publishes);
    let link_bytes_at_rest = rest.link_bytes * publishes.seconds;
    let log_bytes = publishes.publishes_read * publishes.record_bytes as f64 / row.nodes as f64;
    let maximum = |times: &[u64]| times.iter().max().copied().unwrap_or_default();
    format!(
        "| {} | {} | {} | {} | {:.0} | {:.0} | {:.0} | {:.2} | {:.1} ({:.1}) | {:.1} | {} | {} | {} |",
        row.mode,
        row.nodes,
        publishes.quantile_ms(0.5),
        publishes.quantile_ms(0.99),
        rest.link_bytes,
        (publishes.link_bytes - link_bytes_at_rest).max(0.0),
        log_bytes,
        rest.cpu_share * 100.0,
        rest.rss_mb,
        rest.max_rss_mb,
        rest.log_reads,
        maximum(&row.membership.left_ms),
        maximum(&row.membership.crash_noticed_ms),
        maximum(&row.membership.crash_settled_ms),
    )
}
