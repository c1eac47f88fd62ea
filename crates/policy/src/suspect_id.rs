//! Identifies what may have caused a crash: a request, across its retries, or a part that prompts share.

use {
    ring::digest::{Context, SHA256},
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Half of a SHA-256 digest, bytes: long enough to prevent collisions, and short in logs and rows.
const LENGTH: usize = 16;
/// The bit of the first byte that tells a part of prompts from a request.
const PART_BIT: u8 = 0x80;

/// Identifies a suspect across retries and instances. For a request it is a hash of what its caller sends: credentials,
/// method, host, target and body; other headers are excluded, since they differ between retries. For a part of prompts
/// it is a hash of the part's id.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SuspectId([u8; LENGTH]);

/// The content of a request that is hashed.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The complete body.
    pub body: &'a [u8],
    /// The credentials of the caller; empty without any. Another caller that sends the same content has another
    /// id, so that it is not quarantined because of this one.
    pub caller: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
}

impl SuspectId {
    /// The id of a request: the fingerprint of its content.
    pub fn request(content: &RequestContent<'_>) -> Self {
        let RequestContent {
            body,
            caller,
            host,
            method,
            target,
        } = content;
        let texts = [caller, method, host, target].map(|text| text.as_bytes());
        let mut id = Self::hash(texts.into_iter().chain([*body]));
        id.0[0] &= !PART_BIT;
        id
    }

    /// The id of a part that prompts share.
    pub fn prompt_part(part: &str) -> Self {
        let mut id = Self::hash([part.as_bytes()]);
        id.0[0] |= PART_BIT;
        id
    }

    /// Whether this is a part of prompts.
    pub fn is_prompt_part(&self) -> bool {
        self.0[0] & PART_BIT != 0
    }

    fn hash<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut context = Context::new(&SHA256);
        for field in fields {
            // The length prefix keeps different lists of fields from giving the same bytes.
            context.update(&(field.len() as u64).to_le_bytes());
            context.update(field);
        }
        let digest = context.finish();
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&digest.as_ref()[..LENGTH]);
        Self(bytes)
    }

    /// Parses the hexadecimal form written by `Display`; `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 2 * LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; LENGTH];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl Display for SuspectId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}
