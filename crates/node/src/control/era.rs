//! Notices that the store came back from an older copy.

use std::{rc::Rc, time::Duration};

use ntex::time::sleep;
use savorykeel_policy::distribution::era::StoreEra;
use savorykeel_ports::log::LogService;
use slog::warn;

use super::{
    context::ControlContext,
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

impl ControlState {
    /// Records an era of the store; `source` is who stated it.
    pub(super) fn record_era(&self, era: StoreEra, source: &str) {
        let now = self.now();
        let Some(change) = self.with_store_era(|known| known.record(era, now)) else { return };
        Counters::add(&self.counters.store_returns, 1);
        warn!(self.logger, "the store came back from an older copy"; "era" => change.current.0,
            "previous_era" => change.previous.0, "source" => source,
            "held" => self.held_position().0);
    }
}
