//! Feature tests by theme.

mod binary;
mod harness;
