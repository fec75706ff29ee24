//! Hash that identifies a piece by its content.

use std::fmt;

use sha2::{Digest, Sha256};

/// The first 20 bytes of the SHA-256 of a piece.
///
/// Finding two pieces with the same hash takes about 2^80 attempts. The full 32 bytes would add 0.6
/// KB to each transfer of a changed service (index pieces are mostly hashes).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hash([u8; Hash::LEN]);

impl Hash {
    /// Length in bytes.
    pub const LEN: usize = 20;

    /// Computes the hash of a piece.
    pub fn of(bytes: &[u8]) -> Self {
        let full = Sha256::digest(bytes);
        let mut hash = [0; Self::LEN];
        hash.copy_from_slice(&full[..Self::LEN]);
        Self(hash)
    }

    /// Returns a hash from its bytes; `None` if the length is wrong.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Parses the output of `Display`.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != Self::LEN * 2 || !text.is_ascii() {
            return None;
        }
        let mut hash = [0; Self::LEN];
        for (byte, digits) in hash.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).ok()?;
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(Self(hash))
    }

    /// Returns the bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the bytes as a vector, as used in messages.
    pub fn to_vec(self) -> Vec<u8> {
        self.0.to_vec()
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Enough to distinguish pieces in a log or a failed test.
        self.0[..6]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
