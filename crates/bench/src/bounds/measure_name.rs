//! The measures that a bound may name.

use {
    crate::report::{ReportFigures, WasteFigures},
    serde::{Deserialize, Serialize},
};

/// One measure, by its name in the JSON report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MeasureName {
    /// See [`ReportFigures::between_tokens_p95_ms`].
    BetweenTokensP95Ms,
    /// See [`ReportFigures::broken`].
    Broken,
    /// See [`ReportFigures::first_token_p95_ms`].
    FirstTokenP95Ms,
    /// See [`ReportFigures::goodput_per_second`].
    GoodputPerSecond,
    /// See [`ReportFigures::goodput_share`].
    GoodputShare,
    /// See [`ReportFigures::lost`].
    Lost,
    /// See [`ReportFigures::refused`].
    Refused,
    /// See [`WasteFigures::caller_gone`]; of a whole policy only, as all measures of waste.
    WastedCallerGone,
    /// See [`WasteFigures::evicted`].
    WastedEvicted,
    /// See [`WasteFigures::no_place`].
    WastedNoPlace,
    /// See [`WasteFigures::total`].
    WastedPrefillShare,
    /// See [`WasteFigures::upstream_died`].
    WastedUpstreamDied,
}

impl MeasureName {
    /// The measure's figure; none if a single row has no such measure.
    pub fn figure(self, figures: &ReportFigures, waste: Option<&WasteFigures>) -> Option<f64> {
        Some(match self {
            Self::BetweenTokensP95Ms => figures.between_tokens_p95_ms,
            Self::Broken => figures.broken,
            Self::FirstTokenP95Ms => figures.first_token_p95_ms,
            Self::GoodputPerSecond => figures.goodput_per_second,
            Self::GoodputShare => figures.goodput_share,
            Self::Lost => figures.lost,
            Self::Refused => figures.refused,
            Self::WastedCallerGone => waste?.caller_gone,
            Self::WastedEvicted => waste?.evicted,
            Self::WastedNoPlace => waste?.no_place,
            Self::WastedPrefillShare => waste?.total(),
            Self::WastedUpstreamDied => waste?.upstream_died,
        })
    }

    /// The name in files and reports.
    pub fn text(self) -> &'static str {
        match self {
            Self::BetweenTokensP95Ms => "between_tokens_p95_ms",
            Self::Broken => "broken",
            Self::FirstTokenP95Ms => "first_token_p95_ms",
            Self::GoodputPerSecond => "goodput_per_second",
            Self::GoodputShare => "goodput_share",
            Self::Lost => "lost",
            Self::Refused => "refused",
            Self::WastedCallerGone => "wasted_caller_gone",
            Self::WastedEvicted => "wasted_evicted",
            Self::WastedNoPlace => "wasted_no_place",
            Self::WastedPrefillShare => "wasted_prefill_share",
            Self::WastedUpstreamDied => "wasted_upstream_died",
        }
    }
}
