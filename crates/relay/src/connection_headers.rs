//! Headers of HTTP that apply to one connection only.

use {
    http::{HeaderMap, HeaderName, header},
    std::time::Duration,
};

/// Those headers, and the ones that the HTTP library sets.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    KEEP_ALIVE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// States how long a server keeps an idle connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the headers that apply to one connection only.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(names) = value.to_str() else {
            continue;
        };
        for name in names.split(',') {
            if let Ok(name) = HeaderName::try_from(name.trim()) {
                kept.remove(name);
            }
        }
    }
    for name in &HOP_BY_HOP_HEADERS {
        kept.remove(name);
    }
    kept
}

/// How long a server keeps an idle connection, if it declares that.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Whether the connection is closed after the answer with these headers.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get_all(header::CONNECTION).iter().any(|value| {
        value
            .to_str()
            .is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    })
}

/// Whether a body is in a transfer coding other than chunks, which is not decoded.
pub fn has_unknown_transfer_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    codings.any(|coding| {
        !coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked")
    })
}
