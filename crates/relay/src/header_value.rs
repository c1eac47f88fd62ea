//! Values of single headers.

use {
    crate::{HeadFault, upstream_dialect::HeaderSnafu},
    http::{HeaderMap, HeaderName},
};

/// Builds the error for an invalid header.
pub fn header_fault<T>(fault: &'static str, name: &'static str) -> Result<T, HeadFault> {
    HeaderSnafu { fault, name }.fail()
}

/// Parses a header with a number of 0 or more; the fraction is dropped.
pub fn number_value(
    headers: &HeaderMap,
    name: &HeaderName,
    shown: &'static str,
) -> Result<Option<u64>, HeadFault> {
    let Some(text) = single_value(headers, name, shown)? else {
        return Ok(None);
    };
    match text.trim().parse::<f64>() {
        Ok(number) if number >= 0.0 => Ok(Some(number as u64)),
        _ => header_fault("not a number", shown),
    }
}

/// Value of a header that may occur at most once.
pub fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    shown: &'static str,
) -> Result<Option<&'a str>, HeadFault> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return header_fault("given twice", shown);
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => header_fault("not a text", shown),
    }
}
