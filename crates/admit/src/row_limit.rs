//! The part of a row's limit that one cell may use.

/// Compensates for floating-point error, so that one third of 3 is not rounded down.
const ROUNDING: f64 = 1e-9;

/// How many requests of a row may run at once in a cell with a share of the limit.
///
/// The result is rounded down, so the parts of all cells never exceed the limit. A cell whose part is below one runs
/// nothing of the row. [`CellPlan::limit_share`](crate::CellPlan) distributes whole numbers without a remainder, so
/// that every row with a limit of at least one can run in some cell.
pub(crate) fn cell_limit(limit: u32, share: f64) -> u32 {
    (f64::from(limit) * share.clamp(0.0, 1.0) + ROUNDING).floor() as u32
}
