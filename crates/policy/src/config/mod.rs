//! The operators' configuration: its JSON form and its checked form.
//!
//! The fields are described for operators in `docs/CONFIGURATION.md`.

pub mod model;
pub mod raw;
mod rfc3339;
