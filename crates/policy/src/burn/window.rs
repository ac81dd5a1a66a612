//! Sliding windows made of time slots, so that memory is bounded whatever the load
//! is.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use crate::time::Tick;

use super::{Classification, Counts};

/// Time span over which a burn rate is reported.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
pub enum Window {
    /// Five minutes, which show the current state.
    #[strum(serialize = "5m")]
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour, which shows whether a fault persists.
    #[strum(serialize = "1h")]
    #[serde(rename = "1h")]
    OneHour,
    /// Six hours, which show a slow loss of error budget.
    #[strum(serialize = "6h")]
    #[serde(rename = "6h")]
    SixHours,
    /// Three days, the period over which the spent error budget is reported.
    #[strum(serialize = "3d")]
    #[serde(rename = "3d")]
    ThreeDays,
}

/// Length of the time slot of one point of the time series in a report.
pub const SERIES_SLOT: Duration = Duration::from_secs(60);

impl Window {
    /// Returns the length of the window.
    pub fn span(self) -> Duration {
        match self {
            Window::FiveMinutes => Duration::from_secs(300),
            Window::OneHour => Duration::from_secs(3_600),
            Window::SixHours => Duration::from_secs(6 * 3_600),
            Window::ThreeDays => Duration::from_secs(3 * 86_400),
        }
    }

    /// Returns the length of a slot, which is the step by which the window slides.
    fn slot(self) -> Duration {
        match self {
            Window::FiveMinutes => Duration::from_secs(10),
            Window::OneHour => SERIES_SLOT,
            Window::SixHours => Duration::from_secs(600),
            Window::ThreeDays => Duration::from_secs(3_600),
        }
    }

    fn slots(self) -> u64 {
        (self.span().as_millis() / self.slot().as_millis()) as u64
    }
}

/// Counts of one time slot.
#[derive(Debug, Clone, Copy)]
struct Slot {
    index: u64,
    counts: Counts,
}

/// Sliding window, stored as those of its slots that have calls.
#[derive(Debug, Clone)]
pub(super) struct SlidingWindow {
    window: Window,
    slots: VecDeque<Slot>,
}

impl SlidingWindow {
    fn new(window: Window) -> Self {
        Self { window, slots: VecDeque::new() }
    }

    fn index(&self, now: Tick) -> u64 {
        now.0 / self.window.slot().as_millis() as u64
    }

    fn record(&mut self, now: Tick, classification: Classification) {
        let index = self.index(now);
        self.expire(index);
        match self.slots.back_mut() {
            // `now` may be older than the newest slot: a thread may read the clock and
            // then wait for the lock while another thread records a later call.
            Some(slot) if slot.index >= index => slot.counts.record(classification),
            _ => {
                let mut counts = Counts::default();
                counts.record(classification);
                self.slots.push_back(Slot { index, counts });
            }
        }
    }

    fn expire(&mut self, now_index: u64) {
        let slots = self.window.slots();
        while self.slots.front().is_some_and(|slot| slot.index + slots <= now_index) {
            self.slots.pop_front();
        }
    }

    fn live_slots(&self, now: Tick) -> impl Iterator<Item = (u64, Counts)> {
        let now_index = self.index(now);
        let slots = self.window.slots();
        self.slots
            .iter()
            .map(move |slot| (now_index.saturating_sub(slot.index), slot.counts))
            .filter(move |(age, _)| *age < slots)
    }
}

/// One sliding window for each [`Window`].
#[derive(Debug, Clone)]
pub(super) struct SlidingWindows {
    windows: Vec<SlidingWindow>,
}

impl Default for SlidingWindows {
    fn default() -> Self {
        Self { windows: Window::iter().map(SlidingWindow::new).collect() }
    }
}

impl SlidingWindows {
    /// Adds one call to every window.
    pub(super) fn record(&mut self, now: Tick, classification: Classification) {
        for sliding_window in &mut self.windows {
            sliding_window.record(now, classification);
        }
    }

    /// Returns the sum over a window that ends at `now`.
    pub(super) fn sum(&self, window: Window, now: Tick) -> Counts {
        let mut sum = Counts::default();
        for (_, counts) in self.windows[window as usize].live_slots(now) {
            sum += counts;
        }
        sum
    }

    /// Returns the counts of the last hour with their age in slots of [`SERIES_SLOT`].
    pub(super) fn series(&self, now: Tick) -> impl Iterator<Item = (u64, Counts)> {
        self.windows[Window::OneHour as usize].live_slots(now)
    }

    /// Returns whether no window contains a call any more.
    pub(super) fn is_empty(&self, now: Tick) -> bool {
        self.windows.iter().all(|sliding_window| sliding_window.live_slots(now).next().is_none())
    }
}
