//! What control costs a node: slopes of processor time, memory and bytes against the sizes that grow.

pub mod grant_slope;
pub mod line_fit;
pub mod link_slope;
pub mod member_fleet;
pub mod member_slope;
pub mod node_report;
pub mod process_usage;
pub mod table_slope;

pub use {
    line_fit::LineFit,
    node_report::{NodeReport, SlopePoint, SlopeSeries},
    process_usage::ProcessUsage,
};
