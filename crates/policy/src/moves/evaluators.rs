//! Selects the nodes of a service that collect its evidence and evaluate its moves.
//!
//! A few nodes of the service in each availability zone are its evaluators. The other nodes
//! of the zone report to them, and evaluators pass the reports of their zone on to the
//! evaluators of other zones. The number of reports that cross a zone boundary therefore
//! grows with the number of nodes and not with its square. See
//! `docs/design/0016-spread.md`.

use std::time::Duration;

use crate::{
    distribution::zone_rank::{other_zones, ranked_of_service},
    ids::{InstanceName, ServiceName, ZoneName},
    membership::{entry::NodeRecord, members::Members, rings::Contact},
    time::{Tick, WallMillis},
};

/// Number of evaluators of a service in each availability zone. With two, the failure of
/// one delays no verdict while it is being detected.
pub const EVALUATORS_PER_ZONE: usize = 2;

/// Time for which a node collects reports as an evaluator before it evaluates. Without the
/// evidence of the other nodes a fault would go unnoticed.
const WARM_UP: Duration = Duration::from_secs(2);

/// Time between two rounds above which this process is taken to have been paused, so that
/// its evidence is out of date.
const MAX_ROUND: Duration = Duration::from_secs(1);

/// Decides whether a node may evaluate the move of its service.
///
/// A move's share rises with time while nothing is held against the new version. A node
/// that has just become an evaluator, or that was paused, has the time but not the
/// evidence, and would raise the share of a version that the others have found to be bad or
/// are about to.
#[derive(Debug, Clone, Copy, Default)]
pub struct EvaluatorTerm {
    /// Start of the time for which the node has been an evaluator without a pause.
    since: Option<Tick>,
    /// Time of the last round. The wall clock also advances while the machine is suspended;
    /// where it is set, the warm-up starts once more, which does no harm.
    last_round: Option<(Tick, WallMillis)>,
}

impl EvaluatorTerm {
    /// Records a round and returns whether the node may evaluate in it.
    pub fn may_evaluate(&mut self, is_evaluator: bool, now: Tick, wall: WallMillis) -> bool {
        let last_round = self.last_round.replace((now, wall));
        let was_paused = last_round.is_some_and(|(tick, last_wall)| {
            let wall_ms = wall.0.abs_diff(last_wall.0);
            now.since(tick) > MAX_ROUND || Duration::from_millis(wall_ms) > MAX_ROUND
        });
        if !is_evaluator || was_paused {
            self.since = None;
        }
        is_evaluator && now.since(*self.since.get_or_insert(now)) >= WARM_UP
    }
}

/// Reports that an evaluator or another node of the service receives from a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportScope {
    /// The node's own report.
    Own,
    /// All reports of the node's availability zone.
    OwnZone,
    /// All reports that the node has.
    All,
}

/// A node that receives reports of evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportRecipient {
    /// The node.
    pub contact: Contact,
    /// Reports that it receives.
    pub scope: ReportScope,
}

/// The part of one node in collecting the evidence about its service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvidencePlan {
    /// Number of evaluators that come before this node in the order of all of them; none if
    /// this node isn't an evaluator.
    pub position: Option<usize>,
    /// Nodes to which this node sends reports.
    pub recipients: Vec<ReportRecipient>,
}

impl EvidencePlan {
    /// Computes the part of a node of availability zone `zone` whose backend server belongs
    /// to `service`.
    pub fn of(
        instance: &InstanceName,
        zone: &ZoneName,
        service: &ServiceName,
        members: &Members,
    ) -> Self {
        let own_zone = ranked_of_service(members, zone, service, EVALUATORS_PER_ZONE);
        let own_rank = own_zone.iter().position(|record| record.instance == *instance);
        let own_scope = if own_rank.is_some() { ReportScope::All } else { ReportScope::Own };
        let in_own_zone = own_zone.iter().filter(|record| record.instance != *instance);
        let mut recipients: Vec<ReportRecipient> =
            in_own_zone.map(|record| recipient(record, own_scope)).collect();
        let Some(own_rank) = own_rank else { return Self { position: None, recipients } };
        let mut position = own_rank;
        for other in other_zones(members, zone) {
            let evaluators = ranked_of_service(members, other, service, EVALUATORS_PER_ZONE);
            position += evaluators.len().min(own_rank + usize::from(other < zone));
            let same_rank = evaluators.get(own_rank);
            recipients.extend(same_rank.map(|r| recipient(r, ReportScope::OwnZone)));
        }
        Self { position: Some(position), recipients }
    }
}

fn recipient(record: &NodeRecord, scope: ReportScope) -> ReportRecipient {
    ReportRecipient { contact: Contact::of(record), scope }
}
