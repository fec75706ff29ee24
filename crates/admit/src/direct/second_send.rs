//! Whether a repeatable request whose run takes unusually long is sent a second time, and to which
//! target.

/// Pace from which on a target does not get a second send.
const SLOW_PACE: f64 = 1.5;

/// Lost first sends in a row, without an answer between them, after which the next one counts
/// against the target: it hangs, and second sends hide that.
const MAX_LOST: u32 = 3;

/// What a host knows of a target that may get a second send.
#[derive(Clone, Copy, Debug)]
pub struct SecondTarget {
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Requests that it runs or queues.
    pub busy: u32,
    /// Time that work takes there now, as a multiple of the usual.
    pub pace: f64,
}

impl SecondTarget {
    /// Whether the target would run a second send at once and at its usual speed.
    pub fn is_suitable(&self) -> bool {
        self.busy < self.slots && self.pace < SLOW_PACE
    }
}

/// First sends to a target that second sends have overtaken.
#[derive(Clone, Copy, Debug, Default)]
pub struct LostSends {
    in_row: u32,
}

impl LostSends {
    /// Records that a second send has overtaken one to this target; returns whether that counts
    /// against the target. One slow run says nothing of the next.
    pub fn record_lost(&mut self) -> bool {
        self.in_row = self.in_row.saturating_add(1);
        self.in_row >= MAX_LOST
    }

    /// Records that the target has answered.
    pub fn record_answer(&mut self) {
        self.in_row = 0;
    }
}
