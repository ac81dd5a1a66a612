//! Knowledge of evacuations: what the store and other nodes say, and what changes by it.

use std::{rc::Rc, time::Duration};

use ntex::time::sleep;
use savorykeel_policy::{
    evacuation::{Evacuations, StoredEvacuations},
    moves::orders::may_be_repeated,
    time::Tick,
};
use slog::{info, warn};

use super::{context::ControlContext, event::Event, reader::to_millis, state::ControlState};

/// Time between two checks of whether this node was paused.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Asks the other nodes for their state once this node resumes after a pause.
pub(super) async fn watch_pauses<L, P>(cx: Rc<ControlContext<L, P>>) {
    loop {
        if cx.state.certainty.lock().record_activity(cx.state.now()) {
            info!(cx.state.logger, "this node was paused; it asks for evacuations");
            cx.state.emit(Event::Resumed);
        }
        sleep(to_millis(PAUSE_CHECK_INTERVAL)).await;
    }
}

impl ControlState {
    /// Returns whether what this node knows of evacuations isn't from before a pause of its own.
    pub(crate) fn is_certain_of_evacuations(&self) -> bool {
        let now = self.now();
        let mut certainty = self.certainty.lock();
        if certainty.record_activity(now) {
            self.emit(Event::Resumed);
        }
        certainty.is_certain(now)
    }

    /// Records that this node knows what a recovered node or the store knew when it was asked
    /// at `asked_at`.
    pub(super) fn record_evacuations_known(&self, asked_at: Tick) {
        self.certainty.lock().record_answer(asked_at);
    }

    /// Merges what another node knows of evacuations.
    pub(super) fn merge_evacuations(&self, other: &Evacuations, source: &str) {
        if self.update_evacuations(|known| known.merge(other)) {
            self.apply_evacuations(source);
        }
    }

    /// Merges what the store says, as of a read that has just ended.
    pub(super) fn apply_stored_evacuations(&self, stored: &StoredEvacuations) {
        // Operators write their records again after the store came back from an older copy, as
        // they do with orders to move.
        let may_be_restored = self
            .with_store_era(|era| may_be_repeated(self.now(), era.changed_at(), self.started_at));
        let update = |known: &mut Evacuations| {
            let news = known.news_of(stored, may_be_restored);
            known.merge(&news)
        };
        if self.update_evacuations(update) {
            self.apply_evacuations("store");
        }
    }

    /// Puts a change in force on this node, and has the other nodes told at once.
    fn apply_evacuations(&self, source: &str) {
        let evacuations = self.evacuations();
        let zones: Vec<&str> = evacuations.evacuated().map(|zone| zone.as_str()).collect();
        warn!(self.logger, "evacuated zones changed"; "evacuated" => zones.join(","),
            "source" => source, "own_zone" => self.is_own_zone_evacuated());
        self.emit(Event::EvacuationsChanged);
        self.rebuild();
    }
}
