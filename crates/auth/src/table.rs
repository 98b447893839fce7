//! Lookup of the holder of a key.

use std::collections::HashMap;

use crate::KeyDigest;

/// Holders of keys, by the digest of the key. The time of a lookup depends on neither the key nor
/// the number of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyTable<T> {
    holders: HashMap<KeyDigest, T>,
}

impl<T> KeyTable<T> {
    /// Adds a key. If the key has a holder, that one keeps it, and false is returned.
    pub fn insert(&mut self, key: KeyDigest, holder: T) -> bool {
        if self.holders.contains_key(&key) {
            return false;
        }
        self.holders.insert(key, holder);
        true
    }

    /// Returns the holder of a key; `None` if nobody holds it.
    #[must_use]
    pub fn holder(&self, key: KeyDigest) -> Option<&T> {
        self.holders.get(&key)
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}

impl<T> Default for KeyTable<T> {
    fn default() -> KeyTable<T> {
        KeyTable {
            holders: HashMap::new(),
        }
    }
}
