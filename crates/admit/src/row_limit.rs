//! What part of a row's limit one cell may use.

/// Keeps a share like one third of 3 from being rounded down.
const ROUNDING: f64 = 1e-9;

/// How many requests of a row may run at once in a cell with a share of the limit.
///
/// The share is rounded down, so that the shares of all cells never sum to more than the limit. A cell whose part is
/// under one runs nothing of the row: [`CellPlan::limit_share`](crate::CellPlan) hands out the whole numbers so that
/// nothing of the limit is left over, and gives every row with a limit of at least one a cell where it goes on.
pub(crate) fn cell_limit(limit: u32, share: f64) -> u32 {
    (f64::from(limit) * share.clamp(0.0, 1.0) + ROUNDING).floor() as u32
}
