//! Whether an answer is the whole answer to the caller's own request.

use serde::Deserialize;

use crate::caller::{CallRequest, TargetResponse};

/// What an answer is to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseCheck {
    /// The answer to this request.
    Matching,
    /// The answer to another request.
    Mismatched,
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
pub(crate) fn check(request: &CallRequest, answered: &TargetResponse) -> ResponseCheck {
    if !answered.status.is_success() {
        return ResponseCheck::Error;
    }
    let Ok(echo) = serde_json::from_slice::<Echo<'_>>(&answered.body) else {
        return ResponseCheck::Matching;
    };
    let key = answered.key.as_deref().unwrap_or_default();
    match echo.path == &*request.path && echo.key == key {
        true => ResponseCheck::Matching,
        false => ResponseCheck::Mismatched,
    }
}
