//! Moves of a service's traffic from one backend server version to another.
//!
//! A move needs no leader: its targets, evidence and state are values whose merge
//! is commutative, associative and idempotent, so that late, repeated and
//! reordered updates are harmless. `docs/design/0009-moves-agreement.md` gives
//! the reasons, `docs/design/0007-judge.md` the statistical test and
//! `docs/design/0008-ramp.md` the schedule of shares. Moves that last seconds
//! follow `docs/design/0014-short-moves.md`.

mod active_move;
pub mod capacity;
pub mod change_detector;
pub mod circuit_breaker;
pub mod eprocess;
pub mod evaluators;
pub mod evidence;
pub mod gossip;
pub mod histogram;
mod hypothesis;
mod incumbents;
pub mod judge;
pub mod monitor;
pub mod orders;
pub mod quick;
pub mod ramp;
pub mod recheck;
mod reports;
pub mod short;
pub mod split;
pub mod state;
pub mod status;
pub mod targets;
pub mod tracker;
pub mod window;
