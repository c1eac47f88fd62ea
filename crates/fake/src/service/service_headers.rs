//! Headers that a plain service's stand-in reads and sends.

/// Requests a body of this many bytes instead of the JSON response.
pub const ANSWER_SIZE_HEADER: &str = "x-answer-size";
/// With any value, the request body is echoed as it arrives.
pub const ECHO_HEADER: &str = "x-echo";
/// Set to `no` on a refusal: the request did not run.
pub const RAN_HEADER: &str = "x-ran";
/// Identifies a request across its retries; takes precedence over `X-Request-Id` in the counters.
pub const RUN_KEY_HEADER: &str = "x-run-key";
