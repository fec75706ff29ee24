//! Whether a target is asked how fast it is before a request goes to it.
//!
//! The pace of a target's machine holds for less than a second, and one host meets a target every
//! few seconds, so what it knows from answers is too old. Since a run takes the pace that the
//! machine has at its start, a short question just before the send is worth far more, as in Prequal
//! (Wydrowski et al., "Load is not what you should balance", NSDI 2024).

use std::time::Duration;

/// Age up to which a known pace is used without a question.
const FRESH: Duration = Duration::from_millis(100);

/// Fraction of a usual run that a question may take. Beyond it, the question costs more requests
/// their objective than it saves.
const MAX_COST: f64 = 0.12;

/// Minimum time that a question is waited for; a busy host may take this long to read the answer.
const MIN_TIMEOUT: Duration = Duration::from_millis(10);

/// What decides whether a target is asked.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// Time since the target's pace was last heard; `None` if it never was.
    pub age: Option<Duration>,
    /// Round trip to the target.
    pub way: Duration,
    /// Usual time of a run on the route.
    pub usual: Duration,
}

impl Question {
    /// Returns how long an answer is waited for; `None` if the target is not asked.
    pub fn timeout(&self) -> Option<Duration> {
        let is_known = self.age.is_some_and(|age| age <= FRESH);
        let most = self.usual.mul_f64(MAX_COST);
        let is_near = self.way <= most && MIN_TIMEOUT <= most;
        (is_near && !is_known).then(|| (self.way * 2).max(MIN_TIMEOUT).min(most))
    }
}
