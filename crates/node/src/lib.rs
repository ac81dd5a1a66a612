//! The savorykeel node: the call path and the control loops over the ports.

pub mod admin;
mod burn;
mod callers;
mod calls;
pub mod control;
mod http;
mod run;
pub mod settings;
mod state;
mod worker;

pub use run::{Addresses, Ending, NodeError, run};
