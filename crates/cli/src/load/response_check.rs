//! Checks that a response belongs to the request it was returned for.

use serde::Deserialize;

use crate::caller::{CallRequest, TargetResponse};

/// Result of checking a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseCheck {
    /// The response belongs to the request.
    Matching,
    /// The response belongs to another request.
    Mismatched,
    /// The target returned an error.
    Error,
}

/// Fields that fake targets echo in their responses; other targets return nothing to check.
#[derive(Deserialize)]
struct Echo<'a> {
    path: &'a str,
    key: &'a str,
}

/// Compares a response with its request.
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
