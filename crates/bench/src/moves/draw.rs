//! Draws from the random distributions that the simulation uses.

use rand::{RngExt, rngs::StdRng};

/// Draws a value between `low` and `high` whose logarithm is uniformly distributed.
pub(super) fn log_uniform(rng: &mut StdRng, low: f64, high: f64) -> f64 {
    rng.random_range(low.ln()..high.ln()).exp()
}

/// Draws from the standard normal distribution.
pub(super) fn normal(rng: &mut StdRng) -> f64 {
    let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let v: f64 = rng.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * u.ln()).sqrt() * v.cos()
}

/// Draws from a Poisson distribution; approximates it by a normal distribution for
/// a mean above 30.
pub(super) fn poisson(rng: &mut StdRng, mean: f64) -> u64 {
    if mean > 30.0 {
        return (mean + mean.sqrt() * normal(rng)).round().max(0.0) as u64;
    }
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
