//! Parses the text of a cell.

use {
    crate::fault_code::FaultCode,
    kernel::ZoneId,
    std::{collections::BTreeSet, ops::RangeInclusive, str::FromStr, sync::Arc, time::Duration},
};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_LENGTH: usize = 128;
/// The maximum duration in a cell: one week.
pub const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3600);
/// How many characters of a faulty cell a message quotes.
const MAX_QUOTE_LENGTH: usize = 40;

/// A fault of one cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellFault {
    /// The kind of fault.
    pub code: FaultCode,
    /// The cell's content, and where it helps, the allowed range.
    pub detail: String,
}

impl CellFault {
    /// Creates a fault that quotes the start of the cell.
    pub fn quoting(code: FaultCode, text: &str) -> Self {
        Self {
            code,
            detail: quote(text),
        }
    }
}

/// Parses a duration with a unit, such as `480ms` or `2min`; greater than 0 and at most [`MAX_DURATION`].
///
/// # Errors
///
/// When the text is not a duration, has no unit, or is out of range.
pub fn parse_duration(text: &str) -> Result<Duration, CellFault> {
    let Ok(duration) = humantime::parse_duration(text) else {
        return Err(CellFault::quoting(FaultCode::DurationInvalid, text));
    };
    if duration.is_zero() || duration > MAX_DURATION {
        let detail = format!("{}, not over 0 and up to 168h", quote(text));
        return Err(CellFault {
            code: FaultCode::DurationRange,
            detail,
        });
    }
    Ok(duration)
}

/// Parses a name: letters, digits, `.`, `_`, `-` and the characters of `more`, starting with a letter or a digit.
///
/// # Errors
///
/// When the text has other characters or is longer than [`MAX_NAME_LENGTH`].
pub fn parse_name(text: &str, more: &str) -> Result<Arc<str>, CellFault> {
    let is_common = |letter: char| letter.is_ascii_alphanumeric() || "._-".contains(letter);
    let has_valid_start = text.starts_with(|letter: char| letter.is_ascii_alphanumeric());
    let has_valid_characters = text
        .chars()
        .all(|letter| is_common(letter) || more.contains(letter));
    if !has_valid_start || !has_valid_characters || text.len() > MAX_NAME_LENGTH {
        return Err(CellFault::quoting(FaultCode::NameInvalid, text));
    }
    Ok(text.into())
}

/// Parses a decimal number within a range; with `decimal_comma`, `0,5` is read as `0.5`.
///
/// # Errors
///
/// When the text is not a finite number, or is out of range.
pub fn parse_decimal(
    text: &str,
    range: RangeInclusive<f64>,
    decimal_comma: bool,
) -> Result<f64, CellFault> {
    let plain = match decimal_comma {
        true => text.replacen(',', ".", 1),
        false => text.to_owned(),
    };
    let number = match f64::from_str(&plain) {
        Ok(number) if number.is_finite() => number,
        _ => return Err(CellFault::quoting(FaultCode::NumberInvalid, text)),
    };
    if !range.contains(&number) {
        return Err(out_of_range(text, &range));
    }
    // Adding zero turns a negative zero into a positive one.
    Ok(number + 0.0)
}

/// Parses yes or no, or true or false as spreadsheets write it, in any letter case.
///
/// # Errors
///
/// When the text is neither.
pub fn parse_repeat(text: &str) -> Result<bool, CellFault> {
    match text.to_ascii_lowercase().as_str() {
        "false" | "no" => Ok(false),
        "true" | "yes" => Ok(true),
        _ => Err(CellFault::quoting(FaultCode::RepeatInvalid, text)),
    }
}

/// Parses a whole number within a range.
///
/// # Errors
///
/// When the text is not a whole number, or is out of range.
pub fn parse_whole(text: &str, range: RangeInclusive<u32>) -> Result<u32, CellFault> {
    let Ok(number) = i128::from_str(text) else {
        return Err(CellFault::quoting(FaultCode::NumberInvalid, text));
    };
    match u32::try_from(number) {
        Ok(number) if range.contains(&number) => Ok(number),
        _ => Err(out_of_range(text, &range)),
    }
}

/// Parses availability zones separated by white space, `;` or `,`.
///
/// # Errors
///
/// When a zone's name is invalid, or a zone is listed twice.
pub fn parse_zones(text: &str) -> Result<Vec<ZoneId>, CellFault> {
    let mut seen = BTreeSet::new();
    let mut zones = Vec::new();
    for word in text.split([' ', ';', ',', '\t', '\n']) {
        if word.is_empty() {
            continue;
        }
        let zone = parse_name(word, "")?;
        if !seen.insert(zone.clone()) {
            return Err(CellFault::quoting(FaultCode::ZoneTwice, word));
        }
        zones.push(zone);
    }
    Ok(zones)
}

/// Quotes the start of a text in backticks and escapes control characters.
pub fn quote(text: &str) -> String {
    let start: String = text.chars().take(MAX_QUOTE_LENGTH).collect();
    let rest = if start.len() < text.len() { "…" } else { "" };
    format!("`{}{rest}`", start.escape_debug())
}

fn out_of_range<T: std::fmt::Display>(text: &str, range: &RangeInclusive<T>) -> CellFault {
    CellFault {
        code: FaultCode::NumberRange,
        detail: format!(
            "{}, not from {} to {}",
            quote(text),
            range.start(),
            range.end()
        ),
    }
}
