//! Curves as CSV.

use crate::sweep::sweep_curve::SweepCurve;

/// All points of all curves, with a header line.
pub fn sweep_table(setting: &str, curves: &[SweepCurve]) -> String {
    let mut lines = vec![format!(
        "policy,{setting},goodput_share,goodput_share_spread,goodput_per_second,wasted_prefill_share,refused,lost,first_token_p95_ms,between_tokens_p95_ms"
    )];
    for curve in curves {
        for point in &curve.points {
            let mean = point.report.mean();
            lines.push(format!(
                "{},{},{:.4},{:.4},{:.3},{:.4},{:.1},{:.1},{:.1},{:.2}",
                curve.policy.text(),
                point.setting,
                mean.goodput_share,
                point.report.goodput_spread(),
                mean.goodput_per_second,
                point.report.mean_waste().total(),
                mean.refused,
                mean.lost,
                mean.first_token_p95_ms,
                mean.between_tokens_p95_ms,
            ));
        }
    }
    lines.push(String::new());
    lines.join("\n")
}
