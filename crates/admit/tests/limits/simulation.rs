//! Rate limits over many hosts in virtual time: callers of many workspaces, and three ways to
//! enforce a limit.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use dunlinrock_admit::direct::{LimitShare, RateLimitConfig, TokenBucket, TokenCache};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const RULES: RateLimitConfig = RateLimitConfig {
    window: Duration::from_secs(5),
    over: 0.1,
    slack: 20.0,
};

/// Regions; each counts a share where tokens are granted.
const REGIONS: usize = 3;

/// Round trips within a region and between regions.
const LOCAL_RTT: Duration = Duration::from_millis(1);
const REMOTE_RTT: Duration = Duration::from_millis(41);

/// Interval of a host's updates to the others along the tree, and their age on arrival in
/// intervals.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
const UPDATE_DELAY_INTERVALS: usize = 3;

/// Time for which the hosts have run before the first request.
const WARM_UP: Duration = Duration::from_secs(10);

/// Minimum and maximum time for which an exhausted share is not asked.
const MIN_EXHAUSTED: Duration = Duration::from_millis(150);
const MAX_EXHAUSTED: Duration = Duration::from_secs(1);
const SCARCE_TIME: Duration = Duration::from_secs(1);

/// Strategy by which a limit is enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Strategy {
    /// Each host has an equal share.
    Equal,
    /// Each host's share follows its share of the requests, which is sent along the tree.
    Demand,
    /// A host of each region counts a share and grants tokens.
    Lent,
}

/// A simulated load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub hosts: usize,
    pub workspaces: usize,
    /// Requests per second of all workspaces together.
    pub rate: f64,
    /// The workspace that is busy from 10 s to 20 s, by its rank in size, and the factor on its
    /// usual rate.
    pub busy: Option<(usize, f64)>,
    /// Factor by which the limit of the largest workspace falls at 15 s.
    pub lowered: Option<f64>,
    /// Period in which the first region's share of every workspace is not counted.
    pub lost: Option<(Duration, Duration)>,
    pub seed: u64,
}

const LENGTH: Duration = Duration::from_secs(30);

/// Results of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Results {
    pub sent: usize,
    /// Requests refused though the stated limits admit them, over all workspaces.
    pub refused: usize,
    /// Requests in the worst window as a fraction of the maximum.
    pub worst: f64,
    /// Messages per host and second, without those of the tree.
    pub messages: f64,
    /// Mean time added to a request.
    pub added: Duration,
}

struct Limit {
    rate: f64,
    burst: f64,
}

/// Simulates a load; the result is the same every time.
pub fn simulate(strategy: Strategy, load: &Load) -> Results {
    // Expected requests and requests that ran, by workspace.
    let mut sums: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    let mut fleet = Fleet::open(strategy, load);
    let (mut results, mut added) = (Results::default(), Duration::ZERO);
    let mut expected: BTreeMap<usize, VecDeque<Duration>> = BTreeMap::new();
    let mut ran: BTreeMap<usize, VecDeque<Duration>> = BTreeMap::new();
    for (now, workspace, host) in arrivals(load) {
        results.sent += 1;
        fleet.at(now);
        let limit = fleet.limit(workspace, now);
        let stated = limit.rate * RULES.window.as_secs_f64() + limit.burst;
        let expected = expected.entry(workspace).or_default();
        remove_expired(expected, now);
        let is_expected = (expected.len() as f64) < stated;
        let sum = sums.entry(workspace).or_default();
        if is_expected {
            expected.push_back(now);
            sum.0 += 1;
        }
        if let Some(time) = fleet.ask(host, workspace, now) {
            added += time;
            sum.1 += 1;
            let ran = ran.entry(workspace).or_default();
            ran.push_back(now);
            remove_expired(ran, now);
            // A lowered limit holds only after a window.
            let is_bound =
                load.lowered.is_none() || workspace > 0 || !(15..21).contains(&now.as_secs());
            if is_bound {
                let may = RULES.max_requests(limit.rate, limit.burst);
                results.worst = results.worst.max(ran.len() as f64 / may);
            }
        }
    }
    let shortfall = |(owed, ran): &(usize, usize)| owed.saturating_sub(*ran);
    results.refused = sums.values().map(shortfall).sum();
    results.added = added / results.sent.max(1) as u32;
    results.messages = fleet.messages as f64 / load.hosts as f64 / LENGTH.as_secs_f64();
    results
}

/// Removes the times that have left the window.
fn remove_expired(times: &mut VecDeque<Duration>, now: Duration) {
    while times.front().is_some_and(|at| *at + RULES.window <= now) {
        times.pop_front();
    }
}

/// Returns the usual rate of a workspace: a few are large.
fn usual_rate(load: &Load, workspace: usize) -> f64 {
    let weight = |n: usize| 1.0 / (n + 1) as f64;
    let all: f64 = (0..load.workspaces).map(weight).sum();
    load.rate * weight(workspace) / all
}

fn arrivals(load: &Load) -> Vec<(Duration, usize, usize)> {
    let mut random = SmallRng::seed_from_u64(load.seed);
    let mut all = Vec::new();
    for workspace in 0..load.workspaces {
        let mut now = 0.0;
        loop {
            let busy = load
                .busy
                .filter(|(rank, _)| *rank == workspace && (10.0..20.0).contains(&now));
            let rate = usual_rate(load, workspace) * busy.map_or(1.0, |(_, times)| times);
            now -= random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
            if now >= LENGTH.as_secs_f64() {
                break;
            }
            all.push((
                Duration::from_secs_f64(now),
                workspace,
                random.random_range(0..load.hosts),
            ));
        }
    }
    all.sort_unstable();
    all
}

struct Fleet {
    strategy: Strategy,
    load: Load,
    /// Buckets of the hosts' shares, by host and workspace.
    host_buckets: BTreeMap<(usize, usize), TokenBucket>,
    /// Requests of each update interval, newest last.
    rounds: VecDeque<BTreeMap<(usize, usize), f64>>,
    began: Duration,
    caches: BTreeMap<(usize, usize), TokenCache>,
    /// Buckets of the regions' shares, by workspace and region.
    shares: BTreeMap<(usize, usize), TokenBucket>,
    /// Time until which a share is known to be exhausted, by host, workspace and region.
    exhausted_until: BTreeMap<(usize, usize, usize), Duration>,
    /// Workspaces whose lost share is counted again.
    recovered: BTreeSet<usize>,
    messages: usize,
}

impl Fleet {
    fn open(strategy: Strategy, load: &Load) -> Fleet {
        Fleet {
            strategy,
            load: *load,
            host_buckets: BTreeMap::new(),
            rounds: VecDeque::from([BTreeMap::new()]),
            began: Duration::ZERO,
            caches: BTreeMap::new(),
            shares: BTreeMap::new(),
            exhausted_until: BTreeMap::new(),
            recovered: BTreeSet::new(),
            messages: 0,
        }
    }

    fn limit(&self, workspace: usize, now: Duration) -> Limit {
        let fallen = self
            .load
            .lowered
            .filter(|_| workspace == 0 && now >= Duration::from_secs(15));
        let rate = 1.6 * usual_rate(&self.load, workspace) * fallen.unwrap_or(1.0);
        Limit { rate, burst: rate }
    }

    /// Advances to a time.
    fn at(&mut self, now: Duration) {
        while self.began + UPDATE_INTERVAL <= now {
            self.began += UPDATE_INTERVAL;
            self.rounds.push_back(BTreeMap::new());
            if self.rounds.len() > 4 * UPDATE_DELAY_INTERVALS {
                self.rounds.pop_front();
            }
        }
    }

    /// Returns the time that it took to admit a request, or `None` if it is refused.
    fn ask(&mut self, host: usize, workspace: usize, now: Duration) -> Option<Duration> {
        match self.strategy {
            Strategy::Equal => self.host_share(host, workspace, 1.0 / self.load.hosts as f64, now),
            Strategy::Demand => {
                let share = self.share(host, workspace);
                self.host_share(host, workspace, share, now)
            }
            Strategy::Lent => self.lent(host, workspace, now),
        }
    }

    fn host_share(
        &mut self,
        host: usize,
        workspace: usize,
        fraction: f64,
        now: Duration,
    ) -> Option<Duration> {
        let limit = self.limit(workspace, now);
        let whole = RULES.share(limit.rate, limit.burst, 1);
        let share = LimitShare {
            max_tokens: (whole.max_tokens * fraction).max(1.0),
            rate: whole.rate * fraction,
            burst: (whole.burst * fraction).max(1.0),
            ..whole
        };
        let bucket = self.host_buckets.entry((host, workspace));
        let bucket = bucket.or_insert_with(|| TokenBucket::open(Duration::ZERO));
        (bucket.take(&share, 1, WARM_UP + now).count > 0).then_some(Duration::ZERO)
    }

    /// Returns a host's share of a workspace's requests, as known from the updates; a tenth is
    /// divided equally, so that a host without requests may admit a first one.
    fn share(&mut self, host: usize, workspace: usize) -> f64 {
        if let Some(round) = self.rounds.back_mut() {
            *round.entry((host, workspace)).or_default() += 1.0;
        }
        let delivered = self.rounds.len().saturating_sub(UPDATE_DELAY_INTERVALS);
        let delivered: Vec<_> = self.rounds.iter().take(delivered).collect();
        let own: f64 = delivered
            .iter()
            .filter_map(|r| r.get(&(host, workspace)))
            .sum();
        let of = |round: &&BTreeMap<(usize, usize), f64>| {
            let all = round.iter().filter(|((_, w), _)| *w == workspace);
            all.map(|(_, n)| n).sum::<f64>()
        };
        let all: f64 = delivered.iter().map(of).sum();
        let equal = 1.0 / self.load.hosts as f64;
        if all == 0.0 {
            equal
        } else {
            0.1 * equal + 0.9 * own / all
        }
    }

    fn lent(&mut self, host: usize, workspace: usize, now: Duration) -> Option<Duration> {
        let held =
            (0..REGIONS).filter_map(|region| self.exhausted_until.get(&(host, workspace, region)));
        let scarce = held.into_iter().any(|until| now < *until + SCARCE_TIME);
        let cache = self.caches.entry((host, workspace)).or_default();
        cache.record_demand(now);
        if cache.take(now).is_some() {
            return Some(Duration::ZERO);
        }
        let want = cache.refill_size(&RULES, scarce, now);
        let limit = self.limit(workspace, now);
        let share = RULES.share(limit.rate, limit.burst, REGIONS);
        let mut time = Duration::ZERO;
        for turn in 0..REGIONS {
            let region = (host + turn) % REGIONS;
            let key = (host, workspace, region);
            let is_lost = self
                .load
                .lost
                .is_some_and(|(from, to)| region == 0 && (from..to).contains(&now));
            if is_lost
                || self
                    .exhausted_until
                    .get(&key)
                    .is_some_and(|until| now < *until)
            {
                continue;
            }
            time += if turn == 0 { LOCAL_RTT } else { REMOTE_RTT };
            self.messages += 1;
            let bucket = self.shares.entry((workspace, region));
            let bucket = bucket.or_insert_with(|| TokenBucket::open(Duration::ZERO));
            if let Some((_, to)) = self.load.lost.filter(|(_, to)| region == 0 && now >= *to)
                && self.recovered.insert(workspace)
            {
                *bucket = TokenBucket::open(WARM_UP + to);
            }
            let granted = bucket.take(&share, want, WARM_UP + now);
            if granted.count > 0 {
                let cache = self.caches.entry((host, workspace)).or_default();
                cache.add(granted.count, now, &RULES);
                return cache.take(now).map(|_| time);
            }
            let exhausted_for = granted.retry_after.clamp(MIN_EXHAUSTED, MAX_EXHAUSTED);
            self.exhausted_until.insert(key, now + exhausted_for);
        }
        None
    }
}
