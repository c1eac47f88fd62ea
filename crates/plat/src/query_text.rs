//! Text in the path or the query of a URI.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// The characters that are percent-encoded.
const ESCAPED: AsciiSet = NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Percent-encodes a text, so that it is one segment of a path or one value of a query, whatever characters it has.
pub fn escape(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, &ESCAPED)
}
