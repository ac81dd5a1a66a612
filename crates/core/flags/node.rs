//! Flags of `savorykeel node`.

use std::path::PathBuf;

use argh::FromArgs;
use savorykeel_adapters::logging::{LogFormat, LogLevel};
use strum::IntoEnumIterator;

/// Runs the node of a local backend server.
///
/// Once the node accepts requests, it prints one JSON line with its addresses to
/// standard output, followed by its log. SIGTERM and SIGINT stop it gracefully, a
/// second signal stops it at once.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "node")]
pub struct NodeFlags {
    /// settings file; when absent, the one that the platform specifies
    #[argh(option, arg_name = "FILE")]
    pub settings: Option<PathBuf>,

    /// format of log lines: json (default) or human
    #[argh(option, arg_name = "FORMAT", default = "LogFormat::default()", from_str_fn(log_format))]
    pub log_format: LogFormat,

    /// lowest severity that is logged: error, warn, info (default) or debug
    #[argh(option, arg_name = "LEVEL", default = "LogLevel::default()", from_str_fn(log_level))]
    pub log_level: LogLevel,
}

fn log_format(raw: &str) -> Result<LogFormat, String> {
    raw.parse().map_err(|_| unknown_value_message(raw, LogFormat::iter()))
}

fn log_level(raw: &str) -> Result<LogLevel, String> {
    raw.parse().map_err(|_| unknown_value_message(raw, LogLevel::iter()))
}

fn unknown_value_message<T: ToString>(raw: &str, allowed: impl Iterator<Item = T>) -> String {
    let allowed: Vec<String> = allowed.map(|value| value.to_string()).collect();
    format!("unknown value {raw:?}: use one of {}", allowed.join(", "))
}
