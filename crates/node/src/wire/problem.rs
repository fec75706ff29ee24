//! Error answers to callers: RFC 9457 with the field `run`.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::api::{Problem, Run};
use http_body_util::Full;
use viz::{Body, Response, StatusCode, header};

use crate::clock::millis;

/// Kinds of error answers. Each has one status and one title.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request is malformed.
    Malformed,
    /// The service is not in the configuration.
    UnknownService,
    /// The body is over the limit.
    TooLarge,
    /// The body took too long to arrive.
    TooSlow,
    /// The request could not be answered within its deadline, and was turned away.
    Overloaded,
    /// This host is not ready: it holds no configuration yet, or has not caught up after a pause.
    NotReady,
    /// No target may take the request now.
    Unavailable,
    /// The request has made targets crash and is refused.
    Quarantined,
    /// The deadline passed after the request may have been sent.
    DeadlinePassed,
    /// A target broke off.
    TargetFailed,
    /// The key is not one that may run.
    KeyRefused,
    /// The key is another caller's, or another request's.
    KeyMismatch,
    /// The key has run and its answer is no longer held.
    AnswerGone,
    /// The request needs a key.
    KeyMissing,
    /// A target's answer was over the limit.
    AnswerTooLarge,
}

/// All kinds, to find one by its name.
const ALL_KINDS: [ProblemKind; 15] = [
    ProblemKind::Malformed,
    ProblemKind::UnknownService,
    ProblemKind::TooLarge,
    ProblemKind::TooSlow,
    ProblemKind::Overloaded,
    ProblemKind::NotReady,
    ProblemKind::Unavailable,
    ProblemKind::Quarantined,
    ProblemKind::DeadlinePassed,
    ProblemKind::TargetFailed,
    ProblemKind::KeyRefused,
    ProblemKind::KeyMismatch,
    ProblemKind::AnswerGone,
    ProblemKind::KeyMissing,
    ProblemKind::AnswerTooLarge,
];

impl ProblemKind {
    /// Name of the kind, the last part of its URI.
    pub fn name(self) -> &'static str {
        self.parts().1
    }

    /// The kind of this name.
    pub fn from_name(name: &str) -> Option<ProblemKind> {
        ALL_KINDS.into_iter().find(|kind| kind.name() == name)
    }

    fn parts(self) -> (StatusCode, &'static str, &'static str) {
        match self {
            ProblemKind::Malformed => (StatusCode::BAD_REQUEST, "malformed", "malformed request"),
            ProblemKind::UnknownService => {
                (StatusCode::NOT_FOUND, "unknown-service", "unknown service")
            }
            ProblemKind::TooLarge => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-large",
                "request too large",
            ),
            ProblemKind::TooSlow => (
                StatusCode::REQUEST_TIMEOUT,
                "too-slow",
                "request took too long to arrive",
            ),
            ProblemKind::Overloaded => {
                (StatusCode::SERVICE_UNAVAILABLE, "overloaded", "turned away")
            }
            ProblemKind::NotReady => (
                StatusCode::SERVICE_UNAVAILABLE,
                "not-ready",
                "host not ready",
            ),
            ProblemKind::Unavailable => (
                StatusCode::SERVICE_UNAVAILABLE,
                "unavailable",
                "no target available",
            ),
            ProblemKind::Quarantined => (
                StatusCode::FORBIDDEN,
                "quarantined",
                "request crashes targets",
            ),
            ProblemKind::DeadlinePassed => {
                (StatusCode::GATEWAY_TIMEOUT, "deadline", "deadline passed")
            }
            ProblemKind::TargetFailed => {
                (StatusCode::BAD_GATEWAY, "target-failed", "target failed")
            }
            ProblemKind::KeyRefused => {
                (StatusCode::CONFLICT, "key-refused", "key can no longer run")
            }
            ProblemKind::KeyMismatch => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "key-mismatch",
                "key belongs to another request",
            ),
            ProblemKind::AnswerGone => (StatusCode::GONE, "answer-gone", "answer no longer held"),
            ProblemKind::KeyMissing => (StatusCode::BAD_REQUEST, "key-missing", "key required"),
            ProblemKind::AnswerTooLarge => (
                StatusCode::BAD_GATEWAY,
                "answer-too-large",
                "answer too large",
            ),
        }
    }
}

/// Why a call has no answer, and whether it ran.
#[derive(Clone, Debug, PartialEq)]
pub struct CallError {
    /// What kind of error it is.
    pub kind: ProblemKind,
    /// Whether the request ran.
    pub run: Run,
    /// What happened, in words for the caller.
    pub detail: Arc<str>,
    /// When a new try may help.
    pub retry_after: Option<Duration>,
}

impl CallError {
    /// A request that did not run and will not.
    pub fn not_run(kind: ProblemKind, detail: impl Into<Arc<str>>) -> CallError {
        CallError {
            kind,
            run: Run::No,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// A request of which nobody knows whether it ran.
    pub fn unknown(kind: ProblemKind, detail: impl Into<Arc<str>>) -> CallError {
        CallError {
            kind,
            run: Run::Unknown,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// The same, with a time after which a new try may help.
    #[must_use]
    pub fn retry_after(mut self, time: Duration) -> CallError {
        self.retry_after = Some(time);
        self
    }

    /// The problem as it is sent to the caller.
    pub fn problem(&self, request: &str) -> Problem {
        let (status, name, title) = self.kind.parts();
        Problem {
            type_: format!("/problems/{name}").into(),
            title: title.into(),
            status: status.as_u16(),
            detail: Arc::clone(&self.detail),
            run: self.run,
            request: request.into(),
            retry_after_ms: self.retry_after.map(millis),
        }
    }

    /// The answer to the caller.
    pub fn response(&self, request: &str) -> Response {
        let problem = self.problem(request);
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let mut response = Response::new(Body::from(Full::from(body)));
        *response.status_mut() = self.kind.parts().0;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/problem+json"),
        );
        if let Some(time) = self.retry_after {
            // The field counts whole seconds; rounding down would call the caller back too early.
            headers.insert(
                header::RETRY_AFTER,
                header::HeaderValue::from(millis(time).div_ceil(1000)),
            );
        }
        if let Ok(id) = header::HeaderValue::from_str(request) {
            headers.insert(super::REQUEST, id);
        }
        response
    }
}
