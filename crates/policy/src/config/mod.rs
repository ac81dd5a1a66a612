//! The operators' configuration, in its JSON form and in its checked form.
//!
//! `docs/CONFIGURATION.md` describes the fields for operators.

mod check;
mod check_accounts;
pub mod checkpoint;
pub mod delta;
pub mod fold;
pub mod model;
pub mod raw;
pub mod record;
mod rfc3339;
mod shadow;
