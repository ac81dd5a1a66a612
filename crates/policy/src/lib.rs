//! Decision logic of savorykeel, without I/O and without a clock.
//!
//! Callers pass in time and randomness, so that every decision can be replayed
//! from a seed. `docs/design/0001-layout.md` gives the reasons for this split.

pub mod accounts;
pub mod burn;
pub mod calls;
pub mod code;
pub mod config;
pub mod distribution;
pub mod evacuation;
pub mod ids;
pub mod membership;
pub mod moves;
pub mod quota;
pub mod refusal;
pub mod server;
pub mod table;
pub mod time;
