//! Feature tests by theme.

mod binary;
mod check_configuration;
mod cli_usage;
mod config_spread;
mod harness;
mod moves_stage;
mod moves_whole;
