//! A lease in the store, with a fencing token.
//!
//! The lease is a value that its holder renews by compare-and-swap. The hazard is a holder that is
//! paused, or that does not receive the reply to a renewal: another host takes the lease, and both
//! act. Therefore:
//!
//! * a holder counts its time from *before* it sent the renewal, on its own monotonic clock, and
//!   stops [`Timings::margin`] before other hosts may take over;
//! * other hosts count from when they first *saw* the value, which is later than when it was
//!   written;
//! * [`Lease::token`] must be called right before each action, and the resource acted upon must
//!   refuse a token lower than one it has seen: no clock protects from a pause between the call and
//!   the action.
//!
//! No other module of this crate needs a lease: the root is replaced by compare-and-swap, sweeps
//! mark the root, and a second relay is harmless. The lease is for callers whose effects can be
//! fenced.
//!
//! ```
//! use std::time::Duration;
//!
//! use dunlinrock_coord::lease::{Lease, LeaseOp, LeaseReply, Timings};
//!
//! let mut lease = Lease::open("h1".into(), Timings::default());
//! let now = Duration::ZERO;
//! assert_eq!(lease.poll(now), Some(LeaseOp::Read));
//! lease.handle_reply(now, LeaseReply::Value(None));
//! assert!(matches!(lease.poll(now), Some(LeaseOp::Write { expect: None, .. })));
//! lease.handle_reply(now, LeaseReply::Written(7));
//! assert_eq!(lease.token(now), Some(1));
//! assert_eq!(lease.token(Duration::from_secs(9)), None);
//! ```

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::coord::LeaseRecord;

use crate::root::Version;

/// Timings of a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timings {
    /// Time for which a renewal is valid.
    pub ttl: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
    /// How much earlier than `ttl` the holder stops; covers clocks that run at different rates.
    pub margin: Duration,
    /// Delay after a failed operation, and between reads of a lease held by another host.
    pub retry_interval: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(9),
            renew_interval: Duration::from_secs(3),
            margin: Duration::from_secs(1),
            retry_interval: Duration::from_millis(500),
        }
    }
}

/// An operation on the lease's key; at most one is pending.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseOp {
    /// Read the value.
    Read,
    /// Write the value if its version is still this one (`None`: if there is no value).
    Write {
        /// The version that the value must have.
        expect: Option<Version>,
        /// The new value.
        record: LeaseRecord,
    },
}

/// The store's reply to an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseReply {
    /// The value with its version; `None` if there is no value.
    Value(Option<(LeaseRecord, Version)>),
    /// The value was written and has this version.
    Written(Version),
    /// The value had another version.
    Conflict,
    /// No reply; a write may have taken effect or may still do so.
    Failed,
}

/// A value of another holder.
#[derive(Clone, Debug, PartialEq)]
struct ObservedValue {
    version: Version,
    /// Time at which this version was first seen here.
    first_seen: Duration,
}

/// A lease as one host sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Arc<str>,
    timings: Timings,
    /// The value as last read or written; `None` while a read is due.
    current: Option<Option<(LeaseRecord, Version)>>,
    observed: Option<ObservedValue>,
    /// The token held, and the time at which the renewal that holds it was sent.
    held: Option<(u64, Duration)>,
    /// The pending write, and the time at which it was sent.
    sent_write: Option<(LeaseRecord, Duration)>,
    /// Highest token ever held; a lost lease can only be held again with a higher one.
    last_token: u64,
    /// Number of writes sent. It makes each `renewal` unique, so that a value can be told from an
    /// equal one of an earlier write, whose time started earlier.
    writes: u64,
    pending: bool,
    wait_until: Duration,
    /// Whether the lease is being released.
    releasing: bool,
}

impl Lease {
    /// Starts to acquire the lease. `me` must be unique to this process; an earlier process of the
    /// same host must not have used it.
    pub fn open(me: Arc<str>, timings: Timings) -> Self {
        Self {
            me,
            timings,
            current: None,
            observed: None,
            held: None,
            sent_write: None,
            last_token: 0,
            writes: 0,
            pending: false,
            wait_until: Duration::ZERO,
            releasing: false,
        }
    }

    /// Returns the fencing token while the lease is certainly held.
    pub fn token(&self, now: Duration) -> Option<u64> {
        let (token, since) = self.held?;
        let expires_at = since + self.timings.ttl.saturating_sub(self.timings.margin);
        (now < expires_at).then_some(token)
    }

    /// Releases the lease, so that other hosts need not wait until it expires.
    pub fn release(&mut self) {
        self.releasing = true;
        self.held = None;
        self.wait_until = Duration::ZERO;
    }

    /// Returns the operation to start now.
    pub fn poll(&mut self, now: Duration) -> Option<LeaseOp> {
        if self.pending || now < self.wait_until {
            return None;
        }
        let op = match self.current.clone() {
            None => Some(LeaseOp::Read),
            Some(value) => self.next_op(value, now),
        };
        self.pending = op.is_some();
        op
    }

    fn next_op(&mut self, value: Option<(LeaseRecord, Version)>, now: Duration) -> Option<LeaseOp> {
        let Some((record, version)) = value else {
            return (!self.releasing).then(|| self.write_op(None, 1, now));
        };
        if record.holder == self.me && self.held.is_some_and(|(token, _)| token == record.token) {
            return Some(self.write_op(Some(version), record.token, now));
        }
        if self.releasing {
            return self.release_op(&record, version, now);
        }
        // A write of this host that took effect late, after it was given up: no host acts on it.
        let is_late_write = record.holder == self.me;
        if is_late_write || record.holder.is_empty() || self.has_expired(&record, version, now) {
            return Some(self.write_op(Some(version), record.token + 1, now));
        }
        self.current = None;
        self.wait_until = now + self.timings.retry_interval;
        None
    }

    fn release_op(
        &mut self,
        record: &LeaseRecord,
        version: Version,
        now: Duration,
    ) -> Option<LeaseOp> {
        if record.holder != self.me || record.token != self.last_token {
            return None;
        }
        let mut op = self.write_op(Some(version), record.token, now);
        if let LeaseOp::Write { record, .. } = &mut op {
            record.holder = "".into();
        }
        self.sent_write = None;
        Some(op)
    }

    /// Returns whether another holder's value has stayed unchanged here for its whole time to live.
    fn has_expired(&mut self, record: &LeaseRecord, version: Version, now: Duration) -> bool {
        match &self.observed {
            Some(observed) if observed.version == version => {
                now >= observed.first_seen + Duration::from_millis(record.ttl_ms)
            }
            _ => {
                let first_seen = now;
                self.observed = Some(ObservedValue {
                    version,
                    first_seen,
                });
                false
            }
        }
    }

    fn write_op(&mut self, expect: Option<Version>, token: u64, now: Duration) -> LeaseOp {
        self.writes += 1;
        let record = LeaseRecord {
            holder: self.me.clone(),
            token,
            ttl_ms: self.timings.ttl.as_millis() as u64,
            renewal: self.writes,
        };
        self.sent_write = Some((record.clone(), now));
        LeaseOp::Write { expect, record }
    }

    /// Handles the reply to the pending operation.
    pub fn handle_reply(&mut self, now: Duration, reply: LeaseReply) {
        if !std::mem::take(&mut self.pending) {
            return;
        }
        match reply {
            LeaseReply::Written(version) => self.handle_written(version, now),
            LeaseReply::Value(value) => self.handle_value(value),
            LeaseReply::Conflict => {
                // Another host wrote, or an earlier write of this host took effect late.
                self.current = None;
            }
            LeaseReply::Failed => {
                self.current = None;
                self.wait_until = now + self.timings.retry_interval;
            }
        }
    }

    fn handle_written(&mut self, version: Version, now: Duration) {
        let Some((record, since)) = self.sent_write.take() else {
            self.current = None;
            return;
        };
        self.last_token = record.token;
        if !self.releasing {
            self.held = Some((record.token, since));
        }
        self.current = Some(Some((record, version)));
        self.wait_until = now + self.timings.renew_interval;
    }

    /// Handles a value that was read. If it equals the write whose reply was lost, that write took
    /// effect, and the lease is held from before it was sent.
    fn handle_value(&mut self, value: Option<(LeaseRecord, Version)>) {
        let read = value.as_ref().map(|(record, _)| record);
        let sent = self.sent_write.take();
        let sent = sent.filter(|(record, _)| read == Some(record) && !self.releasing);
        if let Some((record, since)) = sent {
            self.last_token = record.token;
            self.held = Some((record.token, since));
        }
        let is_ours = |record: &LeaseRecord| {
            let (token, _) = self.held.unwrap_or_default();
            record.holder == self.me && record.token == token
        };
        if !read.is_some_and(is_ours) {
            self.held = None;
        }
        self.current = Some(value);
    }
}
