//! Burn report: recorded calls compared with the objectives of a configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use crate::{
    config::model::{Configuration, Objective},
    ids::{ConfigVersion, RouteName, ServiceName},
};

use super::{Cause, CellSnapshot, Counts, SeriesPoint, Snapshot, Window};

/// Smallest error budget, as a fraction of calls, that a burn rate is divided by.
///
/// An objective of 1 has no budget. Any failure then results in a very high rate
/// instead of an infinite one, which JSON can't represent.
const MIN_BUDGET: f64 = 1e-6;

/// Burn report of all services of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Configuration version whose objectives are used.
    pub configuration: ConfigVersion,
    /// Nodes that the recorded calls come from.
    pub nodes: NodeCoverage,
    /// Services of the configuration, ordered by name.
    pub services: Vec<ServiceBurn>,
}

/// Which of the nodes that were asked for their recorded calls answered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeCoverage {
    /// Number of nodes whose recorded calls are in the report.
    #[serde(rename = "heard")]
    pub answered: usize,
    /// Instances that gave no answer.
    pub silent: Vec<String>,
}

/// Burn rates of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: ServiceName,
    /// Fraction of requests that must be answered without a failure.
    pub objective_success: f64,
    /// Fraction of requests that must be answered within `objective_latency_ms`.
    pub objective_fast: f64,
    /// Time in milliseconds within which an answer counts as fast.
    pub objective_latency_ms: u64,
    /// Fraction of the failures allowed by the objective over the longest window that
    /// occurred; 1 is the whole error budget.
    pub budget_spent: f64,
    /// Burn rates of the whole service over each window.
    pub windows: Vec<WindowBurn>,
    /// Burn rates of each route, ordered by name.
    pub routes: Vec<RouteBurn>,
    /// Burn rates by availability zone of the backend servers.
    pub zones: Vec<GroupBurn>,
    /// Burn rates by version of the backend servers.
    pub versions: Vec<GroupBurn>,
    /// Time series of the last hour.
    pub series: Vec<SeriesPoint>,
}

/// Burn rates of one route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteBurn {
    /// Name of the route.
    pub route: RouteName,
    /// Fraction of the error budget of the longest window that the route's failures
    /// spent, relative to the route's own calls; 1 is the whole error budget.
    pub budget_spent: f64,
    /// Burn rates of the route over each window.
    pub windows: Vec<WindowBurn>,
}

/// Burn rates of the calls of one availability zone or of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupBurn {
    /// Name of the availability zone or version; `None` for calls without a backend
    /// server.
    pub name: Option<String>,
    /// Burn rates of the group over each window.
    pub windows: Vec<WindowBurn>,
}

/// Calls of one window, compared with the objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Window over which the calls were counted.
    pub window: Window,
    /// Numbers of calls by classification.
    pub counts: Counts,
    /// Burn rate of failures: the failure rate divided by the allowed one. A rate of 1
    /// spends exactly the error budget.
    pub failure_burn: f64,
    /// Burn rate of slow answers: their fraction divided by the allowed one.
    pub slow_burn: f64,
    /// Fraction of the bad calls for each cause that occurred.
    pub causes: Vec<CauseShare>,
}

/// Fraction of the bad calls that are due to one cause.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CauseShare {
    /// Cause of these calls.
    pub cause: Cause,
    /// Fraction of the bad calls, from 0 to 1.
    pub share: f64,
}

/// Compares the recorded calls of a mesh with the objectives of `configuration`.
///
/// Recorded calls of services that the configuration no longer contains are left
/// out, because they have no objective.
pub fn report(
    version: ConfigVersion,
    configuration: &Configuration,
    snapshot: &Snapshot,
    nodes: NodeCoverage,
) -> BurnReport {
    let services = configuration
        .services
        .iter()
        .map(|(name, service)| service_burn(name, &service.objective, snapshot))
        .collect();
    BurnReport { configuration: version, nodes, services }
}

fn service_burn(name: &ServiceName, objective: &Objective, snapshot: &Snapshot) -> ServiceBurn {
    let cells: Vec<&CellSnapshot> =
        snapshot.cells.iter().filter(|cell| cell.service == *name).collect();
    let series = snapshot.series.iter().find(|series| series.service == *name);
    let routes = sum_by(&cells, |cell| cell.route.clone());
    let zones = sum_by(&cells, |cell| cell.zone.as_ref().map(ToString::to_string));
    let versions = sum_by(&cells, |cell| cell.version.as_ref().map(ToString::to_string));
    let group = |(name, sums): (Option<String>, Vec<Counts>)| GroupBurn {
        name,
        windows: windows_burn(&sums, objective),
    };
    let route = |(route, sums): (RouteName, Vec<Counts>)| {
        let windows = windows_burn(&sums, objective);
        RouteBurn { route, budget_spent: budget_spent(&windows), windows }
    };
    let windows = windows_burn(&sum_windows(&cells), objective);
    ServiceBurn {
        service: name.clone(),
        objective_success: objective.success,
        objective_fast: objective.fast,
        objective_latency_ms: objective.latency.as_millis() as u64,
        budget_spent: budget_spent(&windows),
        windows,
        routes: routes.into_iter().map(route).collect(),
        zones: zones.into_iter().map(group).collect(),
        versions: versions.into_iter().map(group).collect(),
        series: series.map_or_else(Vec::new, |series| series.points.clone()),
    }
}

fn sum_by<K: Ord>(
    cells: &[&CellSnapshot],
    key: impl Fn(&CellSnapshot) -> K,
) -> BTreeMap<K, Vec<Counts>> {
    let mut groups: BTreeMap<K, Vec<&CellSnapshot>> = BTreeMap::new();
    for cell in cells {
        groups.entry(key(cell)).or_default().push(cell);
    }
    groups.into_iter().map(|(key, cells)| (key, sum_windows(&cells))).collect()
}

fn sum_windows(cells: &[&CellSnapshot]) -> Vec<Counts> {
    let mut sums = vec![Counts::default(); Window::iter().count()];
    for cell in cells {
        for (sum, counts) in sums.iter_mut().zip(&cell.windows) {
            *sum += *counts;
        }
    }
    sums
}

fn budget_spent(windows: &[WindowBurn]) -> f64 {
    windows.last().map_or(0.0, |longest| longest.failure_burn)
}

fn windows_burn(sums: &[Counts], objective: &Objective) -> Vec<WindowBurn> {
    Window::iter().zip(sums).map(|(window, sum)| window_burn(window, *sum, objective)).collect()
}

fn window_burn(window: Window, counts: Counts, objective: &Objective) -> WindowBurn {
    let bad = counts.failed() + counts.slow;
    let causes = Cause::iter()
        .filter(|cause| counts.by_cause(*cause) > 0)
        .map(|cause| CauseShare { cause, share: ratio(counts.by_cause(cause), bad) })
        .collect();
    WindowBurn {
        window,
        counts,
        failure_burn: burn_rate(counts.failed(), counts.total, objective.success),
        slow_burn: burn_rate(counts.slow, counts.total, objective.fast),
        causes,
    }
}

fn burn_rate(bad: u64, total: u64, objective: f64) -> f64 {
    ratio(bad, total) / (1.0 - objective).max(MIN_BUDGET)
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
