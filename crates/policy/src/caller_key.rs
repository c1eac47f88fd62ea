//! Caller keys: secrets that are compared by keyed digests and never written out.

use {
    ring::{
        hmac,
        rand::{SecureRandom, SystemRandom},
    },
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Debug, Formatter},
        sync::Arc,
    },
};

/// The length of a digest and of its salt, bytes; that of a SHA-256 digest.
const LENGTH: usize = 32;

/// The key presented by a caller. It has no text form, so that it can't end up in a log line, an error or a message.
#[derive(Clone)]
pub struct CallerKey(Arc<[u8]>);

/// The secret salt of the digests in one declaration. Without it a digest reveals nothing about a key, not even about a
/// weak one.
#[derive(Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeySalt([u8; LENGTH]);

/// The HMAC-SHA-256 of a key under a [`KeySalt`].
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; LENGTH]);

/// Computes digests under one salt.
#[derive(Clone)]
pub struct KeyHasher {
    key: hmac::Key,
    salt: KeySalt,
}

impl CallerKey {
    /// Creates a key from the bytes that the caller sent.
    pub fn new(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }
}

impl KeySalt {
    /// Generates a salt; `None` when the system has no source of randomness.
    pub fn random() -> Option<Self> {
        let mut salt = [0; LENGTH];
        SystemRandom::new().fill(&mut salt).ok()?;
        Some(Self(salt))
    }
}

impl KeyHasher {
    /// Computes the digest of a key.
    pub fn digest(&self, key: &CallerKey) -> KeyDigest {
        let tag = hmac::sign(&self.key, &key.0);
        let mut digest = [0; LENGTH];
        digest.copy_from_slice(tag.as_ref());
        KeyDigest(digest)
    }

    /// Creates a hasher for one salt.
    pub fn new(salt: KeySalt) -> Self {
        Self {
            key: hmac::Key::new(hmac::HMAC_SHA256, &salt.0),
            salt,
        }
    }

    /// The salt of the digests, needed to compute the same ones elsewhere.
    pub fn salt(&self) -> KeySalt {
        self.salt
    }
}

impl Debug for CallerKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerKey")
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

impl Debug for KeyHasher {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHasher")
    }
}

impl Debug for KeySalt {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeySalt")
    }
}
