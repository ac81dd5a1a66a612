//! Recorder of the calls that one node received from callers.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use strum::IntoEnumIterator;

use crate::{
    ids::{BackendVersion, RouteName, ServiceName, ZoneName},
    time::Tick,
};

use super::{
    CellSnapshot, Classification, Counts, SeriesPoint, ServiceSeries, Snapshot, Window,
    window::SlidingWindows,
};

/// Largest number of cells that a node keeps for distinct call keys.
///
/// The limit bounds memory. Once it is reached, calls with a new key are counted
/// under their service and route alone.
pub const MAX_CELLS: usize = 2_048;

/// Key by which calls are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    /// Service that was called.
    pub service: ServiceName,
    /// Route that matched the request.
    pub route: RouteName,
    /// Availability zone of the backend server that was tried last, if any.
    pub zone: Option<ZoneName>,
    /// Version of the backend server that was tried last, if any.
    pub version: Option<BackendVersion>,
}

impl CallKey {
    fn without_backend(&self) -> Self {
        Self { zone: None, version: None, ..self.clone() }
    }
}

/// Records the calls that one node received from callers, in bounded memory.
#[derive(Debug, Default)]
pub struct Recorder {
    cells: HashMap<Arc<CallKey>, SlidingWindows>,
}

impl Recorder {
    /// Adds one call, which ended at `now`, unless it is ignored.
    pub fn record(&mut self, key: &CallKey, now: Tick, classification: Classification) {
        if classification == Classification::Ignored {
            return;
        }
        if let Some(windows) = self.cells.get_mut(key) {
            windows.record(now, classification);
            return;
        }
        if self.cells.len() >= MAX_CELLS {
            self.cells.retain(|_, windows| !windows.is_empty(now));
        }
        let key = if self.cells.len() < MAX_CELLS { key.clone() } else { key.without_backend() };
        // Cells without a backend server may exceed the limit. There is only one of
        // them for each route.
        self.cells.entry(Arc::new(key)).or_default().record(now, classification);
    }

    /// Returns the sums over all windows that end at `now`, and the time series.
    pub fn snapshot(&self, now: Tick) -> Snapshot {
        let mut cells: Vec<CellSnapshot> =
            self.cells.iter().map(|(key, windows)| cell_snapshot(key, windows, now)).collect();
        cells.retain(|cell| cell.windows.iter().any(|counts| counts.total > 0));
        cells.sort_by_key(CellSnapshot::key);
        Snapshot { cells, series: self.series(now) }
    }

    fn series(&self, now: Tick) -> Vec<ServiceSeries> {
        let mut by_service: BTreeMap<&ServiceName, BTreeMap<u64, Counts>> = BTreeMap::new();
        for (key, windows) in &self.cells {
            let points = by_service.entry(&key.service).or_default();
            for (age, counts) in windows.series(now) {
                *points.entry(age).or_default() += counts;
            }
        }
        by_service
            .into_iter()
            .map(|(service, points)| ServiceSeries {
                service: service.clone(),
                points: points
                    .into_iter()
                    .map(|(age, counts)| SeriesPoint { age, counts })
                    .collect(),
            })
            .collect()
    }
}

fn cell_snapshot(key: &CallKey, windows: &SlidingWindows, now: Tick) -> CellSnapshot {
    CellSnapshot {
        service: key.service.clone(),
        route: key.route.clone(),
        zone: key.zone.clone(),
        version: key.version.clone(),
        windows: Window::iter().map(|window| windows.sum(window, now)).collect(),
    }
}
