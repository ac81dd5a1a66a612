//! Reads the operators' configuration from a file or from standard input.

use std::{
    fs,
    io::{self, Read},
    path::{Path, PathBuf},
};

use savorykeel_policy::config::{
    model::{Configuration, Refusals},
    raw::RawConfiguration,
};

/// Reason why a configuration could not be read or is not valid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// Reading the source failed.
    #[error("{source_name}: can't be read: {source}")]
    Unreadable {
        /// File name, or "standard input".
        source_name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is not JSON or doesn't have the fields of a configuration.
    #[error("{source_name}: {path}: {problem}")]
    Malformed {
        /// File name, or "standard input".
        source_name: String,
        /// JSON path of the invalid value.
        path: String,
        /// What was found and what is expected.
        problem: String,
    },
    /// A value breaks a rule.
    #[error("{}", refusal_lines(.source_name, .refusals))]
    Refused {
        /// File name, or "standard input".
        source_name: String,
        /// Every rule that the configuration breaks.
        refusals: Refusals,
    },
}

fn refusal_lines(source_name: &str, refusals: &Refusals) -> String {
    let lines: Vec<String> =
        refusals.0.iter().map(|refusal| format!("{source_name}: {refusal}")).collect();
    lines.join("\n")
}

/// Source that a configuration is read from.
#[derive(Debug, Clone)]
pub enum Source {
    /// A file.
    File(PathBuf),
    /// Standard input.
    Stdin,
}

impl Source {
    /// Returns the source for `file`; no file and `-` mean standard input.
    pub fn new(file: Option<PathBuf>) -> Self {
        match file {
            Some(file) if file != Path::new("-") => Source::File(file),
            _ => Source::Stdin,
        }
    }

    fn name(&self) -> String {
        match self {
            Source::File(file) => file.display().to_string(),
            Source::Stdin => "standard input".into(),
        }
    }

    fn read_text(&self) -> io::Result<String> {
        match self {
            Source::File(file) => fs::read_to_string(file),
            Source::Stdin => {
                let mut text = String::new();
                io::stdin().read_to_string(&mut text)?;
                Ok(text)
            }
        }
    }
}

/// Reads a configuration and checks that it has the right fields, but not their
/// values.
///
/// Used where a node validates the values itself.
pub fn read_unchecked(source: &Source) -> Result<RawConfiguration, ConfigurationError> {
    let source_name = source.name();
    let text = match source.read_text() {
        Ok(text) => text,
        Err(source) => return Err(ConfigurationError::Unreadable { source_name, source }),
    };
    parse(&source_name, &text)
}

/// Reads a configuration and validates the values of its fields.
pub fn read(source: &Source) -> Result<RawConfiguration, ConfigurationError> {
    let source_name = source.name();
    let raw = read_unchecked(source)?;
    match Configuration::try_from(raw.clone()) {
        Ok(_) => Ok(raw),
        Err(refusals) => Err(ConfigurationError::Refused { source_name, refusals }),
    }
}

fn parse(source_name: &str, text: &str) -> Result<RawConfiguration, ConfigurationError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let raw =
        serde_path_to_error::deserialize(&mut json).map_err(|e| ConfigurationError::Malformed {
            source_name: source_name.into(),
            path: e.path().to_string(),
            problem: e.into_inner().to_string(),
        })?;
    json.end().map_err(|e| ConfigurationError::Malformed {
        source_name: source_name.into(),
        path: ".".into(),
        problem: format!("{e}: use one JSON object and nothing after it"),
    })?;
    Ok(raw)
}
