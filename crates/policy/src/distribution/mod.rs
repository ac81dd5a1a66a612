//! How configuration reaches every node: who reads the log, what nodes tell each
//! other and below which position a restarted node must not serve.
//!
//! The reasons are in `docs/design/0002-configuration.md`.

pub mod floor;
pub mod message;
pub mod presence;
pub mod update;
pub mod zone_rank;
