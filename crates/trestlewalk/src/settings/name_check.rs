//! Checks the form of names.

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Returns what is wrong with a name; `None` when it is valid. Names are used in headers, paths, tickets and
/// certificates, which limits their length and characters.
pub fn name_fault(name: &str) -> Option<String> {
    if name.is_empty() {
        return Some("missing".to_owned());
    }
    if name.len() > MAX_NAME_BYTES {
        return Some(format!("longer than {MAX_NAME_BYTES} bytes"));
    }
    if !name.chars().all(is_name_char) {
        return Some(format!(
            "`{name}` may have letters, digits, `-`, `_` and `.` only"
        ));
    }
    None
}

fn is_name_char(char: char) -> bool {
    char.is_ascii_alphanumeric() || matches!(char, '-' | '_' | '.')
}
