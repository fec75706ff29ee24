//! A lease in the store, with a fencing token.
//!
//! The lease is a value that its holder renews by compare-and-swap. The danger is a holder that is
//! paused, or whose renewal's answer is lost: another takes the lease, and two act. So:
//!
//! * a holder counts its time from *before* it sent the renewal, on its own monotonic clock, and
//!   stops [`Timings::margin`] earlier than others may begin;
//! * others count from when they first *saw* the value, which is later than it was written;
//! * [`Lease::token`] must be called right before each act, and whatever is acted upon refuses a
//!   token lower than one it has seen: a pause between the call and the act defeats every clock.
//!
//! Nothing in this crate needs a lease: the root is moved by compare-and-swap, sweeps are marked,
//! two relays do no harm. It is for users whose effects can be fenced.
//!
//! ```
//! use std::time::Duration;
//!
//! use dunlinrock_coord::lease::{Answer, Ask, Lease, Timings};
//!
//! let mut lease = Lease::open("h1".into(), Timings::default());
//! let now = Duration::ZERO;
//! assert_eq!(lease.poll(now), Some(Ask::Read));
//! lease.answer(now, Answer::Value(None));
//! assert!(matches!(lease.poll(now), Some(Ask::Write { expect: None, .. })));
//! lease.answer(now, Answer::Written(7));
//! assert_eq!(lease.token(now), Some(1));
//! assert_eq!(lease.token(Duration::from_secs(9)), None);
//! ```

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::coord::LeaseRecord;

use crate::root::Version;

/// Times of a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timings {
    /// Time for which a renewal holds.
    pub ttl: Duration,
    /// Time between renewals.
    pub renew: Duration,
    /// How much earlier than `ttl` the holder stops: covers clocks that run at differing speeds.
    pub margin: Duration,
    /// Wait after a failed operation, and between two looks at another's lease.
    pub retry: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(9),
            renew: Duration::from_secs(3),
            margin: Duration::from_secs(1),
            retry: Duration::from_millis(500),
        }
    }
}

/// An operation on the lease's key; one is under way at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// Read the value.
    Read,
    /// Write the value if its version is still this one (`None`: if there is none).
    Write {
        /// The version it must have.
        expect: Option<Version>,
        /// The value.
        record: LeaseRecord,
    },
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value with its version, or that there is none.
    Value(Option<(LeaseRecord, Version)>),
    /// Written, under this version.
    Written(Version),
    /// The version was another one.
    Conflict,
    /// No answer; a write may have taken effect or may still do so.
    Failed,
}

/// A value of another holder.
#[derive(Clone, Debug, PartialEq)]
struct Other {
    version: Version,
    /// When this version was first seen here.
    seen: Duration,
}

/// A lease as one host sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Arc<str>,
    timings: Timings,
    /// The value as last read or written; `None` while a read is due.
    known: Option<Option<(LeaseRecord, Version)>>,
    other: Option<Other>,
    /// Token held, and when the renewal that holds it was sent.
    held: Option<(u64, Duration)>,
    /// The write under way, and when it was sent.
    sent: Option<(LeaseRecord, Duration)>,
    /// Highest token ever held; a lease that was lost is only held again under a higher one.
    last: u64,
    /// Writes sent so far. Each has its own `renewal`, so that a value that is read can be told
    /// from an equal one of an earlier write, whose time began earlier.
    writes: u64,
    pending: bool,
    wait: Duration,
    /// Whether the lease is being given back.
    leaving: bool,
}

impl Lease {
    /// Begins to try for the lease. `me` names this process and no earlier one of its host.
    pub fn open(me: Arc<str>, timings: Timings) -> Self {
        Self {
            me,
            timings,
            known: None,
            other: None,
            held: None,
            sent: None,
            last: 0,
            writes: 0,
            pending: false,
            wait: Duration::ZERO,
            leaving: false,
        }
    }

    /// The fencing token, while the lease surely holds.
    pub fn token(&self, now: Duration) -> Option<u64> {
        let (token, since) = self.held?;
        let until = since + self.timings.ttl.saturating_sub(self.timings.margin);
        (now < until).then_some(token)
    }

    /// Gives the lease back, so that others need not wait for it to lapse.
    pub fn give_back(&mut self) {
        self.leaving = true;
        self.held = None;
        self.wait = Duration::ZERO;
    }

    /// The operation to begin now.
    pub fn poll(&mut self, now: Duration) -> Option<Ask> {
        if self.pending || now < self.wait {
            return None;
        }
        let ask = match self.known.clone() {
            None => Some(Ask::Read),
            Some(value) => self.next(value, now),
        };
        self.pending = ask.is_some();
        ask
    }

    fn next(&mut self, value: Option<(LeaseRecord, Version)>, now: Duration) -> Option<Ask> {
        let Some((record, version)) = value else {
            return (!self.leaving).then(|| self.send(None, 1, now));
        };
        if record.holder == self.me && self.held.is_some_and(|(token, _)| token == record.token) {
            return Some(self.send(Some(version), record.token, now));
        }
        if self.leaving {
            return self.release(&record, version, now);
        }
        // A write of this host that arrived late, after it was given up: nobody acts on it.
        let stray = record.holder == self.me;
        if stray || record.holder.is_empty() || self.lapsed(&record, version, now) {
            return Some(self.send(Some(version), record.token + 1, now));
        }
        self.known = None;
        self.wait = now + self.timings.retry;
        None
    }

    fn release(&mut self, record: &LeaseRecord, version: Version, now: Duration) -> Option<Ask> {
        if record.holder != self.me || record.token != self.last {
            return None;
        }
        let mut ask = self.send(Some(version), record.token, now);
        if let Ask::Write { record, .. } = &mut ask {
            record.holder = "".into();
        }
        self.sent = None;
        Some(ask)
    }

    /// Whether another's value has stood unchanged for its whole time, here.
    fn lapsed(&mut self, record: &LeaseRecord, version: Version, now: Duration) -> bool {
        match &self.other {
            Some(other) if other.version == version => {
                now >= other.seen + Duration::from_millis(record.ttl_ms)
            }
            _ => {
                let seen = now;
                self.other = Some(Other { version, seen });
                false
            }
        }
    }

    fn send(&mut self, expect: Option<Version>, token: u64, now: Duration) -> Ask {
        self.writes += 1;
        let record = LeaseRecord {
            holder: self.me.clone(),
            token,
            ttl_ms: self.timings.ttl.as_millis() as u64,
            renewal: self.writes,
        };
        self.sent = Some((record.clone(), now));
        Ask::Write { expect, record }
    }

    /// Takes the answer to the operation under way.
    pub fn answer(&mut self, now: Duration, answer: Answer) {
        if !std::mem::take(&mut self.pending) {
            return;
        }
        match answer {
            Answer::Written(version) => self.written(version, now),
            Answer::Value(value) => self.read(value),
            Answer::Conflict => {
                // Somebody else wrote, or an earlier write of this host arrived late.
                self.known = None;
            }
            Answer::Failed => {
                self.known = None;
                self.wait = now + self.timings.retry;
            }
        }
    }

    fn written(&mut self, version: Version, now: Duration) {
        let Some((record, since)) = self.sent.take() else {
            self.known = None;
            return;
        };
        self.last = record.token;
        if !self.leaving {
            self.held = Some((record.token, since));
        }
        self.known = Some(Some((record, version)));
        self.wait = now + self.timings.renew;
    }

    /// A value that is exactly the write whose answer was lost says that it took effect; it holds
    /// from before that write was sent.
    fn read(&mut self, value: Option<(LeaseRecord, Version)>) {
        let current = value.as_ref().map(|(record, _)| record);
        let sent = self.sent.take();
        let sent = sent.filter(|(record, _)| current == Some(record) && !self.leaving);
        if let Some((record, since)) = sent {
            self.last = record.token;
            self.held = Some((record.token, since));
        }
        let still = |record: &LeaseRecord| {
            let (token, _) = self.held.unwrap_or_default();
            record.holder == self.me && record.token == token
        };
        if !current.is_some_and(still) {
            self.held = None;
        }
        self.known = Some(value);
    }
}
