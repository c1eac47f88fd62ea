//! The header by which a request names its kind of work.

use {
    http::{HeaderMap, HeaderName},
    kernel::WorkId,
};

/// Names the row of the table.
pub const WORK_HEADER: HeaderName = HeaderName::from_static("trestlewalk-work");

/// The kind of work that the headers name, or else the default.
pub fn work_from_headers(headers: &HeaderMap, default: Option<&WorkId>) -> Option<WorkId> {
    let named = headers
        .get(WORK_HEADER)
        .and_then(|value| value.to_str().ok());
    match named {
        Some(name) => Some(name.trim().into()),
        None => default.cloned(),
    }
}
