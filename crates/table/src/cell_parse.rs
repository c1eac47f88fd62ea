//! Reads the text of a cell to a value.

use {
    crate::fault_code::FaultCode,
    kernel::ZoneId,
    std::{collections::BTreeSet, ops::RangeInclusive, str::FromStr, sync::Arc, time::Duration},
};

/// The longest name, in bytes.
pub const MAX_NAME_LENGTH: usize = 128;
/// The longest duration that a cell may have: a week.
pub const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3600);
/// The characters of a faulty cell that a message repeats.
const MAX_QUOTE_LENGTH: usize = 40;

/// What is wrong with one cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellFault {
    /// The kind of fault.
    pub code: FaultCode,
    /// What the cell has, and what it should have.
    pub detail: String,
}

impl CellFault {
    /// A fault that quotes the start of the cell.
    pub fn quoting(code: FaultCode, text: &str) -> Self {
        Self {
            code,
            detail: quote(text),
        }
    }
}

/// Reads a duration with a unit, such as `480ms` or `2min`; over 0 and at most [`MAX_DURATION`].
///
/// # Errors
///
/// When the text is no duration, has no unit, or is out of range.
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

/// Reads a name: letters, digits and `.`, `_`, `-`, and the characters of `more`; it starts with a letter or a digit.
///
/// # Errors
///
/// When the text has other characters or is longer than [`MAX_NAME_LENGTH`].
pub fn parse_name(text: &str, more: &str) -> Result<Arc<str>, CellFault> {
    let fits = |letter: char| letter.is_ascii_alphanumeric() || "._-".contains(letter);
    let starts_well = text.starts_with(|letter: char| letter.is_ascii_alphanumeric());
    let reads_well = text
        .chars()
        .all(|letter| fits(letter) || more.contains(letter));
    if !starts_well || !reads_well || text.len() > MAX_NAME_LENGTH {
        return Err(CellFault::quoting(FaultCode::NameInvalid, text));
    }
    Ok(text.into())
}

/// Reads a number with decimals within a range; `decimal_comma` takes `0,5` for `0.5`.
///
/// # Errors
///
/// When the text is no finite number, or out of the range.
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
    // Adding zero turns a negative zero into a plain one.
    Ok(number + 0.0)
}

/// Reads yes or no, in the spellings that spreadsheets write.
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

/// Reads a whole number within a range.
///
/// # Errors
///
/// When the text is no whole number, or out of the range.
pub fn parse_whole(text: &str, range: RangeInclusive<u32>) -> Result<u32, CellFault> {
    let Ok(number) = i128::from_str(text) else {
        return Err(CellFault::quoting(FaultCode::NumberInvalid, text));
    };
    match u32::try_from(number) {
        Ok(number) if range.contains(&number) => Ok(number),
        _ => Err(out_of_range(text, &range)),
    }
}

/// Reads availability zones with spaces, `;` or `,` between them.
///
/// # Errors
///
/// When a zone's name is invalid, or a zone is there twice.
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

/// The start of a text between back quotes, without control characters.
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
