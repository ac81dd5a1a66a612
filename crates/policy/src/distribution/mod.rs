//! Distribution of configuration to every node: which nodes read the log, which
//! messages nodes exchange, and the position below which a restarted node must not
//! serve.
//!
//! `docs/design/0002-configuration.md` gives the reasons for the design.

pub mod era;
pub mod floor;
pub mod hold;
pub mod message;
pub mod presence;
pub mod pull;
pub mod spread;
pub mod update;
pub mod zone_rank;
