//! The header that names the kind of work of a request.

use {
    http::{HeaderMap, HeaderName},
    kernel::WorkId,
};

/// Names the kind of work and thereby the row of the table.
pub const WORK_HEADER: HeaderName = HeaderName::from_static("trestlewalk-work");

/// Returns the kind of work that the headers name, or else the default.
pub fn work_from_headers(headers: &HeaderMap, default: Option<&WorkId>) -> Option<WorkId> {
    let named = headers
        .get(WORK_HEADER)
        .and_then(|value| value.to_str().ok());
    match named {
        Some(name) => Some(name.trim().into()),
        None => default.cloned(),
    }
}
