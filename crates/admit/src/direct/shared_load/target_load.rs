//! What one host knows of the load of one target.

use std::time::Duration;

use super::{EXPIRY, MAX_REQUESTS, SaidLoad, decay, decay_told};

/// What the collector tells a host about one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldLoad {
    /// Hash of the target's process.
    pub target: u32,
    /// Requests of other hosts in flight at it.
    pub others: u16,
    /// Its pace, in percent, and the age of that; `None` if it is the usual one or unknown.
    pub pace: Option<(u16, Duration)>,
}

/// A figure, and when it was true.
#[derive(Clone, Copy, Debug)]
struct Known<T> {
    value: T,
    at: Duration,
}

impl<T> Known<T> {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at)
    }
}

/// Load of one target: what it said to this host, and what the collector told.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetLoad {
    /// Requests in the target's last response to this host.
    own: Option<Known<OwnLoad>>,
    /// Requests of other hosts, by the collector's last answer.
    told: Option<Known<u16>>,
    /// Pace, by whichever source is fresher.
    pace: Option<Known<u16>>,
}

/// Requests at a target as of a response.
#[derive(Clone, Copy, Debug)]
struct OwnLoad {
    total: u16,
    /// Those of other hosts.
    others: u16,
}

impl TargetLoad {
    /// Opens the state of a target of which nothing is known.
    pub fn open() -> TargetLoad {
        TargetLoad::default()
    }

    /// Records the load of a response; `in_flight` are the other requests of this host at the
    /// target.
    pub fn record_own(&mut self, total: u32, pace: Option<u32>, in_flight: u32, now: Duration) {
        let cap = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let value = OwnLoad {
            total: cap(total),
            others: cap(total.saturating_sub(in_flight)),
        };
        self.own = Some(Known { value, at: now });
        if let Some(pace) = pace {
            self.record_pace(cap(pace), now);
        }
    }

    /// Records the collector's answer to a question sent at `sent`: what it tells of this target, or
    /// that it tells nothing.
    pub fn record_told(&mut self, told: Option<&ToldLoad>, sent: Duration) {
        // Answers may arrive out of order.
        if self.told.is_some_and(|known| known.at > sent) {
            return;
        }
        self.told = told.map(|told| Known {
            value: told.others.min(MAX_REQUESTS),
            at: sent,
        });
        if let Some((pace, age)) = told.and_then(|told| told.pace) {
            self.record_pace(pace, sent.saturating_sub(age));
        }
    }

    fn record_pace(&mut self, value: u16, at: Duration) {
        if self.pace.is_none_or(|known| known.at <= at) {
            self.pace = Some(Known { value, at });
        }
    }

    /// Returns the estimated number of other hosts' requests at the target.
    ///
    /// A response that is newer than the collector's answer counts alone. Otherwise the larger of
    /// the two does: a collector that some hosts do not reach tells too little.
    pub fn others(&self, now: Duration) -> u32 {
        let own = self.own;
        let own_others = own.map_or(0, |own| decay(own.value.others, own.age(now)));
        let is_newer = |told: &Known<u16>| own.is_none_or(|own| own.at <= told.at);
        let told = self.told.filter(is_newer);
        let told = told.map_or(0, |told| decay_told(told.value, told.age(now)));
        own_others.max(told).into()
    }

    /// Returns how long work takes at the target at the moment, as a multiple of the usual time;
    /// 1.0 if that is unknown.
    pub fn pace(&self, now: Duration) -> f64 {
        let said = self.pace.map(|pace| SaidLoad {
            total: 0,
            pace: Some(pace.value),
            age: pace.age(now),
        });
        said.map_or(1.0, |said| said.pace_factor())
    }

    /// Returns the age of the pace; `None` if the target never reported one.
    pub fn pace_age(&self, now: Duration) -> Option<Duration> {
        self.pace.map(|pace| pace.age(now))
    }

    /// Returns the age of the last response to this host that reported a load; its age from the
    /// start of the clock if there was none.
    pub fn own_age(&self, now: Duration) -> Duration {
        self.own.map_or(now, |own| own.age(now))
    }

    /// Returns what the target said to this host after `since`, unless it has expired.
    pub fn said_since(&self, since: Duration, now: Duration) -> Option<SaidLoad> {
        let own = self.own.filter(|own| own.at > since)?;
        let pace = self.pace.filter(|pace| pace.at == own.at);
        let said = SaidLoad {
            total: own.value.total,
            pace: pace.map(|pace| pace.value),
            age: own.age(now),
        };
        (said.age < EXPIRY).then_some(said)
    }
}
