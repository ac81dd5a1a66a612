//! The operators' configuration: its JSON form and its checked form.
//!
//! The fields are described for operators in `docs/CONFIGURATION.md`.

mod check;
pub mod checkpoint;
pub mod delta;
pub mod fold;
pub mod model;
pub mod raw;
pub mod record;
mod rfc3339;
mod shadow;
