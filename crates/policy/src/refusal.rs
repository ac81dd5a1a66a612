//! Collects all validation errors of a document, so that an operator sees them
//! at once instead of one per attempt.

use crate::ids::{InvalidName, check_plain_name};

/// A reason for which a document is refused, with the JSON path of the value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
#[error("{path}: {problem}")]
pub struct Refusal {
    /// JSON path of the value that breaks a rule.
    pub path: String,
    /// What was found and which values are valid.
    pub problem: String,
}

/// Validates values and collects one [`Refusal`] for each broken rule.
#[derive(Debug, Default)]
pub struct Checker {
    /// The refusals collected so far.
    pub refusals: Vec<Refusal>,
    /// Whether the document is in force elsewhere already, so that it's too late to refuse a
    /// value because of a bound that only this software has.
    pub is_accepted: bool,
    /// Values of an accepted document that break such a bound.
    pub unusual: Vec<Refusal>,
}

impl Checker {
    /// Adds a refusal for the value at `path`.
    pub fn refuse(&mut self, path: impl Into<String>, problem: impl Into<String>) {
        self.refusals.push(Refusal { path: path.into(), problem: problem.into() });
    }

    /// Adds a refusal for the value at `path` unless `holds`.
    pub fn require(&mut self, holds: bool, path: &str, problem: impl FnOnce() -> String) {
        if !holds {
            self.refuse(path, problem());
        }
    }

    /// Reports the value at `path` unless `holds`: refuses it to a publisher, and notes it in a
    /// document that was accepted elsewhere.
    pub fn bound(&mut self, holds: bool, path: &str, problem: impl FnOnce() -> String) {
        if holds {
            return;
        }
        let reports = if self.is_accepted { &mut self.unusual } else { &mut self.refusals };
        reports.push(Refusal { path: path.into(), problem: problem() });
    }

    /// Parses a name; adds a refusal and returns `None` when it is invalid.
    pub fn parse_name<T>(&mut self, path: &str, raw: &str) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = InvalidName>,
    {
        let plain = if self.is_accepted { Ok(()) } else { check_plain_name(raw) };
        let name = plain.and_then(|()| T::try_from(raw));
        name.map_err(|e| self.refuse(path, e.to_string())).ok()
    }

    /// Adds a refusal unless `value` is a share, which lies between 0 and 1.
    pub fn require_share(&mut self, path: &str, value: f64) {
        self.require((0.0..=1.0).contains(&value), path, || {
            format!("{value} is not a share: use a number from 0 to 1")
        });
    }
}
