//! Sizes in bytes with units.

use {
    serde::{
        Deserializer, Serializer,
        de::{Error, Unexpected, Visitor},
    },
    serde_with::{DeserializeAs, SerializeAs},
    std::fmt,
};

const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Reads and writes a number of bytes with its unit: `512B`, `16KiB`, `1MiB` or `1GiB`.
#[derive(Debug)]
pub struct HumanSize;

impl<'de> DeserializeAs<'de, u64> for HumanSize {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        deserializer.deserialize_str(SizeVisitor)
    }
}

impl SerializeAs<u64> for HumanSize {
    fn serialize_as<S: Serializer>(size: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_size(*size))
    }
}

fn format_size(size: u64) -> String {
    for (unit, factor) in SIZE_UNITS {
        if size == 0 || !size.is_multiple_of(factor) {
            continue;
        }
        return format!("{}{unit}", size / factor);
    }
    format!("{size}B")
}

fn parse_size(text: &str) -> Option<u64> {
    for (unit, factor) in SIZE_UNITS {
        let Some(count) = text.strip_suffix(unit) else {
            continue;
        };
        return count.trim_end().parse::<u64>().ok()?.checked_mul(factor);
    }
    None
}

struct SizeVisitor;

impl Visitor<'_> for SizeVisitor {
    type Value = u64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a size such as `1MiB`")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u64, E> {
        parse_size(text).ok_or_else(|| E::invalid_value(Unexpected::Str(text), &self))
    }
}
