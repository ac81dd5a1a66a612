//! Evidence against a hypothesis that may be looked at as often as one likes.
//!
//! An e-process starts with a mass and is multiplied by likelihood ratios whose
//! mean is at most one while the hypothesis holds. By Ville's inequality the
//! chance that it ever reaches `1 / bound` is at most the mass times `bound`,
//! over all looks. `docs/design/0007-judge.md` has the proof for the ratios used
//! here.

/// How many times worse than tolerated the alternatives are.
pub const RATIOS: [f64; 5] = [1.5, 2.0, 4.0, 16.0, 128.0];

/// Largest growth, as a logarithm, in one look.
///
/// It keeps a burst of failures that belong together, or two reports that cross
/// a window's edge, from deciding alone.
pub const MAX_LOG_GROWTH: f64 = 3.0;

/// Smallest decline, as a logarithm, in one look.
const MAX_LOG_DECLINE: f64 = -50.0;

/// Counts of two versions in one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls of the new version.
    pub new_run: u64,
    /// Calls of these that count against it.
    pub new_events: u64,
    /// Calls of the old version.
    pub old_run: u64,
    /// Calls of these that count against it.
    pub old_events: u64,
}

/// Logarithms of the likelihood ratios of one window, one for each of [`RATIOS`].
pub type LogRatios = [f64; RATIOS.len()];

/// Tests that the new version is hit at most `tolerance` times as often as the
/// old one, whatever the old one's rate in this window is.
///
/// Given all hits of the window, the new version's part of them has a
/// hypergeometric distribution, and a binomial one bounds its exponential
/// moments.
pub fn log_ratios_against_old(counts: Counts, tolerance: f64) -> LogRatios {
    if counts.new_run == 0 || counts.old_run == 0 {
        return LogRatios::default();
    }
    let weighted_new_run = counts.new_run as f64 * tolerance;
    let expected_share = weighted_new_run / (weighted_new_run + counts.old_run as f64);
    let events = (counts.new_events + counts.old_events) as f64;
    RATIOS.map(|ratio| {
        counts.new_events as f64 * ratio.ln() - events * (1.0 + expected_share * (ratio - 1.0)).ln()
    })
}

/// Tests that the new version is hit with at most a fixed rate.
pub fn log_ratios_against_rate(counts: Counts, rate: f64) -> LogRatios {
    let events = counts.new_events as f64;
    let non_events = counts.new_run as f64 - events;
    RATIOS.map(|ratio| {
        let alternative = (rate * ratio).min(0.9).max(rate);
        events * (alternative / rate).ln() + non_events * ((1.0 - alternative) / (1.0 - rate)).ln()
    })
}

/// A mixture of e-processes over the alternatives and over starting times.
#[derive(Debug, Clone, Default)]
pub struct EProcess {
    values: [f64; RATIOS.len()],
}

impl EProcess {
    /// Lets part of the mass start now, so that a fault which starts late isn't
    /// hidden by what was good before.
    pub fn add_prior_weight(&mut self, prior_weight: f64) {
        for value in &mut self.values {
            *value += prior_weight / RATIOS.len() as f64;
        }
    }

    /// Multiplies by the ratios of one window.
    pub fn update(&mut self, log_ratios: &LogRatios) {
        for (value, log_ratio) in self.values.iter_mut().zip(log_ratios) {
            *value *= log_ratio.clamp(MAX_LOG_DECLINE, MAX_LOG_GROWTH).exp();
            *value = value.min(f64::MAX / 1e30);
        }
    }

    /// Returns the evidence so far.
    pub fn value(&self) -> f64 {
        self.values.iter().sum()
    }
}
