//! What one node tells of its recorded calls.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{BackendVersion, RouteName, ServiceName, ZoneName};

use super::Counts;

/// What one node tells of its recorded calls, or the sum over many nodes.
///
/// Ages in place of times keep it independent of the nodes' clocks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Sums for each service, route, availability zone and version.
    pub cells: Vec<CellSnapshot>,
    /// Course over the last hour for each service.
    pub series: Vec<ServiceSeries>,
}

/// Sums for one service, route, availability zone and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellSnapshot {
    /// Service that was called.
    pub service: ServiceName,
    /// Route that took the requests.
    pub route: RouteName,
    /// Availability zone of the backend server, if one was tried.
    pub zone: Option<ZoneName>,
    /// Version of the backend server, if one was tried.
    pub version: Option<BackendVersion>,
    /// Sums in the order of [`super::Window`].
    pub windows: Vec<Counts>,
}

/// What tells cells apart.
type CellKey = (ServiceName, RouteName, Option<ZoneName>, Option<BackendVersion>);

impl CellSnapshot {
    /// Returns what tells the cell from others.
    pub(super) fn key(&self) -> CellKey {
        (self.service.clone(), self.route.clone(), self.zone.clone(), self.version.clone())
    }
}

/// Course over the last hour for one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSeries {
    /// The service.
    pub service: ServiceName,
    /// Points that hold calls, the youngest first.
    pub points: Vec<SeriesPoint>,
}

/// Calls within one slot of a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeriesPoint {
    /// Age in slots of [`super::SERIES_SLOT`]; 0 is the current one.
    pub age: u64,
    /// Calls within the slot.
    pub counts: Counts,
}

impl Snapshot {
    /// Adds up the snapshots of several nodes.
    ///
    /// Each node must be given once, because its calls would count twice.
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
