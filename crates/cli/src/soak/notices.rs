//! Checks that hosts believe what targets say about themselves.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use dunlinrock_platform::standin::Arrival;

use super::callers::PassedOn;

/// Time in which a host learns that a target has rejected a request.
pub(super) const LEARNING_TIME: Duration = Duration::from_millis(500);

/// Requests of one host that a target in backoff may get after that time.
const MAX_LATE: usize = 2;

/// A disturbance of a host or of its links to targets, which excuses what the host did not learn or
/// has forgotten. A host that has lost its links forwards requests: the target rejects the other
/// host then, and the header still names the first one.
#[derive(Clone, Debug)]
pub(super) struct Excuse {
    /// Index of the host; `None` for all.
    pub(super) host: Option<usize>,
    /// Index of the target; `None` for all.
    pub(super) target: Option<usize>,
    pub(super) at: Instant,
}

/// What callers and targets have observed.
#[derive(Debug)]
pub(super) struct Observed<'a> {
    pub(super) arrivals: &'a [Arrival],
    pub(super) leaving: &'a [PassedOn],
    /// When callers sent their requests.
    pub(super) sent: &'a BTreeMap<String, Instant>,
    pub(super) excuses: &'a [Excuse],
}

impl Observed<'_> {
    /// Returns the promises that were broken.
    pub(super) fn violations(&self) -> Vec<String> {
        let leaving = self
            .leaving
            .iter()
            .filter_map(|told| self.after_leaving(told));
        let rejected = self.arrivals.iter();
        let backoff = rejected.filter_map(|rejected| self.during_backoff(rejected));
        leaving.chain(backoff).collect()
    }

    /// Checks the requests that callers sent after a host had passed on that a target is leaving.
    fn after_leaving(&self, told: &PassedOn) -> Option<String> {
        let at_host = |arrival: &&Arrival| arrival.host == told.host && arrival.id == told.id;
        // The last target that got the request answered it.
        let target = &self.arrivals.iter().rfind(at_host)?.target;
        let mut late = self.arrivals.iter().filter(|arrival| {
            let is_same = arrival.host == told.host && arrival.target == *target;
            is_same && self.sent_after(arrival, told.at) && !self.is_host_excused(arrival, told.at)
        });
        let late = late.next()?;
        Some(format!(
            "{} reached {target} from h{} after {} had told that it is leaving",
            late.id, late.host, told.id
        ))
    }

    /// Checks the requests that callers sent while a target wanted none of a host.
    fn during_backoff(&self, rejected: &Arrival) -> Option<String> {
        let (start, end) = (rejected.at + LEARNING_TIME, rejected.at + rejected.backoff?);
        let late = self.arrivals.iter().filter(|arrival| {
            let is_same = arrival.host == rejected.host && arrival.target == rejected.target;
            is_same
                && arrival.at <= end
                && self.sent_after(arrival, start)
                && !self.is_excused(arrival, rejected.at, arrival.at)
        });
        let late = late.count();
        (late > MAX_LATE).then(|| {
            format!(
                "{} got {late} requests of h{} while it wanted none",
                rejected.target, rejected.host
            )
        })
    }

    fn sent_after(&self, arrival: &Arrival, at: Instant) -> bool {
        self.sent.get(&arrival.id).is_some_and(|sent| *sent > at)
    }

    /// Whether the host itself was disturbed between a moment and an arrival. A response that it has
    /// passed on binds it whatever became of its link to the target.
    fn is_host_excused(&self, arrival: &Arrival, from: Instant) -> bool {
        let mut of_hosts = self.excuses.iter().filter(|e| e.target.is_none());
        of_hosts.any(|e| {
            let is_own = e.host.is_none_or(|n| arrival.host == n.to_string());
            is_own && (from..=arrival.at).contains(&e.at)
        })
    }

    /// Whether a host or its links to a target were disturbed between two moments.
    fn is_excused(&self, arrival: &Arrival, from: Instant, to: Instant) -> bool {
        let is_of = |index: Option<usize>, name: &str| index.is_none_or(|n| name == n.to_string());
        // Targets are named by their index and the number of their start.
        let target = arrival.target.trim_start_matches('t');
        let target = target.split('-').next().unwrap_or_default();
        self.excuses.iter().any(|excuse| {
            is_of(excuse.host, &arrival.host)
                && is_of(excuse.target, target)
                && (from..=to).contains(&excuse.at)
        })
    }
}
