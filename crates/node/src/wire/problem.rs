//! Error responses to callers: problem details (RFC 9457) with the additional field `run`, which
//! states whether the request ran on a target.

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::api::{Problem, Run};
use http_body_util::Full;
use viz::{Body, Response, StatusCode, header};

use crate::clock::millis;

/// Kinds of error responses. Each has one status and one title.
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
    /// The request was refused because it could not be answered within its deadline.
    Overloaded,
    /// This host is not ready: it has no configuration yet, or has not caught up after a pause of
    /// its process.
    NotReady,
    /// No target accepts the request now.
    Unavailable,
    /// The request is refused because earlier runs of it crashed their targets.
    Quarantined,
    /// The deadline passed after the request may have been sent.
    DeadlinePassed,
    /// A target closed the connection early.
    TargetFailed,
    /// The request cannot run under its idempotency key any more.
    KeyRefused,
    /// The idempotency key was used by another caller or for another request.
    KeyMismatch,
    /// The request with this idempotency key ran, and its response is no longer stored.
    AnswerGone,
    /// The request needs an idempotency key.
    KeyMissing,
    /// A target's response exceeded the limit.
    AnswerTooLarge,
}

/// All kinds, for [`ProblemKind::from_name`].
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
    /// Returns the name of the kind, which is the last segment of the problem's `type` URI.
    pub fn name(self) -> &'static str {
        self.status_name_title().1
    }

    /// Returns the kind with this name.
    pub fn from_name(name: &str) -> Option<ProblemKind> {
        ALL_KINDS.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns the status, name and title of the kind.
    fn status_name_title(self) -> (StatusCode, &'static str, &'static str) {
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

/// Retry hint of a refusal for which no better one is known; hosts agree on owners and states
/// within a heartbeat.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

impl ProblemKind {
    /// Returns the retry hint for a valid request that this kind of problem refuses; `None` if a
    /// retry would meet the same problem.
    pub fn retry_hint(self) -> Option<Duration> {
        matches!(self, Self::NotReady | Self::Unavailable).then_some(DEFAULT_RETRY_AFTER)
    }
}

/// Error of a call that got no response from a target, with whether the request ran.
#[derive(Clone, Debug, PartialEq)]
pub struct CallError {
    /// Kind of the error.
    pub kind: ProblemKind,
    /// Whether the request ran.
    pub run: Run,
    /// Explanation for the caller, sent as the problem's `detail`.
    pub detail: Arc<str>,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl CallError {
    /// Creates the error of a request that did not run and will not run, with the retry hint of
    /// its kind: callers take a refusal without one for final.
    pub fn not_run(kind: ProblemKind, detail: impl Into<Arc<str>>) -> CallError {
        CallError {
            kind,
            run: Run::No,
            detail: detail.into(),
            retry_after: kind.retry_hint(),
        }
    }

    /// Creates the error of a request for which it is unknown whether it ran.
    pub fn unknown(kind: ProblemKind, detail: impl Into<Arc<str>>) -> CallError {
        CallError {
            kind,
            run: Run::Unknown,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, time: Duration) -> CallError {
        self.retry_after = Some(time);
        self
    }

    /// Returns the problem details that are sent to the caller for the request with this id.
    pub fn problem(&self, request_id: &str) -> Problem {
        let (status, name, title) = self.kind.status_name_title();
        Problem {
            type_: format!("/problems/{name}").into(),
            title: title.into(),
            status: status.as_u16(),
            detail: Arc::clone(&self.detail),
            run: self.run,
            request: request_id.into(),
            retry_after_ms: self.retry_after.map(millis),
        }
    }

    /// Returns the response to the caller, with the problem details as JSON.
    pub fn response(&self, request_id: &str) -> Response {
        let problem = self.problem(request_id);
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let mut response = Response::new(Body::from(Full::from(body)));
        *response.status_mut() = self.kind.status_name_title().0;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/problem+json"),
        );
        if let Some(time) = self.retry_after {
            // The field counts whole seconds; rounding down would make the caller retry too early.
            headers.insert(
                header::RETRY_AFTER,
                header::HeaderValue::from(millis(time).div_ceil(1000)),
            );
        }
        if let Ok(id) = header::HeaderValue::from_str(request_id) {
            headers.insert(super::REQUEST, id);
        }
        response
    }
}
