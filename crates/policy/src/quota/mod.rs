//! Quotas of client accounts over all nodes together, without a coordinator.
//!
//! Each account has a quota owner, the live node that a hash chooses. Its token bucket
//! ([`meter`]) grants tokens to entry nodes, which hold them for a moment ([`lease`]).
//! `docs/design/0023-quotas.md` derives the bound from the constants here.

use std::time::Duration;

pub mod lease;
pub mod message;
pub mod meter;
pub mod owner;
pub mod slots;
pub mod tenure;

/// Time for which an entry node may use granted tokens, counted from when it asked for them.
///
/// Requests admitted in 5 s come from tokens granted in 5.25 s, which leaves half of the tenth
/// that the bound allows above the rate.
pub const LEASE_TIME: Duration = Duration::from_millis(250);

/// Time for which a node grants nothing after it became the owner, or after a pause of its own.
///
/// Until then the earlier owner has learned of the change, and its leases have ended.
pub const SILENCE: Duration = Duration::from_secs(1);

/// Time between two observations of the clock above which the node counts as paused.
///
/// The owner's clock is observed every 100 ms; a node that is short of processor time is late
/// by a few times that.
pub const PAUSE: Duration = Duration::from_millis(500);

/// Time since the first failed request to the owner after which an entry node uses its static
/// share.
///
/// An owner that is cut off lowers what it grants once it suspects the nodes that it doesn't
/// reach: a probe every second, half a second for its answer, and a quarter for the reports.
pub const STATIC_AFTER: Duration = Duration::from_secs(3);

/// Window for which the bound holds.
pub const WINDOW: Duration = Duration::from_secs(5);
