//! Faults that the log service injects.

use serde::{Deserialize, Serialize};

/// Kind of outage of the log service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Each request is answered with 503 and has no effect.
    Unavailable,
    /// Requests are accepted but have no effect and get no answer.
    Silent,
}

/// Faults to inject at the log service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Outage in force.
    pub outage: Outage,
    /// Number of following appends that take effect but whose answer is lost:
    /// the connection is closed instead.
    pub lose_append_answers: u32,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: u64,
}
