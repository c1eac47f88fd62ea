//! Names of upstreams.

/// Maximum length of a name, bytes: the keys of crash reports have room for a name and more.
const MAX_NAME_BYTES: usize = 128;

/// What is wrong with a name. Calls state the name in a header, and any upstream at the address would run a call whose
/// header states none, or another one.
pub fn name_fault(name: &str) -> Option<&'static str> {
    if name.is_empty() {
        return Some("the name is empty");
    }
    if name.len() > MAX_NAME_BYTES {
        return Some("the name is too long");
    }
    let is_valid = name.bytes().all(is_name_byte);
    (!is_valid).then_some("the name has a character other than letters, digits and -._~:")
}

/// Whether a byte means the same in a header, a path and a query.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~' | b':')
}
