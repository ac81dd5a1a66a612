//! Pure decisions of savorykeel: no I/O and no clock of its own.
//!
//! Time and randomness are passed in, so that every decision can be replayed
//! from a seed. The reasons for this split are in `docs/design/0001-layout.md`.

pub mod burn;
pub mod calls;
pub mod code;
pub mod config;
pub mod distribution;
pub mod ids;
pub mod membership;
pub mod moves;
pub mod refusal;
pub mod server;
pub mod table;
pub mod time;
