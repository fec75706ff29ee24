//! Whether a host that reaches no target has lost its own links, or the targets are down.
//!
//! The host cannot tell by itself: in both cases no target accepts its connections. Other hosts can.
//! If one of them reaches targets, the host's own links are lost: its requests should run through
//! another host, and what it observes says nothing about the targets. If none of them does, the
//! targets are down.

/// Consecutive checks that must reach a target before lost links count as restored: a link that
/// flaps would send every second request into a timeout.
const RESTORED_AFTER: u32 = 2;

/// What a check of a host's links has found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCheck {
    /// Targets that were tried.
    pub tried: usize,
    /// Those of them that accepted a connection.
    pub reached: usize,
    /// Other hosts that were asked whether they reach targets.
    pub asked: usize,
    /// Those of them that answered.
    pub answered: usize,
    /// Those of them that reach targets.
    pub helpers: usize,
}

/// Status of a host's links to the targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkStatus {
    /// The host reaches targets.
    #[default]
    Up,
    /// The host reaches no target, and neither does any other host.
    TargetsDown,
    /// The host reaches no target, and others do, or it reaches no host either.
    Lost,
}

/// The links of one host to the targets, judged by checks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    status: LinkStatus,
    /// Consecutive checks that reached a target while the status is [`LinkStatus::Lost`].
    good_checks: u32,
}

impl Link {
    /// Opens links that are presumed to work.
    pub fn open() -> Link {
        Link::default()
    }

    /// Returns the current status.
    pub fn status(&self) -> LinkStatus {
        self.status
    }

    /// Records a check and returns the status after it.
    pub fn record(&mut self, check: LinkCheck) -> LinkStatus {
        if check.reached > 0 {
            self.good_checks += 1;
            if self.status != LinkStatus::Lost || self.good_checks >= RESTORED_AFTER {
                *self = Link::open();
            }
            return self.status;
        }
        self.good_checks = 0;
        if check.tried > 0 {
            let is_alone = check.asked > 0 && check.answered == 0;
            self.status = match check.helpers > 0 || is_alone {
                true => LinkStatus::Lost,
                false => LinkStatus::TargetsDown,
            };
        }
        self.status
    }
}
