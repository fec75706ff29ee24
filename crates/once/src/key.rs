//! Keys of requests that may not be repeated.

use std::{fmt, str::FromStr, sync::Arc};

use thiserror::Error;

/// Longest nonce, in bytes. A UUID has 36; the rest is room for a caller's own prefix.
pub const MAX_NONCE_BYTES: usize = 64;

/// Most digits of a number in a key: those of `u64::MAX`.
const MAX_DIGITS: usize = 20;

/// One side of a key: an incarnation of a host, and an epoch of that incarnation's ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Participant {
    /// Incarnation of the host's process. A host that restarts has another.
    pub incarnation: u64,
    /// Epoch of its ledger at the look-up that gave the binding.
    pub epoch: u64,
}

/// Key of a request: the binding that a look-up gave, and a nonce of the caller's.
///
/// Its text is `<owner incarnation>.<owner epoch>.<witness incarnation>.<witness epoch>.<nonce>`,
/// in decimal without leading zeros, so that each key has exactly one text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Hash of the nonce. It comes first so that nearly every comparison in an ordered map ends
    /// here, without reading the nonces.
    hash: u64,
    /// The side that callers turn to first.
    pub owner: Participant,
    /// The side that grants the owner the run, or takes it. The owner itself where no other host
    /// is there to be one.
    pub witness: Participant,
    /// The caller's nonce: 1 to [`MAX_NONCE_BYTES`] letters, digits, `-` and `_`.
    nonce: Arc<str>,
}

/// Why a text is no key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// It has fewer than five parts.
    #[error("the key has {0} parts: give the look-up's binding, a dot and a nonce")]
    Parts(usize),
    /// A number of the binding is not one.
    #[error("part {0} of the key is no number: use the binding as the look-up gave it")]
    Number(usize),
    /// The nonce is empty or too long.
    #[error("the key's nonce has {0} bytes: use 1 to {MAX_NONCE_BYTES}")]
    Length(usize),
    /// The nonce has a character that it may not have.
    #[error("the key's nonce has {0:?}: use letters, digits, `-` and `_`")]
    Character(char),
}

impl Key {
    /// Makes a key from a binding and a nonce.
    ///
    /// # Errors
    ///
    /// When the nonce is empty, too long or has a character outside letters, digits, `-` and `_`.
    pub fn bind(owner: Participant, witness: Participant, nonce: &str) -> Result<Key, KeyError> {
        if nonce.is_empty() || nonce.len() > MAX_NONCE_BYTES {
            return Err(KeyError::Length(nonce.len()));
        }
        let wrong = |c: &char| !(c.is_ascii_alphanumeric() || *c == '-' || *c == '_');
        if let Some(c) = nonce.chars().find(wrong) {
            return Err(KeyError::Character(c));
        }
        Ok(Key {
            hash: hash(nonce),
            owner,
            witness,
            nonce: nonce.into(),
        })
    }

    /// The caller's nonce.
    #[must_use]
    pub fn nonce(&self) -> &str {
        &self.nonce
    }

    /// Whether the owner is its own witness.
    #[must_use]
    pub fn is_single_host(&self) -> bool {
        self.owner.incarnation == self.witness.incarnation
    }

    /// Text of the binding alone: what a look-up gives, and a key's prefix before the last dot.
    #[must_use]
    pub fn binding(owner: Participant, witness: Participant) -> String {
        format!("{owner}.{witness}")
    }
}

impl fmt::Display for Participant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.epoch)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.owner, self.witness, self.nonce)
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Key, KeyError> {
        let mut parts = text.splitn(5, '.');
        let mut number = |at| {
            let part = parts.next().ok_or(KeyError::Parts(at - 1))?;
            parse_number(part).ok_or(KeyError::Number(at))
        };
        let owner = Participant {
            incarnation: number(1)?,
            epoch: number(2)?,
        };
        let witness = Participant {
            incarnation: number(3)?,
            epoch: number(4)?,
        };
        let nonce = parts.next().ok_or(KeyError::Parts(4))?;
        Key::bind(owner, witness, nonce)
    }
}

/// FNV-1a, 64 bits. Nonces chosen to collide make comparisons slower, and nothing else.
fn hash(nonce: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
    nonce.bytes().fold(0xCBF2_9CE4_8422_2325, step)
}

/// Parses a decimal number in its one canonical form: no sign, no leading zero.
fn parse_number(part: &str) -> Option<u64> {
    let digits = part.len() <= MAX_DIGITS && part.bytes().all(|b| b.is_ascii_digit());
    let canonical = part == "0" || !part.starts_with('0');
    (digits && canonical).then(|| part.parse().ok())?
}
