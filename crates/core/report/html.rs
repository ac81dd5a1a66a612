//! The burn report as one self-contained HTML file.

use std::fmt::{self, Write};

use savorykeel_policy::burn::{BurnReport, Cause, GroupBurn, ServiceBurn, WindowBurn};
use strum::IntoEnumIterator;

use super::{
    svg,
    text::{Percent, group_name},
};

const STYLE: &str = "\
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:56rem;padding:0 1rem;color:#222}
h2{margin:2.2rem 0 .3rem;border-top:1px solid #ccc;padding-top:1rem}
table{border-collapse:collapse;margin:.6rem 0;width:100%}
th,td{padding:.15rem .6rem;text-align:right;white-space:nowrap}
th:first-child,td:first-child{text-align:left}
tr:nth-child(even){background:#f6f6f6}
svg{width:100%;height:auto;margin:.4rem 0}
svg line{stroke:#888}svg text{font-size:10px;fill:#555}
.key span{display:inline-block;width:.8em;height:.8em;margin:0 .3em 0 1em}
.ok{color:#1b6e1b}.warn{color:#9a6700}.bad{color:#b22222;font-weight:600}
";

/// Burn rate above which the error budget is spent faster than allowed.
const WARN_BURN: f64 = 1.0;

/// Burn rate that spends 2% of a 30-day error budget in one hour.
const BAD_BURN: f64 = 14.4;

/// Renders the report as an HTML document.
pub fn html(report: &BurnReport) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = write_document(&mut out, report);
    out
}

fn write_document(out: &mut String, report: &BurnReport) -> fmt::Result {
    writeln!(out, "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">")?;
    writeln!(out, "<title>Service-level burn</title>\n<style>\n{STYLE}</style>")?;
    writeln!(out, "<h1>Service-level burn</h1>")?;
    writeln!(
        out,
        "<p>Configuration {}, recorded calls of {} node(s).</p>",
        report.configuration, report.nodes.answered
    )?;
    if !report.nodes.silent.is_empty() {
        let silent = escape(&report.nodes.silent.join(", "));
        writeln!(out, "<p class=\"warn\">No answer from: {silent}</p>")?;
    }
    write_legend(out)?;
    for service in &report.services {
        write_service(out, service)?;
    }
    writeln!(out, "</html>")
}

fn write_legend(out: &mut String) -> fmt::Result {
    write!(out, "<p class=\"key\">Bad calls by cause:")?;
    for cause in Cause::iter() {
        write!(out, "<span style=\"background:{}\"></span>{cause}", svg::colour(cause))?;
    }
    writeln!(out, "</p>")
}

fn write_service(out: &mut String, service: &ServiceBurn) -> fmt::Result {
    writeln!(out, "<h2>{}</h2>", escape(service.service.as_str()))?;
    writeln!(
        out,
        "<p>Objective: {} good, {} within {} ms. Error budget spent over three days: \
         <b class=\"{}\">{}</b></p>",
        Percent(service.objective_success),
        Percent(service.objective_fast),
        service.objective_latency_ms,
        severity_class(service.budget_spent),
        Percent(service.budget_spent)
    )?;
    out.write_str(&svg::bad_calls_chart(&service.series))?;
    writeln!(
        out,
        "<table><tr><th></th><th>window</th><th>calls</th><th>failed</th><th>slow</th>\
         <th>burn</th><th>slow burn</th><th>causes</th></tr>"
    )?;
    write_rows(out, "all", &service.windows)?;
    for route in &service.routes {
        write_rows(out, &format!("route {}", route.route), &route.windows)?;
    }
    write_groups(out, "zone", &service.zones)?;
    write_groups(out, "version", &service.versions)?;
    writeln!(out, "</table>")
}

fn write_groups(out: &mut String, kind: &str, groups: &[GroupBurn]) -> fmt::Result {
    for group in groups {
        write_rows(out, &format!("{kind} {}", group_name(&group.name)), &group.windows)?;
    }
    Ok(())
}

fn write_rows(out: &mut String, label: &str, windows: &[WindowBurn]) -> fmt::Result {
    for (i, window) in windows.iter().enumerate() {
        let label = if i == 0 { escape(label) } else { String::new() };
        let causes: Vec<String> =
            window.causes.iter().map(|c| format!("{} {}", c.cause, Percent(c.share))).collect();
        writeln!(
            out,
            "<tr><td>{label}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td class=\"{}\">{:.2}</td><td class=\"{}\">{:.2}</td><td>{}</td></tr>",
            window.window,
            window.counts.total,
            window.counts.failed(),
            window.counts.slow,
            severity_class(window.failure_burn),
            window.failure_burn,
            severity_class(window.slow_burn),
            window.slow_burn,
            causes.join(", ")
        )?;
    }
    Ok(())
}

fn severity_class(burn: f64) -> &'static str {
    if burn >= BAD_BURN {
        "bad"
    } else if burn >= WARN_BURN {
        "warn"
    } else {
        "ok"
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
