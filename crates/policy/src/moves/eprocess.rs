//! E-processes: evidence against a hypothesis that stays valid however often it is
//! evaluated.
//!
//! An e-process starts with a prior weight and is multiplied by likelihood ratios
//! whose mean is at most one while the hypothesis holds. By Ville's inequality, the
//! probability that it ever reaches `1 / bound` is at most the prior weight times
//! `bound`, over all evaluations. `docs/design/0007-judge.md` has the proof for the
//! likelihood ratios used here.

/// Rate ratios of the alternative hypotheses: how many times the tolerated rate the
/// new version's event rate is under each of them.
pub const RATIOS: [f64; 5] = [1.5, 2.0, 4.0, 16.0, 128.0];

/// Largest log-likelihood ratio that one window may contribute.
///
/// It prevents a verdict from a single burst of correlated failures, or from two
/// reports of which one falls into the window and the other doesn't.
pub const MAX_LOG_GROWTH: f64 = 3.0;

/// Smallest log-likelihood ratio that one window may contribute.
const MAX_LOG_DECLINE: f64 = -50.0;

/// Numbers of calls and events of two versions in one window.
///
/// An event is what the hypothesis is about, such as a failure or a slow call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of calls that the new version ran.
    pub new_run: u64,
    /// Number of events among the new version's calls.
    pub new_events: u64,
    /// Number of calls that the old version ran.
    pub old_run: u64,
    /// Number of events among the old version's calls.
    pub old_events: u64,
}

/// Log-likelihood ratios of one window, one for each alternative in [`RATIOS`].
pub type LogRatios = [f64; RATIOS.len()];

/// Returns the log-likelihood ratios against the hypothesis that the new version's
/// event rate is at most `tolerance` times the old version's, whatever the old
/// version's rate in this window is.
///
/// Conditional on the total number of events in the window, the number of the new
/// version's events has a hypergeometric distribution, whose exponential moments are
/// bounded by those of a binomial distribution. Without calls of both versions the
/// window contributes nothing.
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

/// Returns the log-likelihood ratios against the hypothesis that the new version's
/// event rate, as a fraction of its calls, is at most `rate`.
pub fn log_ratios_against_rate(counts: Counts, rate: f64) -> LogRatios {
    let events = counts.new_events as f64;
    let non_events = counts.new_run as f64 - events;
    RATIOS.map(|ratio| {
        let alternative = (rate * ratio).min(0.9).max(rate);
        events * (alternative / rate).ln() + non_events * ((1.0 - alternative) / (1.0 - rate)).ln()
    })
}

/// Mixture of e-processes over the alternatives in [`RATIOS`] and over starting
/// times.
#[derive(Debug, Clone, Default)]
pub struct EProcess {
    values: [f64; RATIOS.len()],
}

impl EProcess {
    /// Adds prior weight that starts now, split equally over the alternatives.
    ///
    /// Good windows shrink the weight that was there before them. Weight that starts
    /// later makes it possible to find a fault that appears late.
    pub fn add_prior_weight(&mut self, prior_weight: f64) {
        for value in &mut self.values {
            *value += prior_weight / RATIOS.len() as f64;
        }
    }

    /// Multiplies the e-process by the likelihood ratios of one window, each limited
    /// in size.
    pub fn update(&mut self, log_ratios: &LogRatios) {
        for (value, log_ratio) in self.values.iter_mut().zip(log_ratios) {
            *value *= log_ratio.clamp(MAX_LOG_DECLINE, MAX_LOG_GROWTH).exp();
            *value = value.min(f64::MAX / 1e30);
        }
    }

    /// Returns the e-value: the sum over all alternatives and starting times.
    pub fn value(&self) -> f64 {
        self.values.iter().sum()
    }
}
