//! Service-level burn rates: how fast each service spends its error budget, and why.
//!
//! Each node records the calls that it received from callers, in sliding windows
//! with bounded memory. The snapshots of all nodes are added up and compared with the
//! objectives of the configuration. The report is described in
//! `docs/operating/burn.md`.

mod cause;
mod counts;
mod recorder;
mod report;
mod snapshot;
mod window;

pub use cause::{Cause, Classification, classify};
pub use counts::Counts;
pub use recorder::{CallKey, MAX_CELLS, Recorder};
pub use report::{
    BurnReport, CauseShare, GroupBurn, NodeCoverage, RouteBurn, ServiceBurn, WindowBurn, report,
};
pub use snapshot::{CellSnapshot, SeriesPoint, ServiceSeries, Snapshot};
pub use window::{SERIES_SLOT, Window};
