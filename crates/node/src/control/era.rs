//! Notices that the store came back from an older copy.
//!
//! Every message between nodes carries the newest era that its sender knows, so that nodes learn
//! of it that don't use the store. What nodes wrote in the last seconds of the earlier era may
//! be gone; [`super::presence`] and `crate::moves::statuses` write it again.

use std::{rc::Rc, time::Duration};

use ntex::time::sleep;
use savorykeel_policy::distribution::era::StoreEra;
use savorykeel_ports::log::LogService;
use slog::warn;

use super::{
    context::ControlContext,
    event::Event,
    reader::to_millis,
    state::{ControlState, Counters},
};

/// Time between two checks of the era that the store has stated last.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Records the era that the store states in its answers, whichever call they belong to.
pub(super) async fn watch<L: LogService, P>(cx: Rc<ControlContext<L, P>>) {
    loop {
        sleep(to_millis(WATCH_INTERVAL)).await;
        if let Some(era) = cx.log.era() {
            cx.state.record_era(era, "store");
        }
    }
}

/// Remembers for which era of the store a part of the node has checked its records there.
#[derive(Debug, Default)]
pub(crate) struct CheckedEra(Option<StoreEra>);

impl CheckedEra {
    /// Returns whether the store has come back from a copy since the last call.
    pub(crate) fn has_returned(&mut self, state: &ControlState) -> bool {
        let newest = state.with_store_era(|known| known.newest());
        let previous = std::mem::replace(&mut self.0, newest);
        previous.is_some() && previous != newest
    }
}

impl ControlState {
    /// Records an era of the store; `source` is who stated it.
    pub(super) fn record_era(&self, era: StoreEra, source: &str) {
        let now = self.now();
        let Some(change) = self.with_store_era(|known| known.record(era, now)) else { return };
        Counters::add(&self.counters.store_returns, 1);
        warn!(self.logger, "the store came back from an older copy"; "era" => change.current.0,
            "previous_era" => change.previous.0, "source" => source,
            "held" => self.held_position().0);
        self.emit(Event::StoreReturned);
    }
}
