//! The savorykeel node: the call path and the control loops, built on the ports.

pub mod admin;
mod burn;
mod caller_load;
mod calls;
pub mod control;
mod front;
mod http;
pub mod moves;
mod quota;
mod run;
pub mod settings;
mod state;
mod telemetry;
mod worker;

pub use run::{Addresses, Lifecycle, NodeError, ShutdownOutcome, run};
