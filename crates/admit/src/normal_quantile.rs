//! The quantile function of the normal distribution.

/// The largest absolute value returned, in standard deviations.
const MAX_DEVIATIONS: f64 = 4.0;

/// The quantile of the standard normal distribution for `probability`. Uses the rational approximation 26.2.23 of
/// Abramowitz and Stegun, whose error is below 0.00045.
pub fn normal_quantile(probability: f64) -> f64 {
    let tail = probability.min(1.0 - probability);
    if tail <= 0.0 {
        return MAX_DEVIATIONS.copysign(probability - 0.5);
    }
    let t = (-2.0 * tail.ln()).sqrt();
    let upper = 2.515_517 + t * (0.802_853 + t * 0.010_328);
    let lower = 1.0 + t * (1.432_788 + t * (0.189_269 + t * 0.001_308));
    (t - upper / lower)
        .min(MAX_DEVIATIONS)
        .copysign(probability - 0.5)
}
