//! Keys of callers: secrets that are compared by keyed digests and written nowhere.

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

/// The length of a digest and of its salt, bytes: that of SHA-256.
const LENGTH: usize = 32;

/// The key that a caller shows. It has no text form, so that it gets into no log line, error or message.
#[derive(Clone)]
pub struct CallerKey(Arc<[u8]>);

/// What digests of one declaration are keyed with: without it a digest tells nothing of a key, also of a weak one.
#[derive(Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeySalt([u8; LENGTH]);

/// The keyed digest of a key, HMAC-SHA-256.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; LENGTH]);

/// Works digests out for one salt.
#[derive(Clone)]
pub struct KeyHasher {
    key: hmac::Key,
    salt: KeySalt,
}

impl CallerKey {
    /// The key with these bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }
}

impl KeySalt {
    /// A salt that nobody can guess; none when the system has no randomness.
    pub fn random() -> Option<Self> {
        let mut salt = [0; LENGTH];
        SystemRandom::new().fill(&mut salt).ok()?;
        Some(Self(salt))
    }
}

impl KeyHasher {
    /// The digest of a key.
    pub fn digest(&self, key: &CallerKey) -> KeyDigest {
        let tag = hmac::sign(&self.key, &key.0);
        let mut digest = [0; LENGTH];
        digest.copy_from_slice(tag.as_ref());
        KeyDigest(digest)
    }

    /// A hasher with a salt.
    pub fn new(salt: KeySalt) -> Self {
        Self {
            key: hmac::Key::new(hmac::HMAC_SHA256, &salt.0),
            salt,
        }
    }

    /// The salt.
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
