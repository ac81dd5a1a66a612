//! The burn report as plain text.

use std::fmt::{self, Display, Write};

use savorykeel_policy::burn::{BurnReport, ServiceBurn, WindowBurn};

/// Renders the report as plain text.
pub fn text(report: &BurnReport) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = write_report(&mut out, report);
    out
}

fn write_report(out: &mut String, report: &BurnReport) -> fmt::Result {
    writeln!(
        out,
        "service-level burn under configuration {}, from {} node(s)",
        report.configuration, report.nodes.answered
    )?;
    if !report.nodes.silent.is_empty() {
        writeln!(out, "no answer from: {}", report.nodes.silent.join(", "))?;
    }
    for service in &report.services {
        write_service(out, service)?;
    }
    Ok(())
}

fn write_service(out: &mut String, service: &ServiceBurn) -> fmt::Result {
    writeln!(
        out,
        "\n{}: objective {} good, {} within {} ms; budget spent {}",
        service.service,
        Percent(service.objective_success),
        Percent(service.objective_fast),
        service.objective_latency_ms,
        Percent(service.budget_spent)
    )?;
    let has_calls = service.windows.iter().any(|window| window.counts.total > 0);
    if !has_calls {
        return writeln!(out, "  no calls were recorded");
    }
    write_windows(out, &service.windows)?;
    for route in &service.routes {
        write_group(out, "route", route.route.as_str(), &route.windows)?;
    }
    for zone in &service.zones {
        write_group(out, "zone", group_name(&zone.name), &zone.windows)?;
    }
    for version in &service.versions {
        write_group(out, "version", group_name(&version.name), &version.windows)?;
    }
    Ok(())
}

fn write_windows(out: &mut String, windows: &[WindowBurn]) -> fmt::Result {
    writeln!(
        out,
        "  {:>6} {:>9} {:>8} {:>8} {:>9} {:>9}  causes",
        "window", "calls", "failed", "slow", "burn", "slow burn"
    )?;
    for window in windows {
        writeln!(
            out,
            "  {:>6} {:>9} {:>8} {:>8} {:>9.2} {:>9.2}  {}",
            window.window.to_string(),
            window.counts.total,
            window.counts.failed(),
            window.counts.slow,
            window.failure_burn,
            window.slow_burn,
            causes(window)
        )?;
    }
    Ok(())
}

/// Writes one line for a group of calls: its burn rates in each window and the causes
/// of bad calls over the longest window.
fn write_group(out: &mut String, kind: &str, name: &str, windows: &[WindowBurn]) -> fmt::Result {
    let burn: Vec<String> = windows
        .iter()
        .map(|window| {
            format!("{} {:.2}/{:.2}", window.window, window.failure_burn, window.slow_burn)
        })
        .collect();
    let causes = windows.last().map_or_else(String::new, causes);
    writeln!(out, "  {kind} {name}: burn/slow burn {}  {causes}", burn.join(", "))
}

fn causes(window: &WindowBurn) -> String {
    let parts: Vec<String> =
        window.causes.iter().map(|c| format!("{} {}", c.cause, Percent(c.share))).collect();
    parts.join(", ")
}

/// Returns the displayed name of a group of calls.
pub(super) fn group_name(name: &Option<String>) -> &str {
    name.as_deref().unwrap_or("(none)")
}

/// Displays a share as a percentage with at most three decimals.
pub(super) struct Percent(pub(super) f64);

impl Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!("{:.3}", self.0 * 100.0);
        write!(f, "{}%", text.trim_end_matches('0').trim_end_matches('.'))
    }
}
