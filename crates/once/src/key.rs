//! Idempotency keys of requests that run at most once.

use std::{fmt, str::FromStr, sync::Arc};

use thiserror::Error;

/// Maximum length of a nonce in bytes. A UUID takes 36; the rest leaves space for a caller's
/// prefix.
pub const MAX_NONCE_BYTES: usize = 64;

/// Maximum number of digits of a number in a key: the digits of `u64::MAX`.
const MAX_DIGITS: usize = 20;

/// Owner or witness of a key: an incarnation of a host, and an epoch of its ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Participant {
    /// Incarnation of the host's process. It changes when the host restarts.
    pub incarnation: u64,
    /// Epoch of the incarnation's ledger when the look-up returned the binding.
    pub epoch: u64,
}

/// Idempotency key of a request: the binding returned by a look-up, and the caller's nonce.
///
/// Its text is `<owner incarnation>.<owner epoch>.<witness incarnation>.<witness epoch>.<nonce>`,
/// in decimal without leading zeros, so each key has exactly one text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Hash of the nonce. It is the first field so that nearly every comparison in an ordered map
    /// ends here, without reading the nonces.
    hash: u64,
    /// Participant that callers try first.
    pub owner: Participant,
    /// Participant that grants the owner the claim, or runs the request itself. It is the owner
    /// where no other host is available.
    pub witness: Participant,
    /// Nonce of the caller: 1 to [`MAX_NONCE_BYTES`] letters, digits, `-` and `_`.
    nonce: Arc<str>,
}

/// Error from parsing or building a key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text has fewer than five parts.
    #[error("the key has {0} parts: give the look-up's binding, a dot and a nonce")]
    Parts(usize),
    /// A part of the binding is not a decimal number in canonical form.
    #[error("part {0} of the key is no number: use the binding as the look-up gave it")]
    Number(usize),
    /// The nonce is empty or too long.
    #[error("the key's nonce has {0} bytes: use 1 to {MAX_NONCE_BYTES}")]
    Length(usize),
    /// The nonce has a character outside letters, digits, `-` and `_`.
    #[error("the key's nonce has {0:?}: use letters, digits, `-` and `_`")]
    Character(char),
}

impl Key {
    /// Builds a key from a binding and a nonce.
    ///
    /// # Errors
    ///
    /// Returns an error if the nonce is empty, longer than [`MAX_NONCE_BYTES`] or has a character
    /// outside letters, digits, `-` and `_`.
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

    /// Returns the caller's nonce.
    #[must_use]
    pub fn nonce(&self) -> &str {
        &self.nonce
    }

    /// Returns whether the owner is its own witness.
    #[must_use]
    pub fn is_single_host(&self) -> bool {
        self.owner.incarnation == self.witness.incarnation
    }

    /// Returns the text of a binding: what a look-up returns, and a key's prefix before the last
    /// dot.
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

/// Computes the 64-bit FNV-1a hash of a nonce. Colliding nonces only make comparisons slower.
fn hash(nonce: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
    nonce.bytes().fold(0xCBF2_9CE4_8422_2325, step)
}

/// Parses a decimal number in canonical form: no sign, no leading zero.
fn parse_number(part: &str) -> Option<u64> {
    let digits = part.len() <= MAX_DIGITS && part.bytes().all(|b| b.is_ascii_digit());
    let canonical = part == "0" || !part.starts_with('0');
    (digits && canonical).then(|| part.parse().ok())?
}
