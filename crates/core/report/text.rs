//! The burn report as text.

use std::fmt::{self, Display, Write};

use savorykeel_policy::burn::{BurnReport, ServiceBurn, WindowBurn};

/// Renders the report as text.
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
        report.configuration, report.nodes.heard
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
    writeln!(
        out,
        "  {:<28} {:>6} {:>9} {:>7} {:>7} {:>9} {:>9}  causes",
        "", "window", "calls", "failed", "slow", "burn", "slow burn"
    )?;
    write_windows(out, "all", &service.windows)?;
    for route in &service.routes {
        write_windows(out, &format!("route {}", route.route), &route.windows)?;
    }
    for zone in &service.zones {
        write_windows(out, &format!("zone {}", group_name(&zone.name)), &zone.windows)?;
    }
    for version in &service.versions {
        write_windows(out, &format!("version {}", group_name(&version.name)), &version.windows)?;
    }
    Ok(())
}

fn write_windows(out: &mut String, label: &str, windows: &[WindowBurn]) -> fmt::Result {
    for (i, window) in windows.iter().enumerate() {
        writeln!(
            out,
            "  {:<28} {:>6} {:>9} {:>7} {:>7} {:>9.2} {:>9.2}  {}",
            if i == 0 { label } else { "" },
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

fn causes(window: &WindowBurn) -> String {
    let parts: Vec<String> =
        window.causes.iter().map(|c| format!("{} {}", c.cause, Percent(c.share))).collect();
    parts.join(", ")
}

/// Returns the name of a group of calls for people.
pub(super) fn group_name(name: &Option<String>) -> &str {
    name.as_deref().unwrap_or("(none)")
}

/// Shows a share as a percentage.
pub(super) struct Percent(pub(super) f64);

impl Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!("{:.3}", self.0 * 100.0);
        write!(f, "{}%", text.trim_end_matches('0').trim_end_matches('.'))
    }
}
