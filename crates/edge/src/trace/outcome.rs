//! Outcomes of requests.

/// Outcome of a request, as log lines and metrics name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A target returned a complete response.
    Answered,
    /// A target returned a complete response that reports a failure.
    FailedAtTarget,
    /// Refused: the request has not run and never will.
    Refused,
    /// Not run and never will be: its workspace is at its rate limit.
    Limited,
    /// Sent, and no complete response came back; it is unknown whether it ran.
    Lost,
    /// Sent, and timed out.
    Late,
    /// No route of the active configuration matches.
    NoRoute,
    /// The caller sent no known key.
    Unauthorized,
    /// The body is above the limit.
    BodyTooLarge,
    /// The body is truncated or cannot be read.
    BodyUnreadable,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Outcome; 10] = [
        Outcome::Answered,
        Outcome::FailedAtTarget,
        Outcome::Refused,
        Outcome::Limited,
        Outcome::Lost,
        Outcome::Late,
        Outcome::NoRoute,
        Outcome::Unauthorized,
        Outcome::BodyTooLarge,
        Outcome::BodyUnreadable,
    ];

    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::FailedAtTarget => "failed_at_target",
            Outcome::Refused => "refused",
            Outcome::Limited => "limited",
            Outcome::Lost => "lost",
            Outcome::Late => "late",
            Outcome::NoRoute => "no_route",
            Outcome::Unauthorized => "unauthorized",
            Outcome::BodyTooLarge => "body_too_large",
            Outcome::BodyUnreadable => "body_unreadable",
        }
    }
}
