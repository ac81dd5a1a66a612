//! A node's settings: the JSON form, the checked form, and reading and checking a file.
//!
//! The fields are described for operators in `docs/SETTINGS.md`.

mod check;
mod checked;
mod load;
mod raw;

pub use checked::{
    BackendSettings, Limits, Listen, MetricsSettings, Settings, StoreChoice, Testing,
};
pub use load::{SettingsError, parse, read};
pub use raw::{
    ControlSettings, RawAdvertise, RawBackend, RawLimits, RawListen, RawMetrics, RawOperators,
    RawPlatform, RawSettings, RawTesting,
};

use savorykeel_policy::refusal::Refusal;

/// Every rule that refused settings break.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the settings break {} rule(s)", .0.len())]
pub struct SettingsRefusals(pub Vec<Refusal>);
