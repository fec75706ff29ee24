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
const FILES: u32 = 220;

/// Connections that the control duty serves: look-ups above all, each of which lasts milliseconds.
const CONTROL: u32 = 640;

/// Part of the limit that each of the two above takes at most, where the limit is small.
const PART: f64 = 0.25;

/// Part of the bound above which idle connections are closed. A closed connection is read for a tenth
/// of a second more before its descriptor is free; in that time a burst opens a few hundred.
const PRESSED: f64 = 0.75;

/// Part of the bound above which connections end with their next answer: those that have been idle
/// for long are gone by then, and did not suffice.
const TIGHT: f64 = 0.9;

/// Part of the bound that idle connections to targets may take.
const KEPT: f64 = 0.25;

/// Connections closed for one that arrives: more than one, so that the number falls while a burst
/// goes on, and few, so that no turn of the loop is long.
const CLOSED: u32 = 2;

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
        let part = (f64::from(descriptors) * PART) as u32;
        let control = CONTROL.min(part);
        ConnectionLimits {
            max_open: descriptors - control - FILES.min(part),
            control,
        }
    }

    /// Whether so many are held that idle ones should go.
    pub fn above_low_watermark(&self, held: OpenConnections) -> bool {
        self.has_part(held, PRESSED)
    }

    /// Whether so many are held that each should end with its next answer.
    pub fn above_high_watermark(&self, held: OpenConnections) -> bool {
        self.has_part(held, TIGHT)
    }

    fn has_part(&self, held: OpenConnections, part: f64) -> bool {
        f64::from(held.callers + held.targets) >= f64::from(self.max_open) * part
    }

    /// Decides about a connection that arrives; `held` does not count it.
    pub fn on_accept(&self, held: OpenConnections) -> AcceptDecision {
        if held.callers + held.targets >= self.max_open {
            AcceptDecision::Refuse(CLOSED)
        } else if self.above_low_watermark(held) {
            AcceptDecision::AcceptAndEvict(CLOSED)
        } else {
            AcceptDecision::Accept
        }
    }

    /// Idle connections to targets that may be kept.
    pub fn max_idle(&self) -> u32 {
        (f64::from(self.max_open) * KEPT) as u32
    }
}
