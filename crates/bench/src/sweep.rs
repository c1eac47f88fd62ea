//! Curves over a setting, as CSV and SVG.

pub mod sweep_curve;
pub mod sweep_plot;
pub mod sweep_table;
