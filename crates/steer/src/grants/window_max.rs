//! The maximum of a value over the last [`GRANT_TTL`].

use std::{collections::VecDeque, time::Duration};

use super::GRANT_TTL;

/// A value that changes in steps, with its recent maximum.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowMax {
    /// Falling values, each with the time since which no larger value has held.
    maxima: VecDeque<(Duration, f64)>,
}

impl WindowMax {
    /// Records the value that holds from now on.
    pub(super) fn add(&mut self, value: f64, now: Duration) {
        let mut since = now;
        while let Some((earlier, _)) = self.maxima.pop_back_if(|(_, other)| *other <= value) {
            since = earlier;
        }
        self.maxima.push_back((since, value));
        // A value held until the next one began.
        while self.maxima.len() > 1 && now.saturating_sub(self.maxima[1].0) >= GRANT_TTL {
            self.maxima.pop_front();
        }
    }

    /// Returns the largest value that held within the window; `None` if there is none yet.
    pub(super) fn get(&self) -> Option<f64> {
        self.maxima.front().map(|(_, value)| *value)
    }
}
