//! JSON bodies and paths of the operators' API.
//!
//! The paths and fields are described in `docs/operating/api.md`.

use savorykeel_policy::{
    code::Code,
    config::{fold, raw::RawConfiguration},
    ids::{
        BackendVersion, ConfigVersion, InstanceName, PublishId, RegionName, ServiceName, ZoneName,
    },
    membership::entry::Liveness,
    moves::status::MoveReport,
    refusal::Refusal,
};
use serde::{Deserialize, Serialize};

/// Path to which publishes are posted; the outcome of one is below it, under its id.
pub const PUBLISHES_PATH: &str = "/v1/publishes";

/// Path of the status report.
pub const STATUS_PATH: &str = "/v1/status";

/// Path to which evacuations are posted, and of the report on them.
pub const EVACUATIONS_PATH: &str = "/v1/evacuations";

/// Path of the burn report.
pub const BURN_PATH: &str = "/v1/burn";

/// Path of the configuration in force.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";

/// Body of the answer to a request that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: Code,
    /// What was wrong and how to correct it.
    pub detail: String,
}

/// Body of the answer about a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishAnswer {
    /// Id of the publish.
    pub id: PublishId,
    /// Its outcome.
    #[serde(flatten)]
    pub outcome: PublishOutcome,
}

/// Outcome of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum PublishOutcome {
    /// It came into force; a later one may have replaced it since.
    Accepted {
        /// Version assigned to it.
        version: ConfigVersion,
    },
    /// It was derived from a version that was no longer in force.
    Conflict {
        /// Version from which it was derived.
        base: ConfigVersion,
        /// Version that was in force.
        in_force: ConfigVersion,
    },
    /// Its configuration breaks rules.
    Refused {
        /// The broken rules.
        reasons: Vec<Refusal>,
    },
    /// This node hasn't read it from the log: it is still in transit or was never
    /// appended.
    Pending {
        /// Why the outcome isn't known.
        detail: String,
    },
}

impl From<fold::PublishOutcome> for PublishOutcome {
    fn from(outcome: fold::PublishOutcome) -> Self {
        match outcome {
            fold::PublishOutcome::Accepted { version } => Self::Accepted { version },
            fold::PublishOutcome::Conflict { base, in_force } => Self::Conflict { base, in_force },
            fold::PublishOutcome::Refused { refusals } => Self::Refused { reasons: refusals },
        }
    }
}

impl PublishOutcome {
    /// Returns the HTTP status of an answer with this outcome.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } => Code::PublishConflict.http_status(),
            Self::Refused { .. } => Code::PublishRefused.http_status(),
            Self::Pending { .. } => Code::PublishPending.http_status(),
        }
    }
}

/// Body of a request to evacuate an availability zone, and of the answer once it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationRequest {
    /// The zone.
    pub zone: ZoneName,
    /// Whether it is evacuated; false revokes its evacuation.
    pub evacuated: bool,
}

/// The evacuated zones, as the nodes know them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Instance that answers.
    pub instance: InstanceName,
    /// Zones that a node knows to be evacuated.
    pub zones: Vec<ZoneEvacuation>,
}

/// Which nodes have applied the evacuation of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// The zone.
    pub zone: ZoneName,
    /// Nodes that have applied it.
    pub applied: Vec<InstanceName>,
    /// Nodes that haven't applied it, or have applied its end.
    pub not_applied: Vec<InstanceName>,
    /// Nodes that gave no answer.
    pub unknown: Vec<InstanceName>,
}

/// The configuration in force on the node that answers, as it was published.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PublishedConfiguration {
    /// Its version.
    pub version: ConfigVersion,
    /// The whole configuration.
    pub configuration: RawConfiguration,
}

/// The mesh as one node sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Instance that answers.
    pub instance: InstanceName,
    /// Configuration version in force on the instance that answers.
    pub version: ConfigVersion,
    /// Configuration versions over all members that answered.
    pub applied: AppliedSpread,
    /// Members by instance name.
    pub members: Vec<MemberStatus>,
    /// Moves of traffic between backend server versions.
    pub moves: Vec<MoveReport>,
    /// Conditions that need an operator's attention.
    pub alarms: Vec<String>,
}

/// Configuration versions over all members that answered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedSpread {
    /// Lowest version in force on a member.
    pub lowest: ConfigVersion,
    /// Highest version in force on a member.
    pub highest: ConfigVersion,
    /// Members below the highest version.
    pub laggards: Vec<InstanceName>,
}

/// One member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Its liveness as seen by the node that answers.
    pub liveness: Liveness,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Configuration version in force on it, or none when it gave no answer.
    pub applied: Option<ConfigVersion>,
    /// The backend server on the instance, if one announced itself.
    pub backend: Option<BackendStatus>,
}

/// The backend server on an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: BackendVersion,
    /// Whether it is draining.
    pub draining: bool,
}
