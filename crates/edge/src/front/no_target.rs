//! Reasons why no target can be selected, and when a caller may come back.

use std::{fmt, time::Duration};

use dunlinrock_decide::admit::direct::Admission;

use super::request::{MAX_BACKOFF, MIN_BACKOFF};

/// Maximum `Retry-After` of a caller for which all targets want no requests.
const MAX_TARGET_BACKOFF: Duration = Duration::from_secs(3600);

/// Reason why no target can be selected now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoTarget {
    /// No target is known in the regions that may run the request.
    Absent,
    /// All targets there have told this host that they are leaving.
    Leaving,
    /// All targets there want no requests of this host, the first of them for this time.
    Backoff(Duration),
    /// The first target there whose backoff has ended is answering another request of this host.
    Ramping,
    /// All remaining targets are cold (they started recently or had no requests for a while), and
    /// this host has used up its share of their cold-start rate.
    Cold,
    /// All remaining targets name rates, and this host has used up its part of them.
    Limited,
}

impl NoTarget {
    /// Returns why a target takes no request; `None` if it takes one.
    pub(super) fn of(admission: Admission) -> Option<NoTarget> {
        match admission {
            Admission::Open => None,
            Admission::Leaving => Some(NoTarget::Leaving),
            Admission::Backoff(time) => Some(NoTarget::Backoff(time)),
            Admission::Ramping => Some(NoTarget::Ramping),
        }
    }

    /// Returns the time after which a caller may come back.
    pub(super) fn retry_after(&self) -> Duration {
        match self {
            NoTarget::Backoff(time) => (*time).min(MAX_TARGET_BACKOFF),
            NoTarget::Ramping => MIN_BACKOFF,
            NoTarget::Absent | NoTarget::Leaving | NoTarget::Cold | NoTarget::Limited => {
                MAX_BACKOFF
            }
        }
    }
}

impl fmt::Display for NoTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoTarget::Absent => f.write_str("no target is left"),
            NoTarget::Leaving => f.write_str("all targets are leaving"),
            NoTarget::Backoff(time) => {
                let ms = time.as_millis();
                write!(f, "all targets want no requests, for {ms} ms")
            }
            NoTarget::Ramping => f.write_str("a target whose backoff has ended is busy"),
            NoTarget::Cold => f.write_str("all targets are cold"),
            NoTarget::Limited => f.write_str("all targets are at the rates that they named"),
        }
    }
}
