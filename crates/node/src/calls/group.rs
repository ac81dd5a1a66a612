//! The ledger group of a service: the nodes that store claims of its idempotency keys.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use savorykeel_policy::{
    calls::ledger_view::{Identity, LedgerMember, LedgerView},
    ids::ServiceName,
    membership::entry::{Liveness, NodeRecord},
    time::Tick,
};

use crate::state::NodeState;

/// Age at which a cached view is rebuilt from the membership table.
const MAX_VIEW_AGE: Duration = Duration::from_millis(50);

/// Cached views of the groups of services that this node calls or belongs to.
#[derive(Default)]
pub(crate) struct ViewCache(Mutex<HashMap<ServiceName, (Tick, Arc<LedgerView>)>>);

/// Returns the current view of a service's group, at most [`MAX_VIEW_AGE`] old.
///
/// An unreachable member stays in the group, because it may still run behind a network
/// partition. A leaving member is not in the group, but hands over its claims until it
/// stops.
pub(crate) fn view(state: &NodeState, service: &ServiceName) -> Arc<LedgerView> {
    let now = state.now();
    if let Some((read_at, view)) = state.calls.views.0.lock().get(service)
        && now.since(*read_at) < MAX_VIEW_AGE
    {
        return view.clone();
    }
    let members = state.control.members();
    let in_group = members
        .iter()
        .filter(|entry| is_in_group(&entry.record, entry.liveness, service))
        .map(|entry| member(&entry.record));
    let view = Arc::new(LedgerView::new(in_group.collect()));
    state.calls.views.0.lock().insert(service.clone(), (now, view.clone()));
    view
}

fn is_in_group(record: &NodeRecord, liveness: Liveness, service: &ServiceName) -> bool {
    record.runs_service(service) && !record.leaving && liveness != Liveness::Gone
}

/// Describes a node as a member of its group.
pub(crate) fn member(record: &NodeRecord) -> LedgerMember {
    LedgerMember {
        identity: Identity {
            instance: record.instance.clone(),
            incarnation: record.stamp.incarnation,
        },
        zone: record.zone.clone(),
        addr: record.peer_addr,
    }
}
