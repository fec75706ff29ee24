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

/// How long an exchange counts for the usual share of broken ones.
const HISTORY: Duration = Duration::from_secs(30);

/// Maximum exchanges kept for each service.
const MAX_EXCHANGES: usize = 256;

/// Minimum share of broken connections among those that rested as long or longer.
const MIN_BROKEN: f64 = 0.3;

/// What must agree for breaks to limit a service.
#[derive(Clone, Copy, Debug)]
struct Bar {
    /// Minimum number of targets with breaks.
    targets: usize,
    /// Maximum probability of as many breaks by chance, going by the usual share: crashes and lost
    /// responses break connections whatever their rest.
    chance: f64,
}

/// The bar while no other service is limited.
const ALONE: Bar = Bar {
    targets: 2,
    chance: 0.001,
};

/// The bar while another service is: what forgets connections is often common to the targets of a
/// place.
const BESIDE: Bar = Bar {
    targets: 1,
    chance: 0.05,
};

/// Exchanges without a break that the usual share begins with, and half a break: without them it
/// would be zero until the first break.
const PRIOR: f64 = 32.0;

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
    /// Time of the last break.
    since: Duration,
    /// Longer rests that have worked since the last break.
    worked: u32,
}

impl Limit {
    fn open(broken: Duration, now: Duration) -> Limit {
        Limit {
            broken,
            since: now,
            worked: 0,
        }
    }

    fn is_over(&self, now: Duration) -> bool {
        now >= self.since + HOLD
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
        let exceeds = |limit: &Limit| !limit.is_over(now) && rest > limit.allowed();
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

    /// Records that a target answered a request that was sent at `sent` on a connection that had
    /// rested for `rest`. Returns the change of the service's limit, if there is one.
    pub fn record_answer(
        &mut self,
        service: &Arc<str>,
        target: u64,
        rest: Duration,
        sent: Duration,
        now: Duration,
    ) -> Option<IdleLimitChange> {
        let from = self.limit(service);
        let known = self.services.entry(Arc::clone(service)).or_default();
        known.record(target, rest, false, now);
        // What was sent before the break may have worked before connections were forgotten.
        let is_refuted = |limit: &Limit| sent >= limit.since && rest >= limit.broken;
        if known.targets.get(&target).is_some_and(is_refuted) {
            known.targets.remove(&target);
        }
        if let Some(limit) = &mut known.limit {
            limit.worked += u32::from(sent >= limit.since && rest > limit.allowed());
            if limit.worked >= PROBES || limit.is_over(now) {
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
        let bar = match self.services.iter().any(is_limited) {
            true => BESIDE,
            false => ALONE,
        };
        let known = self.services.entry(Arc::clone(service)).or_default();
        if known.limit.is_some_and(|limit| limit.is_over(now)) {
            known.forget();
        }
        known.record(target, rest, true, now);
        if rest.is_zero() {
            return self.change_from(from, service);
        }
        known.limit_target(target, rest, now);
        let broken = known.shortest_broken(bar, now);
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
        self.limit.is_some_and(|limit| !limit.is_over(now))
    }

    /// Forgets the limit and what led to it.
    fn forget(&mut self) {
        self.limit = None;
        self.exchanges.clear();
    }

    fn record(&mut self, target: u64, rest: Duration, is_broken: bool, now: Duration) {
        let is_old = |e: &Exchange| e.at + HISTORY <= now;
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

    fn limit_target(&mut self, target: u64, rest: Duration, now: Duration) {
        self.targets.retain(|_, limit| !limit.is_over(now));
        let earlier = self.targets.get(&target).map_or(rest, |limit| limit.broken);
        self.targets
            .insert(target, Limit::open(rest.min(earlier), now));
    }

    /// Returns the shortest rest from which on connections break because they rested, if breaks
    /// there pass the bar. Only exchanges since the first recent break count as evidence: what
    /// worked before says nothing about the time since, but how many break by chance.
    fn shortest_broken(&self, bar: Bar, now: Duration) -> Option<Duration> {
        let is_recent = |e: &&Exchange| e.is_broken && now < e.at + SPAN;
        let first = self.exchanges.iter().find(is_recent)?.at;
        let (since, before): (Vec<&Exchange>, Vec<&Exchange>) =
            self.exchanges.iter().partition(|e| e.at >= first);
        let kept = since.iter().filter(|e| e.is_broken && !e.rest.is_zero());
        let rests: BTreeSet<_> = kept.map(|e| e.rest).collect();
        rests.into_iter().find(|rest| {
            let (long, short): (Vec<&Exchange>, Vec<_>) =
                since.iter().partition(|e| e.rest >= *rest);
            let targets: BTreeSet<_> = broken(&long).map(|e| e.target).collect();
            let breaks = broken(&long).count();
            let others = before.len() + short.len();
            let by_chance = broken(&before).count() + broken(&short).count();
            let usual = (by_chance as f64 + 0.5) / (others as f64 + PRIOR);
            targets.len() >= bar.targets
                && breaks as f64 >= long.len() as f64 * MIN_BROKEN
                && chance_of(breaks, long.len(), usual) <= bar.chance
        })
    }
}

fn broken<'a>(exchanges: &'a [&Exchange]) -> impl Iterator<Item = &'a Exchange> {
    exchanges.iter().copied().filter(|e| e.is_broken)
}

/// Returns the probability of `breaks` or more breaks in `exchanges` independent exchanges, each of
/// which breaks with probability `share`.
fn chance_of(breaks: usize, exchanges: usize, share: f64) -> f64 {
    let odds = share / (1.0 - share);
    // Probability of n breaks, from that of n - 1.
    let mut exactly = (1.0 - share).powi(exchanges as i32);
    let mut fewer = 0.0;
    for n in 0..breaks {
        fewer += exactly;
        exactly *= odds * (exchanges - n) as f64 / (n + 1) as f64;
    }
    1.0 - fewer
}
