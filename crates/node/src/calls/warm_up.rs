//! Warm-up of the local backend server, as the worker threads share it.

use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::{Mutex, MutexGuard};
use savorykeel_policy::{
    server::{
        rate::RequestRate,
        warm_up::{WarmUp, WarmUpTracker},
    },
    time::Tick,
};
use slog::{Logger, info};

/// What is known of the warm-up, and whether it limits requests.
#[derive(Debug, Default)]
pub(crate) struct WarmUpState {
    tracker: Mutex<WarmUpTracker>,
    is_limiting: AtomicBool,
}

impl WarmUpState {
    /// Returns the tracker. No other lock may be acquired while it is held.
    pub(crate) fn tracker(&self) -> MutexGuard<'_, WarmUpTracker> {
        self.tracker.lock()
    }

    /// Returns the rate that the backend server accepts while it is cold, if its service has a
    /// limit for that, and logs changes.
    pub(crate) fn rate(
        &self,
        warm_up: Option<&WarmUp>,
        now: Tick,
        log: &Logger,
    ) -> Option<RequestRate> {
        let rate = warm_up.and_then(|warm_up| self.tracker.lock().rate(warm_up, now));
        if self.is_limiting.swap(rate.is_some(), Ordering::Relaxed) != rate.is_some() {
            info!(log, "limit for a cold backend server changed";
                "per_second" => rate.map(RequestRate::per_second));
        }
        rate
    }

    /// Returns whether requests were limited when the rate was last asked for.
    pub(crate) fn is_limiting(&self) -> bool {
        self.is_limiting.load(Ordering::Relaxed)
    }
}
