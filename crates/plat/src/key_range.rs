//! Ranges of keys.

/// Maximum length of a key, and so of the ends of a range, bytes.
const MAX_KEY_BYTES: usize = 200;

/// Keys in ascending byte order, whatever characters they hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRange {
    /// The first key.
    pub from: String,
    /// The first key after the range; `None` for all keys from `from` on.
    pub to: Option<String>,
}

impl KeyRange {
    /// All keys.
    pub fn all() -> Self {
        Self {
            from: String::new(),
            to: None,
        }
    }

    /// One key.
    pub fn one(key: &str) -> Self {
        Self {
            from: key.to_owned(),
            to: next_key(key),
        }
    }

    /// The keys from `first` up to the last one that starts with `prefix`.
    pub fn up_to(first: &str, prefix: &str) -> Self {
        Self {
            from: first.to_owned(),
            to: next_prefix(prefix),
        }
    }

    /// The keys that start with a prefix.
    pub fn with_prefix(prefix: &str) -> Self {
        Self::up_to(prefix, prefix)
    }

    /// The part of the range after a key; `None` if it is empty.
    pub fn after(&self, key: &str) -> Option<Self> {
        let from = next_key(key)?;
        let is_empty = self.to.as_ref().is_some_and(|to| from >= *to);
        (!is_empty).then(|| Self {
            from,
            to: self.to.clone(),
        })
    }
}

/// The first key after `key`; `None` if there is none.
fn next_key(key: &str) -> Option<String> {
    match key.len() < MAX_KEY_BYTES {
        true => Some(format!("{key}\0")),
        false => next_prefix(key),
    }
}

/// The first key after all that start with `prefix`; `None` if there is none.
fn next_prefix(prefix: &str) -> Option<String> {
    let mut text = prefix.to_owned();
    while let Some(last) = text.pop() {
        let next = (last..=char::MAX).nth(1);
        if let Some(next) = next
            && text.len() + next.len_utf8() <= MAX_KEY_BYTES
        {
            text.push(next);
            return Some(text);
        }
    }
    None
}
