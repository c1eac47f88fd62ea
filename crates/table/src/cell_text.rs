//! Formats the value of a cell for the file.

use {
    crate::{work_column::WorkColumn, work_row::WorkRow},
    std::time::Duration,
};

/// The units of durations in nanoseconds, largest first.
const UNITS: [(&str, u128); 6] = [
    ("h", 3_600_000_000_000),
    ("min", 60_000_000_000),
    ("s", 1_000_000_000),
    ("ms", 1_000_000),
    ("us", 1_000),
    ("ns", 1),
];

/// The canonical text of one cell of a row; empty for an unset value.
pub fn cell_text(row: &WorkRow, column: WorkColumn) -> String {
    match column {
        WorkColumn::BetweenTokens => optional_duration(row.between_tokens),
        WorkColumn::FirstToken => optional_duration(row.first_token),
        WorkColumn::Limit => row.limit.map(|limit| limit.to_string()).unwrap_or_default(),
        WorkColumn::Model => row.model.as_deref().unwrap_or_default().to_owned(),
        WorkColumn::Patience => duration_text(row.patience),
        WorkColumn::Rank => row.rank.to_string(),
        WorkColumn::Repeat => if row.repeat { "yes" } else { "no" }.to_owned(),
        WorkColumn::Retries => row.retries.to_string(),
        WorkColumn::Service => row.service.to_string(),
        WorkColumn::Waste => row.waste.to_string(),
        WorkColumn::Weight => row.weight.to_string(),
        WorkColumn::Work => row.work.to_string(),
        WorkColumn::Zones => row.zones.join(" "),
    }
}

/// Formats a duration as a whole number of the largest unit that divides it, such as `480ms` or `2min`.
pub fn duration_text(duration: Duration) -> String {
    let nanos = duration.as_nanos();
    for (unit, length) in UNITS {
        if nanos > 0 && nanos.is_multiple_of(length) {
            return format!("{}{unit}", nanos / length);
        }
    }
    "0s".to_owned()
}

fn optional_duration(duration: Option<Duration>) -> String {
    duration.map(duration_text).unwrap_or_default()
}
