//! Publish records, which operators append to the configuration stream.
//!
//! Parsing distinguishes a record that every node refuses permanently from a record
//! whose format this release doesn't support. The latter must never be skipped,
//! because a newer release may accept it; see `docs/design/0002-configuration.md`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ConfigVersion, PublishId},
    refusal::Refusal,
};

use super::{
    model::{CONFIGURATION_FORMAT, Configuration, Refusals},
    raw::RawConfiguration,
};

/// Number of the only supported record format.
pub const RECORD_FORMAT: u32 = 1;

/// Largest size of a publish record, in bytes; a larger record is refused without
/// being parsed.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// Largest number of reasons that are retained for a refused record.
pub const MAX_REFUSALS: usize = 16;

/// Largest length of a reason's path and of its text, in characters each.
pub const MAX_REFUSAL_CHARS: usize = 200;

/// A publish record as it is stored in the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPublish {
    /// Number of the record's format; see [`RECORD_FORMAT`].
    pub format: u32,
    /// Identifier of the publish, the same in every retry of its append.
    pub id: String,
    /// Version from which the configuration was derived.
    pub base: ConfigVersion,
    /// The complete desired configuration.
    pub configuration: RawConfiguration,
}

/// A publish record that passed every check that needs no earlier record.
#[derive(Debug, Clone, PartialEq)]
pub struct PublishRecord {
    /// Identifier of the publish.
    pub id: PublishId,
    /// Version from which the configuration was derived.
    pub base: ConfigVersion,
    /// The configuration as published by the operator.
    pub raw: Arc<RawConfiguration>,
    /// The checked configuration.
    pub configuration: Arc<Configuration>,
}

/// Reason for which a record yields no configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The format is newer than this release, which can't decide on the record.
    #[error("the record has the unknown format {found}; this program knows {RECORD_FORMAT}")]
    UnknownFormat {
        /// Number of the format.
        found: u64,
    },
    /// The record is invalid, and every node refuses it permanently.
    #[error("the record breaks {} rule(s)", .refusals.len())]
    Refused {
        /// Identifier of the publish, if it could be parsed.
        id: Option<PublishId>,
        /// Reasons, at most [`MAX_REFUSALS`].
        refusals: Vec<Refusal>,
    },
}

/// The fields that determine how the rest of the record is parsed.
#[derive(Deserialize)]
struct Envelope {
    format: u64,
    #[serde(default)]
    id: Option<serde_json::Value>,
    #[serde(default)]
    configuration: Option<ConfigurationEnvelope>,
}

#[derive(Deserialize)]
struct ConfigurationEnvelope {
    #[serde(default)]
    format: Option<serde_json::Value>,
}

impl PublishRecord {
    /// Parses and validates the body of a record.
    pub fn parse(body: &[u8]) -> Result<Self, RecordError> {
        if body.len() > MAX_RECORD_BYTES {
            let problem = format!("{} bytes: use at most {MAX_RECORD_BYTES}", body.len());
            return Err(refused(None, vec![Refusal { path: ".".into(), problem }]));
        }
        let envelope: Envelope =
            parse_json(body).map_err(|refusal| refused(None, vec![refusal]))?;
        let id = envelope.id.as_ref().and_then(|id| id.as_str()).map(PublishId::try_from);
        check_formats(&envelope)?;
        let id = match id {
            Some(Ok(id)) => id,
            Some(Err(e)) => return Err(refused(None, vec![refusal("id", e.to_string())])),
            None => {
                return Err(refused(
                    None,
                    vec![refusal("id", "missing: give each publish its own".into())],
                ));
            }
        };
        let raw: RawPublish =
            parse_json(body).map_err(|refusal| refused(Some(id.clone()), vec![refusal]))?;
        let configuration = Configuration::try_from(raw.configuration.clone())
            .map_err(|Refusals(refusals)| refused(Some(id.clone()), refusals))?;
        Ok(Self {
            id,
            base: raw.base,
            raw: Arc::new(raw.configuration),
            configuration: Arc::new(configuration),
        })
    }
}

fn check_formats(envelope: &Envelope) -> Result<(), RecordError> {
    if envelope.format > u64::from(RECORD_FORMAT) {
        return Err(RecordError::UnknownFormat { found: envelope.format });
    }
    if envelope.format < u64::from(RECORD_FORMAT) {
        let problem = format!("{} was never a format: use {RECORD_FORMAT}", envelope.format);
        return Err(refused(None, vec![refusal("format", problem)]));
    }
    let inner = envelope.configuration.as_ref().and_then(|inner| inner.format.as_ref()?.as_u64());
    match inner {
        Some(found) if found > u64::from(CONFIGURATION_FORMAT) => {
            Err(RecordError::UnknownFormat { found })
        }
        _ => Ok(()),
    }
}

fn parse_json<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let mut de = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut de)
        .map_err(|e| refusal(&e.path().to_string(), e.inner().to_string()))?;
    de.end().map_err(|e| refusal(".", e.to_string()))?;
    Ok(value)
}

fn refusal(path: &str, problem: String) -> Refusal {
    Refusal { path: path.into(), problem }
}

/// Limits the number and length of the reasons, because every node retains them.
fn refused(id: Option<PublishId>, refusals: Vec<Refusal>) -> RecordError {
    let shorten = |text: String| text.chars().take(MAX_REFUSAL_CHARS).collect();
    let refusals = refusals
        .into_iter()
        .take(MAX_REFUSALS)
        .map(|r| Refusal { path: shorten(r.path), problem: shorten(r.problem) })
        .collect();
    RecordError::Refused { id, refusals }
}
