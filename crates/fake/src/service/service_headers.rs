//! The headers that a plain service's stand-in knows.

/// Asks for an answer of so many bytes in place of the JSON one.
pub const ANSWER_SIZE_HEADER: &str = "x-answer-size";
/// With any value, the request's body is sent back as it comes.
pub const ECHO_HEADER: &str = "x-echo";
/// `no` on a refusal: the request did not run.
pub const RAN_HEADER: &str = "x-ran";
/// Names the work of a request among its retries; it goes before `X-Request-Id` in the counts.
pub const RUN_KEY_HEADER: &str = "x-run-key";
