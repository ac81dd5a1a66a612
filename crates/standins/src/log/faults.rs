//! Switches of the log service.

use serde::{Deserialize, Serialize};

/// How the log service is away.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outage {
    /// It isn't.
    #[default]
    None,
    /// It answers each request with 503 and does nothing.
    Unavailable,
    /// It takes requests, does nothing and never answers.
    Silent,
}

/// What goes wrong at the log service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// How the log service is away.
    pub outage: Outage,
    /// Number of coming appends that take effect and whose answer is lost,
    /// because the connection is cut in its place.
    pub lose_append_answers: u32,
    /// Milliseconds by which each answer is late.
    pub slow_ms: u64,
}
