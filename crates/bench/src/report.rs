//! What the bench prints.

mod policy_report;
mod report_figures;
mod report_text;
mod row_report;

pub use {
    policy_report::PolicyReport,
    report_figures::{ReportFigures, WasteFigures},
    report_text::report_text,
    row_report::RowReport,
};
