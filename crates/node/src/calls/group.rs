//! The members of a service that keep claims of idempotency keys.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use savorykeel_policy::{
    calls::ledger_view::{Identity, LedgerMember, LedgerView},
    ids::ServiceName,
    membership::entry::{Liveness, NodeRecord},
    time::Tick,
};

use crate::state::NodeState;

/// Time for which a view is used before the membership is read again.
const MAX_VIEW_AGE: Duration = Duration::from_millis(50);

/// Views of the services that this node calls or belongs to.
#[derive(Default)]
pub(crate) struct ViewCache(Mutex<HashMap<ServiceName, (Tick, Arc<LedgerView>)>>);

/// Returns the group of a service.
///
/// A member that can't be reached stays in it, because it may live on behind a
/// partition; one that leaves is out, but hands over its claims until it ends.
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
    let runs_service = record.backend.as_ref().is_some_and(|backend| backend.service == *service);
    runs_service && !record.leaving && liveness != Liveness::Gone
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
