//! Reads one field of a JSON object on its own, so that its content makes nothing else unreadable.

use {
    serde_json::value::RawValue,
    std::{borrow::Cow, collections::BTreeMap},
};

/// The whole number from 0 to 2^64 - 1 in a field of a JSON object; `None` if the field is missing or has other content.
pub fn number_field(content: &[u8], field: &str) -> Option<u64> {
    let fields: BTreeMap<Cow<'_, str>, &RawValue> = serde_json::from_slice(content).ok()?;
    fields.get(field)?.get().parse().ok()
}
