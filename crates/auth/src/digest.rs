//! Digests of keys.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a key. Two digests are compared in constant time.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// Parses a digest of 64 hexadecimal digits; `None` if the text is none.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<KeyDigest> {
        let mut bytes = [0; DIGEST_BYTES];
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return None;
        }
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = text.get(2 * at..2 * at + 2)?;
            let is_hex = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
            *byte = u8::from_str_radix(digits, 16).ok().filter(|_| is_hex)?;
        }
        Some(KeyDigest(bytes))
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// Does not show the digest, so that no log line or error contains it.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("KeyDigest")
    }
}
