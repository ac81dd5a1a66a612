//! Reads and checks a settings file.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use super::{RawSettings, Settings, SettingsRefusals};

/// Reason for which a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: can't be read: {source}", .file.display())]
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// Error that the operating system returned.
        source: io::Error,
    },
    /// The file is not JSON, or its fields aren't those of the settings.
    #[error("{}: {path}: {problem}", .file.display())]
    Malformed {
        /// The settings file.
        file: PathBuf,
        /// JSON path of the wrong value.
        path: String,
        /// What was found and what is expected.
        problem: String,
    },
    /// A value breaks a rule.
    #[error("{}", RefusalLines { file, refusals })]
    Refused {
        /// The settings file.
        file: PathBuf,
        /// Each broken rule.
        refusals: SettingsRefusals,
    },
}

/// Formats refusals as one line for each broken rule.
struct RefusalLines<'a> {
    file: &'a Path,
    refusals: &'a SettingsRefusals,
}

impl fmt::Display for RefusalLines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, refusal) in self.refusals.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {refusal}", self.file.display())?;
        }
        Ok(())
    }
}

/// Reads and checks the settings in `file`.
pub fn read(file: &Path) -> Result<Settings, SettingsError> {
    let text = fs::read_to_string(file)
        .map_err(|source| SettingsError::Unreadable { file: file.into(), source })?;
    parse(file, &text)
}

/// Parses and checks settings in `text`; `file` is used only in errors.
pub fn parse(file: &Path, text: &str) -> Result<Settings, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let raw: RawSettings =
        serde_path_to_error::deserialize(&mut json).map_err(|e| SettingsError::Malformed {
            file: file.into(),
            path: e.path().to_string(),
            problem: e.into_inner().to_string(),
        })?;
    json.end().map_err(|e| SettingsError::Malformed {
        file: file.into(),
        path: ".".into(),
        problem: format!("{e}: use one JSON object and nothing after it"),
    })?;
    Settings::try_from(raw)
        .map_err(|refusals| SettingsError::Refused { file: file.into(), refusals })
}
