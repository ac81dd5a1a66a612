//! Snapshots of recorded calls, in the form in which nodes exchange them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendVersion, RouteName, ServiceName, ZoneName};

use super::Counts;

/// Recorded calls of one node, or the sum over several nodes.
///
/// It holds ages instead of times, so that it doesn't depend on the nodes' clocks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Sums for each service, route, availability zone and version that had calls.
    pub cells: Vec<CellSnapshot>,
    /// Time series of the last hour for each service.
    pub series: Vec<ServiceSeries>,
}

/// Sums for one service, route, availability zone and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellSnapshot {
    /// Service that was called.
    pub service: ServiceName,
    /// Route that matched the requests.
    pub route: RouteName,
    /// Availability zone of the backend server, if one was tried.
    pub zone: Option<ZoneName>,
    /// Version of the backend server, if one was tried.
    pub version: Option<BackendVersion>,
    /// Sums over each window, in the order of [`super::Window`].
    pub windows: Vec<Counts>,
}

/// Key that identifies a cell and by which cells are ordered.
type CellKey = (ServiceName, RouteName, Option<ZoneName>, Option<BackendVersion>);

impl CellSnapshot {
    /// Returns the key that identifies the cell.
    pub(super) fn key(&self) -> CellKey {
        (self.service.clone(), self.route.clone(), self.zone.clone(), self.version.clone())
    }
}

/// Time series of the last hour for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSeries {
    /// Service that was called.
    pub service: ServiceName,
    /// Points that have calls, the most recent first.
    pub points: Vec<SeriesPoint>,
}

/// Calls within one slot of a time series.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeriesPoint {
    /// Age in slots of [`super::SERIES_SLOT`]; 0 is the current slot.
    pub age: u64,
    /// Numbers of calls within the slot.
    pub counts: Counts,
}

impl Snapshot {
    /// Adds up the snapshots of several nodes.
    ///
    /// Each node's snapshot must be passed only once, otherwise its calls would be
    /// counted twice.
    pub fn sum(snapshots: impl IntoIterator<Item = Snapshot>) -> Snapshot {
        let mut cells: BTreeMap<CellKey, CellSnapshot> = BTreeMap::new();
        let mut series: BTreeMap<ServiceName, BTreeMap<u64, Counts>> = BTreeMap::new();
        for snapshot in snapshots {
            for cell in snapshot.cells {
                add_cell(&mut cells, cell);
            }
            for service_series in snapshot.series {
                let points = series.entry(service_series.service).or_default();
                for point in service_series.points {
                    *points.entry(point.age).or_default() += point.counts;
                }
            }
        }
        Snapshot { cells: cells.into_values().collect(), series: into_series(series) }
    }
}

fn add_cell(cells: &mut BTreeMap<CellKey, CellSnapshot>, cell: CellSnapshot) {
    match cells.get_mut(&cell.key()) {
        Some(sum) => {
            for (sum, counts) in sum.windows.iter_mut().zip(&cell.windows) {
                *sum += *counts;
            }
        }
        None => {
            cells.insert(cell.key(), cell);
        }
    }
}

fn into_series(series: BTreeMap<ServiceName, BTreeMap<u64, Counts>>) -> Vec<ServiceSeries> {
    let to_points = |points: BTreeMap<u64, Counts>| {
        points.into_iter().map(|(age, counts)| SeriesPoint { age, counts }).collect()
    };
    series
        .into_iter()
        .map(|(service, points)| ServiceSeries { service, points: to_points(points) })
        .collect()
}
