//! Limits on the open connections of a host, and the eviction of idle ones.
//!
//! In a burst, callers retry on new connections and leave the old ones open. Each of those is kept
//! until its idle timeout, and within seconds they are all that the host may hold. A host that
//! stops accepting then looks alive from outside: callers wait in its listen queue, give up, and
//! their requests are read seconds later, when their responses are no longer wanted.
//!
//! So a host always accepts. Near its limit it closes the connections that have been idle longest,
//! and at the limit a new connection is refused at once with a retry-after. Idle connections to
//! targets have a limit of their own, since each of them saves a target an accept.

/// File descriptors that are not connections, and those of connections to the store and to other
/// hosts: systems keep some 200 for files, and a host has about 20 of its own.
const RESERVED_DESCRIPTORS: u32 = 220;

/// Connections that the control thread serves: mostly lookups, each of which lasts milliseconds.
const CONTROL_CONNECTIONS: u32 = 640;

/// Maximum fraction of the descriptors that each of the two above takes, where there are few.
const RESERVED_FRACTION: f64 = 0.25;

/// Fraction of the limit above which idle connections are closed. A closed connection is read for a
/// tenth of a second more before its descriptor is free; in that time a burst opens a few hundred.
const LOW_WATERMARK: f64 = 0.75;

/// Fraction of the limit above which connections are closed after their next response: the
/// long-idle ones are closed by then, and that was not enough.
const HIGH_WATERMARK: f64 = 0.9;

/// Fraction of the limit that idle connections to targets may take.
const MAX_IDLE_FRACTION: f64 = 0.25;

/// Connections closed for each accepted one: more than one, so that the number falls while a burst
/// goes on, and few, so that no turn of the event loop is long.
const EVICTED_PER_ACCEPT: u32 = 2;

/// Limits on the open connections of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers and to targets together.
    pub max_open: u32,
    /// Connections that the control thread serves.
    pub control: u32,
}

/// Counts of a host's open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenConnections {
    /// Connections of callers, including idle ones.
    pub callers: u32,
    /// Connections to targets, including idle ones.
    pub targets: u32,
}

/// Decision about a connection that a caller has just opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// Serve it.
    Accept,
    /// Serve it, and close this many of the connections that have been idle longest.
    AcceptAndEvict(u32),
    /// Refuse its request at once and close it, and close this many idle connections.
    Refuse(u32),
}

impl ConnectionLimits {
    /// Returns the limits of a process that may have `descriptors` open files.
    pub fn for_descriptors(descriptors: u32) -> ConnectionLimits {
        let fraction = (f64::from(descriptors) * RESERVED_FRACTION) as u32;
        let control = CONTROL_CONNECTIONS.min(fraction);
        ConnectionLimits {
            max_open: descriptors - control - RESERVED_DESCRIPTORS.min(fraction),
            control,
        }
    }

    /// Returns whether so many connections are open that idle ones should be closed.
    pub fn above_low_watermark(&self, open: OpenConnections) -> bool {
        self.is_above(open, LOW_WATERMARK)
    }

    /// Returns whether so many connections are open that each should be closed after its next
    /// response.
    pub fn above_high_watermark(&self, open: OpenConnections) -> bool {
        self.is_above(open, HIGH_WATERMARK)
    }

    fn is_above(&self, open: OpenConnections, fraction: f64) -> bool {
        f64::from(open.callers + open.targets) >= f64::from(self.max_open) * fraction
    }

    /// Decides about a connection that was just accepted; `open` does not count it.
    pub fn on_accept(&self, open: OpenConnections) -> AcceptDecision {
        if open.callers + open.targets >= self.max_open {
            AcceptDecision::Refuse(EVICTED_PER_ACCEPT)
        } else if self.above_low_watermark(open) {
            AcceptDecision::AcceptAndEvict(EVICTED_PER_ACCEPT)
        } else {
            AcceptDecision::Accept
        }
    }

    /// Returns the maximum number of idle connections to targets.
    pub fn max_idle(&self) -> u32 {
        (f64::from(self.max_open) * MAX_IDLE_FRACTION) as u32
    }
}
