//! Limits on the requests of a workspace that hold for all hosts together.
//!
//! Load: hundreds of hosts, of which each sees a request of most workspaces every few seconds, and one
//! workspace that sends many times its limit. Equal parts of a limit are less than one request for each
//! host and would refuse nearly everything. So a limit is divided into few *slices*, one for each region.
//! One host of the region counts a slice; the others ask it for *tokens*, a request each, which end by
//! themselves.
//!
//! What a slice gives out is bounded, and tokens live for a short time only, so that the bound on what
//! runs holds whoever dies, wakes late or is cut off: nobody has to tell anybody anything.

use std::{collections::VecDeque, time::Duration};

/// How long a token may be used after it was asked for: a round trip between regions, a busy processor, and
/// the way to a target. What runs in a window was given out in it or within this time before it.
const TOKEN_TTL: Duration = Duration::from_millis(250);

/// Part of the bound that is given out. The rest is for slices that two hosts count for a moment, while one
/// takes over from the other, and for requests that are held up on their way and arrive together.
const GRANTED_FRACTION: f64 = 0.95;

/// Part of a slice's window that may be given out at once. Whoever takes a slice over does not know what
/// was just given out, and waits for as long as this takes to come back.
const BURST_FRACTION: f64 = 0.05;

/// Tokens that may be given out at once, at least: a slice of a small limit is a few tokens a second.
const MIN_BURST: f64 = 2.0;

/// Length of the spans in which a bucket remembers what it gave out.
const BUCKET_LENGTH: Duration = Duration::from_millis(100);

/// Time over which a host remembers how many tokens it needed.
const DEMAND_DECAY: Duration = Duration::from_secs(1);

/// How far all hosts together may go beyond a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimitConfig {
    /// Length of the window; any span of this length is bounded.
    pub window: Duration,
    /// Share of the limit beyond it.
    pub over: f64,
    /// Requests in a window beyond that.
    pub slack: f64,
}

impl RateLimitConfig {
    /// How long a token may be used after it was asked for.
    pub fn token_ttl(&self) -> Duration {
        TOKEN_TTL
    }

    /// Requests that may run in a window.
    pub fn max_requests(&self, rate: f64, burst: f64) -> f64 {
        (rate * self.window.as_secs_f64() + burst) * (1.0 + self.over) + self.slack
    }

    /// One of `slices` equal slices of a limit.
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

/// A part of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Tokens that may be given out in any span of the length `span`.
    pub max_tokens: f64,
    /// That length.
    pub span: Duration,
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be given out at once.
    pub burst: f64,
}

/// Tokens of a slice, at the host that counts it.
///
/// Two bounds hold. What is given out in a span is at most what may run in it. And at no time is more than
/// a burst given out beyond the slice's rate: without this, what a host gave out just before it died, and
/// what its successor gives, could be twice the slice.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens that may be given out at once; below zero at first.
    level: Option<f64>,
    at: Duration,
    /// What was given out, by the start of its [`SPAN`].
    granted: VecDeque<(Duration, u32)>,
}

/// Answer to a host that asked for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenGrant {
    /// Tokens.
    pub count: u32,
    /// Where there are none, time until there is one.
    pub retry_after: Duration,
}

impl TokenBucket {
    /// Opens the bucket of a slice that is counted here since `since`. It is a burst behind: whoever counted
    /// before may just have given that out.
    pub fn open(since: Duration) -> TokenBucket {
        TokenBucket {
            level: None,
            at: since,
            granted: VecDeque::new(),
        }
    }

    /// Takes up to `want` tokens.
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
    /// Ends of the tokens that are held.
    expirations: VecDeque<Duration>,
    /// Tokens needed, fading over [`DEMAND_TIME`], as of a moment.
    demand: (f64, Duration),
}

impl TokenCache {
    /// Opens an empty cache.
    pub fn open() -> TokenCache {
        TokenCache::default()
    }

    /// Notes that a token is needed.
    pub fn record_demand(&mut self, now: Duration) {
        self.demand = (self.demand(now) + 1.0, now);
    }

    /// Takes a token that has not ended; tells its end.
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

    /// Gives a token back whose request did not run.
    pub fn return_token(&mut self, expires_at: Duration) {
        let at = self.expirations.partition_point(|held| *held <= expires_at);
        self.expirations.insert(at, expires_at);
    }

    /// Tokens to ask for: one, and as many more as are likely to be needed while they live. While they are
    /// `scarce` one alone: what is not used is missing elsewhere.
    pub fn refill_size(&self, config: &RateLimitConfig, scarce: bool, now: Duration) -> u32 {
        if scarce {
            return 1;
        }
        let rate = self.demand(now) / DEMAND_DECAY.as_secs_f64();
        1 + (rate * config.token_ttl().as_secs_f64()) as u32
    }

    /// Takes in tokens that were asked for at `asked`.
    pub fn add(&mut self, count: u32, requested_at: Duration, config: &RateLimitConfig) {
        (0..count).for_each(|_| self.return_token(requested_at + config.token_ttl()));
    }

    fn demand(&self, now: Duration) -> f64 {
        let (demand, at) = self.demand;
        let passed = now.saturating_sub(at).div_duration_f64(DEMAND_DECAY);
        demand * (-passed).exp()
    }
}
