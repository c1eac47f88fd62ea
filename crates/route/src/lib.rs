//! Which replica: prefix cache, load with lag, links, leaving. Pure: no I/O, no clock.

pub mod load_report;
pub mod upstream_info;

pub use {
    load_report::LoadReport,
    upstream_info::{UpstreamInfo, UpstreamRole},
};
