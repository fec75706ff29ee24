//! How long a kept connection may rest and still carry a request.
//!
//! A target, or a box on the way to it, may forget idle connections long before the time that the
//! target states. The next request on such a connection is reset. Whether it ran is unknown, so one
//! that may run once only is lost, although no target has seen it.
//!
//! The evidence is a kept connection that broke before any byte of a response, at a target that
//! accepts connections. One of them limits the target. Each host meets each target seldom, so breaks
//! at several targets limit their whole service, if connections that rested shorter work. A request
//! that may be repeated tries a longer rest now and then, which shows when long rests work again.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

/// How long a limit holds after the last break. A needless limit costs a round trip for each new
/// connection, a forgotten one costs requests.
const HOLD: Duration = Duration::from_secs(10);

/// Span in which breaks at several targets count together.
const SPAN: Duration = Duration::from_secs(4);

/// Maximum exchanges kept for each service.
const MAX_EXCHANGES: usize = 256;

/// Targets with breaks that limit their service.
const MIN_TARGETS: usize = 2;

/// The same while the rests of another service are limited: what forgets connections is often
/// common to the targets of a place.
const MIN_TARGETS_BESIDE: usize = 1;

/// Minimum share of broken connections among those that rested as long or longer. Crashes and lost
/// responses break a few in a hundred, whatever their rest.
const MIN_BROKEN: f64 = 0.3;

/// Minimum ratio of that share to the share among connections that rested less.
const MIN_RATIO: f64 = 3.0;

/// Fraction of the shortest rest that broke which is still allowed. Rests spread widely, so the
/// first that breaks may be several times as long as the shortest that would.
const ALLOWED_FRACTION: f64 = 0.25;

/// Minimum limit. Connections that rested less are in steady use.
const MIN_LIMIT: Duration = Duration::from_millis(20);

/// Interval between the longer rests that are tried, for each service.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longer rests in a row that must work to lift a limit: some of a service's targets may never have
/// forgotten connections.
const PROBES: u32 = 8;

/// Breaks of new connections that lift a limit, if no kept one broke in between: the rest is not
/// what breaks them.
const NEW_BREAKS: u32 = 2;

/// An exchange on a connection, and how long that had rested before; zero for a new one.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    target: u64,
    rest: Duration,
    is_broken: bool,
    at: Duration,
}

/// A limit on rests.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Shortest rest that broke.
    broken: Duration,
    until: Duration,
    /// Longer rests that have worked since the last break.
    worked: u32,
    /// New connections that have broken since.
    new_breaks: u32,
}

impl Limit {
    fn open(broken: Duration, now: Duration) -> Limit {
        Limit {
            broken,
            until: now + HOLD,
            worked: 0,
            new_breaks: 0,
        }
    }

    fn allowed(&self) -> Duration {
        self.broken.mul_f64(ALLOWED_FRACTION).max(MIN_LIMIT)
    }
}

/// What is known of one service.
#[derive(Clone, Debug, Default)]
struct ServiceLimit {
    /// The latest exchanges, oldest first.
    exchanges: VecDeque<Exchange>,
    /// Limits of targets, by the hash of their ids.
    targets: BTreeMap<u64, Limit>,
    limit: Option<Limit>,
    probe_at: Duration,
}

/// Limits on how long connections to the targets of all services may rest.
#[derive(Clone, Debug, Default)]
pub struct IdleLimits {
    services: BTreeMap<Arc<str>, ServiceLimit>,
}

/// A change of the limit of a service; `None` is no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimitChange {
    /// Limit before the change.
    pub from: Option<Duration>,
    /// Limit from now on.
    pub to: Option<Duration>,
}

impl IdleLimits {
    /// Opens limits without evidence: any rest is allowed.
    pub fn open() -> IdleLimits {
        IdleLimits::default()
    }

    /// Returns the longest rest that the service allows, if that is limited.
    pub fn limit(&self, service: &str) -> Option<Duration> {
        let limit = self.services.get(service)?.limit?;
        Some(limit.allowed())
    }

    /// Returns whether a connection to a target (hash of its id) that has rested for `rest` may
    /// carry a request. A repeatable one is bound by the limit of the service alone, and tries a
    /// longer rest now and then.
    pub fn allows(
        &mut self,
        service: &str,
        target: u64,
        rest: Duration,
        is_repeatable: bool,
        now: Duration,
    ) -> bool {
        let Some(known) = self.services.get_mut(service) else {
            return true;
        };
        let exceeds = |limit: &Limit| now < limit.until && rest > limit.allowed();
        let by_service = known.limit.as_ref().is_some_and(exceeds);
        if !is_repeatable {
            return !by_service && !known.targets.get(&target).is_some_and(exceeds);
        }
        if by_service && now >= known.probe_at {
            known.probe_at = now + PROBE_INTERVAL;
            return true;
        }
        !by_service
    }

    /// Records that a target answered on a connection that had rested for `rest`. Returns the change
    /// of the service's limit, if there is one.
    pub fn record_answer(
        &mut self,
        service: &Arc<str>,
        target: u64,
        rest: Duration,
        now: Duration,
    ) -> Option<IdleLimitChange> {
        let from = self.limit(service);
        let known = self.services.entry(Arc::clone(service)).or_default();
        known.record(target, rest, false, now);
        let is_refuted = |limit: &Limit| rest >= limit.broken;
        if known.targets.get(&target).is_some_and(is_refuted) {
            known.targets.remove(&target);
        }
        if let Some(limit) = &mut known.limit {
            limit.worked += u32::from(rest > limit.allowed());
            if limit.worked >= PROBES || now >= limit.until {
                known.forget();
            }
        }
        self.change_from(from, service)
    }

    /// Records that a connection that had rested for `rest`, zero for a new one, broke before any
    /// byte of a response, at a target that still accepts connections. Returns the change of the
    /// service's limit, if there is one.
    pub fn record_break(
        &mut self,
        service: &Arc<str>,
        target: u64,
        rest: Duration,
        now: Duration,
    ) -> Option<IdleLimitChange> {
        let from = self.limit(service);
        let is_limited =
            |(name, s): (&Arc<str>, &ServiceLimit)| name != service && s.is_limited(now);
        let min_targets = match self.services.iter().any(is_limited) {
            true => MIN_TARGETS_BESIDE,
            false => MIN_TARGETS,
        };
        let known = self.services.entry(Arc::clone(service)).or_default();
        if known.limit.is_some_and(|limit| now >= limit.until) {
            known.forget();
        }
        known.record(target, rest, true, now);
        if rest.is_zero() {
            known.record_new_break();
            return self.change_from(from, service);
        }
        known.limit_target(target, rest, now);
        let broken = known.shortest_broken(min_targets, now);
        if let Some(broken) = broken {
            let earlier = known.limit.map_or(broken, |limit| limit.broken);
            known.limit = Some(Limit::open(broken.min(earlier), now));
        }
        self.change_from(from, service)
    }

    fn change_from(&self, from: Option<Duration>, service: &str) -> Option<IdleLimitChange> {
        let to = self.limit(service);
        (from != to).then_some(IdleLimitChange { from, to })
    }
}

impl ServiceLimit {
    fn is_limited(&self, now: Duration) -> bool {
        self.limit.is_some_and(|limit| now < limit.until)
    }

    /// Forgets the limit and what led to it.
    fn forget(&mut self) {
        self.limit = None;
        self.exchanges.clear();
    }

    fn record(&mut self, target: u64, rest: Duration, is_broken: bool, now: Duration) {
        let is_old = |e: &Exchange| e.at + SPAN <= now;
        while self.exchanges.len() >= MAX_EXCHANGES || self.exchanges.front().is_some_and(is_old) {
            self.exchanges.pop_front();
        }
        self.exchanges.push_back(Exchange {
            target,
            rest,
            is_broken,
            at: now,
        });
    }

    fn record_new_break(&mut self) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        limit.new_breaks += 1;
        if limit.new_breaks >= NEW_BREAKS {
            self.forget();
        }
    }

    fn limit_target(&mut self, target: u64, rest: Duration, now: Duration) {
        self.targets.retain(|_, limit| now < limit.until);
        let earlier = self.targets.get(&target).map_or(rest, |limit| limit.broken);
        self.targets
            .insert(target, Limit::open(rest.min(earlier), now));
    }

    /// Returns the shortest rest from which on connections break because they rested, if there is
    /// one with breaks at enough targets. Only exchanges since the first break count: what worked
    /// before says nothing about the time since.
    fn shortest_broken(&self, min_targets: usize, now: Duration) -> Option<Duration> {
        let recent = self.exchanges.iter().filter(|e| now < e.at + SPAN);
        let since_first: Vec<_> = recent.skip_while(|e| !e.is_broken).collect();
        let broken = since_first.iter().filter(|e| e.is_broken);
        let rests: BTreeSet<_> = broken
            .map(|e| e.rest)
            .filter(|rest| !rest.is_zero())
            .collect();
        rests.into_iter().find(|rest| {
            let (long, short): (Vec<&Exchange>, Vec<_>) =
                since_first.iter().partition(|e| e.rest >= *rest);
            let targets: BTreeSet<_> = long
                .iter()
                .filter(|e| e.is_broken)
                .map(|e| e.target)
                .collect();
            let share = broken_share(&long);
            targets.len() >= min_targets
                && share >= MIN_BROKEN
                && share >= broken_share(&short) * MIN_RATIO
        })
    }
}

fn broken_share(exchanges: &[&Exchange]) -> f64 {
    let broken = exchanges.iter().filter(|e| e.is_broken).count();
    broken as f64 / exchanges.len().max(1) as f64
}
