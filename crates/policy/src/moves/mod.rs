//! Moves of a service's traffic from one backend server version to another.
//!
//! Nothing here needs a leader: the targets, the evidence and the state of a
//! move are values whose merge is commutative, associative and idempotent, so
//! that late, repeated and crossing updates are harmless. The reasons are in
//! `docs/design/0009-moves-agreement.md`, the test is in
//! `docs/design/0007-judge.md` and the shares are in
//! `docs/design/0008-ramp.md`. Moves that last seconds go by
//! `docs/design/0014-short-moves.md`.

pub mod book;
pub mod breaker;
pub mod capacity;
pub mod change_detector;
mod course;
pub mod eprocess;
pub mod evidence;
pub mod gossip;
pub mod histogram;
mod hypothesis;
pub mod judge;
pub mod quick;
pub mod ramp;
pub mod recheck;
pub mod short;
pub mod split;
pub mod state;
pub mod status;
pub mod targets;
pub mod watch;
pub mod window;
