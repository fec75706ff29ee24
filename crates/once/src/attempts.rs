//! Number of a caller's earlier attempts with a key.

use std::{fmt, str::FromStr};

use thiserror::Error;

/// Number of attempts that a caller made with a key before the current one.
///
/// An attempt counts if any byte of it may have reached the host, whatever the response. The text
/// of the header is `owner=N, witness=N`. A caller that states too few attempts can get a false
/// `run: no` for its own request; other callers are not affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PriorAttempts {
    /// Number of earlier attempts sent to the owner's address.
    pub owner: u32,
    /// Number of earlier attempts sent to the witness's address.
    pub witness: u32,
}

/// Error from parsing the attempts header.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the attempts header is no `owner=N, witness=N`")]
pub struct AttemptsError;

impl PriorAttempts {
    /// No earlier attempt.
    pub const NONE: PriorAttempts = PriorAttempts {
        owner: 0,
        witness: 0,
    };

    /// Value for a caller that does not state its attempts: it may have tried both participants.
    pub const UNKNOWN: PriorAttempts = PriorAttempts {
        owner: u32::MAX,
        witness: u32::MAX,
    };
}

impl fmt::Display for PriorAttempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "owner={}, witness={}", self.owner, self.witness)
    }
}

impl FromStr for PriorAttempts {
    type Err = AttemptsError;

    fn from_str(text: &str) -> Result<PriorAttempts, AttemptsError> {
        let (owner, witness) = text.split_once(',').ok_or(AttemptsError)?;
        Ok(PriorAttempts {
            owner: parse_count(owner, "owner")?,
            witness: parse_count(witness, "witness")?,
        })
    }
}

fn parse_count(part: &str, name: &str) -> Result<u32, AttemptsError> {
    let (label, count) = part.trim().split_once('=').ok_or(AttemptsError)?;
    if label != name {
        return Err(AttemptsError);
    }
    count.parse().map_err(|_| AttemptsError)
}
