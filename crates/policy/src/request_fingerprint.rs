//! What two tries of one request have in common.

use {
    ring::digest::{Context, SHA256},
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// Half of the digest: nobody finds two contents with the same one, and it is short in logs and rows.
const LENGTH: usize = 16;

/// Names a request by what its caller sends, whichever try it is and wherever it arrives: its credentials, the
/// method, the host, the target and the body. Other headers are left out, since each try has others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestFingerprint([u8; LENGTH]);

/// What a fingerprint is made of.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'a> {
    /// The body.
    pub body: &'a [u8],
    /// The credentials of who sends it; empty without any. Others who send the same are not held responsible for it.
    pub caller: &'a str,
    /// The host that is asked.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
}

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn new(parts: &FingerprintParts<'_>) -> Self {
        let texts = [parts.caller, parts.method, parts.host, parts.target];
        let mut context = Context::new(&SHA256);
        for part in texts.map(str::as_bytes).into_iter().chain([parts.body]) {
            // The length goes first, so that no two lists of parts give the same bytes.
            context.update(&(part.len() as u64).to_le_bytes());
            context.update(part);
        }
        let digest = context.finish();
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&digest.as_ref()[..LENGTH]);
        Self(bytes)
    }

    /// The fingerprint that a text names; none when it names none.
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

impl Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}
