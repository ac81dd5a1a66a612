//! Shares and means with confidence intervals, quantiles, and a test of proportions.

/// Quantile of the standard normal distribution for 95% intervals.
const Z_95: f64 = 1.959_964;

/// A share of cases, as two counts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Share {
    /// Number of cases for which the condition holds.
    pub(crate) hits: usize,
    /// Number of all cases.
    pub(crate) total: usize,
}

impl Share {
    /// Counts the cases for which `is_hit` holds.
    pub(crate) fn count<T>(cases: &[T], is_hit: impl Fn(&T) -> bool) -> Self {
        let hits = cases.iter().filter(|case| is_hit(case)).count();
        Self { hits, total: cases.len() }
    }

    /// Returns the share as a fraction; 0 when there are no cases.
    pub(crate) fn value(&self) -> f64 {
        self.hits as f64 / self.total.max(1) as f64
    }

    /// Formats the share with its 95% Wilson interval, in percent.
    pub(crate) fn format_percent(&self) -> String {
        let n = self.total as f64;
        let p = self.hits as f64 / n;
        let z2 = Z_95 * Z_95;
        let centre = (p + z2 / (2.0 * n)) / (1.0 + z2 / n);
        let half = Z_95 / (1.0 + z2 / n) * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
        let (low, high) = ((centre - half).max(0.0), (centre + half).min(1.0));
        format!("{:.1} ({:.1}-{:.1})", p * 100.0, low * 100.0, high * 100.0)
    }
}

/// Returns a quantile of the values, or `None` when there are none.
pub(crate) fn quantile(mut values: Vec<f64>, q: f64) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    let last = values.len().checked_sub(1)?;
    Some(values[(last as f64 * q).round() as usize])
}

/// Returns the mean with half the width of its 95% interval.
pub(crate) fn mean(values: &[f64]) -> Mean {
    let n = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    Mean { value: mean, half_width: Z_95 * (variance / n).sqrt() }
}

/// A mean with its 95% confidence interval.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Mean {
    /// The mean.
    pub(crate) value: f64,
    /// Half the width of the 95% interval.
    pub(crate) half_width: f64,
}

/// Returns the probability that a standard normal value exceeds `z`.
pub(crate) fn normal_tail(z: f64) -> f64 {
    // Abramowitz and Stegun 26.2.17.
    let t = 1.0 / (1.0 + 0.231_641_9 * z.abs());
    let poly = t
        * (0.319_381_530
            + t * (-0.356_563_782
                + t * (1.781_477_937 + t * (-1.821_255_978 + t * 1.330_274_429))));
    let tail = (-z * z / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt() * poly;
    if z >= 0.0 { tail } else { 1.0 - tail }
}

/// Returns the one-sided p-value of the two-proportion z-test of whether `hits` of
/// `run` is a higher share than `old_hits` of `old_run`.
pub(crate) fn two_proportion_p_value(hits: u64, run: u64, old_hits: u64, old_run: u64) -> f64 {
    if run == 0 || old_run == 0 {
        return 1.0;
    }
    let (n, m) = (run as f64, old_run as f64);
    let pooled = (hits + old_hits) as f64 / (n + m);
    let spread = (pooled * (1.0 - pooled) * (1.0 / n + 1.0 / m)).sqrt();
    if spread == 0.0 {
        return 1.0;
    }
    normal_tail((hits as f64 / n - old_hits as f64 / m) / spread)
}
