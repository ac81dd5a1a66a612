//! A node's settings: the JSON form, the checked form and how a file is read.
//!
//! The fields are described for operators in `docs/SETTINGS.md`.

mod check;
mod checked;
mod load;
mod raw;

pub use checked::{Limits, Listen, MetricsSettings, Settings, Testing};
pub use load::{SettingsError, parse, read};
pub use raw::{
    ControlSettings, RawAdvertise, RawLimits, RawListen, RawMetrics, RawOperators, RawSettings,
    RawTesting,
};

use savorykeel_policy::refusal::Refusal;

/// Every reason for which settings are refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the settings break {} rule(s)", .0.len())]
pub struct SettingsRefusals(pub Vec<Refusal>);
