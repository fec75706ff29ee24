//! Rate limits of workspaces that hold for all hosts together.
//!
//! With hundreds of hosts, each sees a request of most workspaces only every few seconds, while one
//! workspace may send many times its limit. Equal shares of a limit are less than one request for
//! each host and would refuse nearly everything. So a limit is divided into a few *shares*, one for
//! each region. One host of the region counts a share; the others ask it for *tokens*, one for each
//! request, which expire.
//!
//! The tokens granted from a share are bounded, and tokens live for a short time only, so the limit
//! holds without coordination when a host dies, resumes late or is partitioned.

use std::{collections::VecDeque, time::Duration};

/// Time for which a token may be used after it was requested: a round trip between regions, a busy
/// processor, and the way to a target. The requests that run in a window had their tokens granted
/// in it or within this time before it.
const TOKEN_TTL: Duration = Duration::from_millis(250);

/// Fraction of the limit that is granted. The rest is for shares that two hosts count for a moment,
/// while one takes over from the other, and for requests that are delayed on their way and arrive
/// together.
const GRANTED_FRACTION: f64 = 0.95;

/// Fraction of a share's window that may be granted at once. A host that takes a share over does
/// not know what was just granted, and waits for the time in which this many tokens are refilled.
const BURST_FRACTION: f64 = 0.05;

/// Minimum number of tokens that may be granted at once: a share of a small limit is a few tokens
/// per second.
const MIN_BURST: f64 = 2.0;

/// Length of the periods by which a bucket records what it granted.
const BUCKET_LENGTH: Duration = Duration::from_millis(100);

/// Time constant of the decaying number of tokens that a host has needed.
const DEMAND_DECAY: Duration = Duration::from_secs(1);

/// Configuration of rate limits: how far all hosts together may exceed a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitConfig {
    /// Length of the window; the limit holds for any period of this length.
    pub window: Duration,
    /// Fraction of the limit by which it may be exceeded.
    pub over: f64,
    /// Requests in a window beyond that.
    pub slack: f64,
}

impl RateLimitConfig {
    /// Returns the time for which a token may be used after it was requested.
    pub fn token_ttl(&self) -> Duration {
        TOKEN_TTL
    }

    /// Returns the maximum number of requests in a window.
    pub fn max_requests(&self, rate: f64, burst: f64) -> f64 {
        (rate * self.window.as_secs_f64() + burst) * (1.0 + self.over) + self.slack
    }

    /// Returns one of `shares` equal shares of a limit.
    pub fn share(&self, rate: f64, burst: f64, shares: usize) -> LimitShare {
        let max_tokens = self.max_requests(rate, burst) * GRANTED_FRACTION / shares.max(1) as f64;
        let span = self.window + TOKEN_TTL;
        LimitShare {
            max_tokens,
            span,
            rate: max_tokens / span.as_secs_f64(),
            burst: (max_tokens * BURST_FRACTION).max(MIN_BURST.min(max_tokens)),
        }
    }
}

/// A region's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Tokens that may be granted in any period of the length `span`.
    pub max_tokens: f64,
    /// Length of that period.
    pub span: Duration,
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that may be granted at once.
    pub burst: f64,
}

/// Token bucket of a share, at the host that counts it.
///
/// Two bounds hold. The tokens granted in a span are at most the requests that may run in it. And
/// never is more than a burst granted beyond the share's rate: without this, what a host granted
/// just before it died, and what its successor grants, could be twice the share.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens that may be granted at once; below zero at first.
    level: Option<f64>,
    at: Duration,
    /// Tokens granted, by the start of their [`BUCKET_LENGTH`].
    granted: VecDeque<(Duration, u32)>,
}

/// Response to a request for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenGrant {
    /// Number of tokens granted.
    pub count: u32,
    /// If there are none, the time until there is one.
    pub retry_after: Duration,
}

impl TokenBucket {
    /// Opens the bucket of a share that is counted here since `since`. It starts a burst below
    /// zero, because the previous counter may just have granted that burst.
    pub fn open(since: Duration) -> TokenBucket {
        TokenBucket {
            level: None,
            at: since,
            granted: VecDeque::new(),
        }
    }

    /// Takes up to `wanted` tokens.
    pub fn take(&mut self, share: &LimitShare, wanted: u32, now: Duration) -> TokenGrant {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let level = self.level.unwrap_or(-share.burst);
        let level = (level + passed * share.rate).min(share.burst);
        self.at = self.at.max(now);
        while self
            .granted
            .front()
            .is_some_and(|(start, _)| *start + BUCKET_LENGTH + share.span <= now)
        {
            self.granted.pop_front();
        }
        let granted: u32 = self.granted.iter().map(|(_, count)| count).sum();
        let available = (share.max_tokens - f64::from(granted)).max(0.0);
        let count = wanted.min(level.min(available) as u32);
        self.level = Some(level - f64::from(count));
        if count > 0 || wanted == 0 {
            self.record(count, now);
            return TokenGrant {
                count,
                retry_after: Duration::ZERO,
            };
        }
        let retry_after = (1.0 - level).max(0.0) / share.rate.max(f64::MIN_POSITIVE);
        let retry_after = Duration::try_from_secs_f64(retry_after).unwrap_or(Duration::MAX);
        let next_expiry = self.granted.front().filter(|_| available < 1.0);
        let next_expiry = next_expiry.map_or(Duration::ZERO, |(start, _)| {
            (*start + BUCKET_LENGTH + share.span).saturating_sub(now)
        });
        TokenGrant {
            count,
            retry_after: retry_after.max(next_expiry),
        }
    }

    fn record(&mut self, count: u32, now: Duration) {
        match self
            .granted
            .back_mut()
            .filter(|(start, _)| now < *start + BUCKET_LENGTH)
        {
            Some((_, sum)) => *sum += count,
            None => self.granted.push_back((now, count)),
        }
    }
}

/// Tokens of one workspace at a host that serves it.
#[derive(Clone, Debug, Default)]
pub struct TokenCache {
    /// Expiry times of the cached tokens.
    expirations: VecDeque<Duration>,
    /// Tokens needed, decaying over [`DEMAND_DECAY`], and the time of this value.
    demand: (f64, Duration),
}

impl TokenCache {
    /// Opens an empty cache.
    pub fn open() -> TokenCache {
        TokenCache::default()
    }

    /// Records that a token is needed.
    pub fn record_demand(&mut self, now: Duration) {
        self.demand = (self.demand(now) + 1.0, now);
    }

    /// Takes a token that has not expired, and returns its expiry time.
    pub fn take(&mut self, now: Duration) -> Option<Duration> {
        while self
            .expirations
            .front()
            .is_some_and(|expires_at| *expires_at <= now)
        {
            self.expirations.pop_front();
        }
        self.expirations.pop_front()
    }

    /// Returns a token whose request did not run.
    pub fn return_token(&mut self, expires_at: Duration) {
        let at = self.expirations.partition_point(|held| *held <= expires_at);
        self.expirations.insert(at, expires_at);
    }

    /// Returns how many tokens to request: one, and as many more as are likely to be needed while
    /// they live. While they are `scarce`, only one: an unused token is missing at other hosts.
    pub fn refill_size(&self, config: &RateLimitConfig, scarce: bool, now: Duration) -> u32 {
        if scarce {
            return 1;
        }
        let rate = self.demand(now) / DEMAND_DECAY.as_secs_f64();
        1 + (rate * config.token_ttl().as_secs_f64()) as u32
    }

    /// Adds tokens that were requested at `requested_at`.
    pub fn add(&mut self, count: u32, requested_at: Duration, config: &RateLimitConfig) {
        (0..count).for_each(|_| self.return_token(requested_at + config.token_ttl()));
    }

    fn demand(&self, now: Duration) -> f64 {
        let (demand, at) = self.demand;
        let passed = now.saturating_sub(at).div_duration_f64(DEMAND_DECAY);
        demand * (-passed).exp()
    }
}
