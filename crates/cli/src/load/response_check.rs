//! Whether an answer is the whole answer to the caller's own request.

use serde::Deserialize;

use crate::caller::{Answered, Ask};

/// What an answer is to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The answer to this request.
    Right,
    /// The answer to another request.
    Wrong,
    /// An error of the target.
    Error,
}

/// What stand-in targets say in their answers; other targets say nothing that could be checked.
#[derive(Deserialize)]
struct Echo<'a> {
    path: &'a str,
    key: &'a str,
}

/// Compares an answer with the request that it was given to.
pub(crate) fn check(ask: &Ask, answered: &Answered) -> Verdict {
    if !answered.status.is_success() {
        return Verdict::Error;
    }
    let Ok(echo) = serde_json::from_slice::<Echo<'_>>(&answered.body) else {
        return Verdict::Right;
    };
    let key = answered.key.as_deref().unwrap_or_default();
    match echo.path == &*ask.path && echo.key == key {
        true => Verdict::Right,
        false => Verdict::Wrong,
    }
}
