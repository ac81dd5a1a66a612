//! Feature tests by theme.

mod binary;
mod check_configuration;
mod cli_usage;
mod config_recovery;
mod config_spread;
mod harness;
mod membership_failure;
