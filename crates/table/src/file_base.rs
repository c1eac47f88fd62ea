//! The version line of a table file.

use {
    kernel::{TableDigest, TableVersion},
    std::fmt,
};

/// The word that starts a version line.
const VERSION_KEYWORD: &str = "version";
/// The word before the digest.
const DIGEST_KEYWORD: &str = "digest";

/// The table version that a file was exported from: `# version 1764685438 digest 9f2c51d0a7b3e846`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FileBase {
    /// The hash of the rows at that version; `None` when the line was written by hand without one.
    pub digest: Option<TableDigest>,
    /// The version.
    pub version: TableVersion,
}

impl FileBase {
    /// Parses a comment line: `None` when it is another comment, `Some(Err)` when it is a malformed version line.
    pub fn from_comment(comment: &str) -> Option<Result<Self, ()>> {
        let comment = comment.trim_start_matches('#').trim();
        let mut words = comment.split_whitespace();
        if words.next() != Some(VERSION_KEYWORD) {
            return None;
        }
        Some(Self::from_words(words).ok_or(()))
    }

    fn from_words<'a>(mut words: impl Iterator<Item = &'a str>) -> Option<Self> {
        let version = words.next()?.parse().ok()?;
        let Some(keyword) = words.next() else {
            return Some(Self {
                digest: None,
                version,
            });
        };
        if keyword != DIGEST_KEYWORD {
            return None;
        }
        let digest = TableDigest::from_str_radix(words.next()?, 16).ok()?;
        if words.next().is_some() {
            return None;
        }
        Some(Self {
            digest: Some(digest),
            version,
        })
    }
}

impl fmt::Display for FileBase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "# {VERSION_KEYWORD} {}", self.version)?;
        let Some(digest) = self.digest else {
            return Ok(());
        };
        write!(formatter, " {DIGEST_KEYWORD} {digest:016x}")
    }
}
