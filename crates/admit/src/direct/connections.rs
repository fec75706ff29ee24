//! How many connections a host holds, and which go first when it holds nearly all it may.
//!
//! Load: a burst whose callers repeat on new connections and leave the old ones open. Each of those
//! is kept until its idle time is over, and within seconds they are all that the host may hold. A host
//! that stops accepting then looks alive from outside: callers wait in its listen queue, give up, and
//! are read seconds later, when nobody wants their answers any more.
//!
//! So a host always accepts. Near its bound it closes what has been idle longest, and at the bound a
//! new connection is told at once when to come back. Kept connections to targets have a part of their
//! own, since each of them saves a target an accept.

/// Descriptors that are no connections, and those to the store and to other hosts: systems keep some
/// 200 for files, and a host has about 20 of its own.
const RESERVED_DESCRIPTORS: u32 = 220;

/// Connections that the control duty serves: look-ups above all, each of which lasts milliseconds.
const CONTROL_CONNECTIONS: u32 = 640;

/// Part of the limit that each of the two above takes at most, where the limit is small.
const RESERVED_FRACTION: f64 = 0.25;

/// Part of the bound above which idle connections are closed. A closed connection is read for a tenth
/// of a second more before its descriptor is free; in that time a burst opens a few hundred.
const LOW_WATERMARK: f64 = 0.75;

/// Part of the bound above which connections end with their next answer: those that have been idle
/// for long are gone by then, and did not suffice.
const HIGH_WATERMARK: f64 = 0.9;

/// Part of the bound that idle connections to targets may take.
const MAX_IDLE_FRACTION: f64 = 0.25;

/// Connections closed for one that arrives: more than one, so that the number falls while a burst
/// goes on, and few, so that no turn of the loop is long.
const EVICTED_PER_ACCEPT: u32 = 2;

/// How many connections a host may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers and to targets together.
    pub max_open: u32,
    /// Connections that the control duty serves.
    pub control: u32,
}

/// Connections that a host holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenConnections {
    /// Connections of callers, idle ones too.
    pub callers: u32,
    /// Connections to targets, idle ones too.
    pub targets: u32,
}

/// What becomes of a connection that a caller has just opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptDecision {
    /// It is served.
    Accept,
    /// It is served, and so many of those that have been idle longest are closed.
    AcceptAndEvict(u32),
    /// Its request is refused at once, and it is closed; so are idle ones.
    Refuse(u32),
}

impl ConnectionLimits {
    /// The bound of a process that may have `descriptors` open files.
    pub fn for_descriptors(descriptors: u32) -> ConnectionLimits {
        let fraction = (f64::from(descriptors) * RESERVED_FRACTION) as u32;
        let control = CONTROL_CONNECTIONS.min(fraction);
        ConnectionLimits {
            max_open: descriptors - control - RESERVED_DESCRIPTORS.min(fraction),
            control,
        }
    }

    /// Whether so many are held that idle ones should go.
    pub fn above_low_watermark(&self, open: OpenConnections) -> bool {
        self.is_above(open, LOW_WATERMARK)
    }

    /// Whether so many are held that each should end with its next answer.
    pub fn above_high_watermark(&self, open: OpenConnections) -> bool {
        self.is_above(open, HIGH_WATERMARK)
    }

    fn is_above(&self, open: OpenConnections, fraction: f64) -> bool {
        f64::from(open.callers + open.targets) >= f64::from(self.max_open) * fraction
    }

    /// Decides about a connection that arrives; `held` does not count it.
    pub fn on_accept(&self, open: OpenConnections) -> AcceptDecision {
        if open.callers + open.targets >= self.max_open {
            AcceptDecision::Refuse(EVICTED_PER_ACCEPT)
        } else if self.above_low_watermark(open) {
            AcceptDecision::AcceptAndEvict(EVICTED_PER_ACCEPT)
        } else {
            AcceptDecision::Accept
        }
    }

    /// Idle connections to targets that may be kept.
    pub fn max_idle(&self) -> u32 {
        (f64::from(self.max_open) * MAX_IDLE_FRACTION) as u32
    }
}
