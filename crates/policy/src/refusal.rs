//! Collects what is wrong with a document, so that an operator reads all of it
//! at once.

use crate::ids::InvalidName;

/// Why a document is refused, with the JSON path of what was found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
#[error("{path}: {problem}")]
pub struct Refusal {
    /// JSON path of the value that breaks a rule.
    pub path: String,
    /// What was found and what would do.
    pub problem: String,
}

/// Checks values and keeps a refusal for each broken rule.
#[derive(Debug, Default)]
pub struct Checker {
    /// The refusals so far.
    pub refusals: Vec<Refusal>,
}

impl Checker {
    /// Refuses the value at a path.
    pub fn refuse(&mut self, path: impl Into<String>, problem: impl Into<String>) {
        self.refusals.push(Refusal { path: path.into(), problem: problem.into() });
    }

    /// Refuses the value at a path unless a rule holds.
    pub fn require(&mut self, holds: bool, path: &str, problem: impl FnOnce() -> String) {
        if !holds {
            self.refuse(path, problem());
        }
    }

    /// Reads a name.
    pub fn parse_name<T>(&mut self, path: &str, raw: &str) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = InvalidName>,
    {
        T::try_from(raw).map_err(|e| self.refuse(path, e.to_string())).ok()
    }

    /// Refuses a number that is no share.
    pub fn require_share(&mut self, path: &str, value: f64) {
        self.require((0.0..=1.0).contains(&value), path, || {
            format!("{value} is not a share: use a number from 0 to 1")
        });
    }
}
