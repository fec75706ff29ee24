//! The name of a piece: a hash of its bytes.

use std::fmt;

use sha2::{Digest, Sha256};

/// First 20 bytes of the SHA-256 of a piece.
///
/// Two pieces with one hash would take about 2^80 tries to make. The full 32 bytes would cost a
/// changed service 0.6 KB more on its way to each host (index pieces are mostly hashes).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hash([u8; Hash::LEN]);

impl Hash {
    /// Length in bytes.
    pub const LEN: usize = 20;

    /// Hashes the bytes of a piece.
    pub fn of(bytes: &[u8]) -> Self {
        let full = Sha256::digest(bytes);
        let mut hash = [0; Self::LEN];
        hash.copy_from_slice(&full[..Self::LEN]);
        Self(hash)
    }

    /// Reads a hash from its bytes; `None` where their number is wrong.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Reads the text of `Display`.
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

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// The bytes, as messages carry them.
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
        // Enough to tell pieces apart in a log or a failed test.
        self.0[..6]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
