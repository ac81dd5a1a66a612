//! Feature tests by theme.

mod binary;
mod harness;
mod check_configuration;
mod cli_usage;
