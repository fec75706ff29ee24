//! The largest value that held within a lifetime of grants.

use std::{collections::VecDeque, time::Duration};

use super::GRANT_TTL;

/// A value that changes in steps, with its largest of late.
#[derive(Clone, Debug, Default)]
pub(super) struct WindowMax {
    /// Falling values, each with the time since when nothing above it held.
    maxima: VecDeque<(Duration, f64)>,
}

impl WindowMax {
    /// Notes the value that holds from now on.
    pub(super) fn add(&mut self, value: f64, now: Duration) {
        let mut since = now;
        while let Some((earlier, _)) = self.maxima.pop_back_if(|(_, other)| *other <= value) {
            since = earlier;
        }
        self.maxima.push_back((since, value));
        // A value held until the next began.
        while self.maxima.len() > 1 && now.saturating_sub(self.maxima[1].0) >= GRANT_TTL {
            self.maxima.pop_front();
        }
    }

    /// The largest value that held within the lifetime; `None` where there is none yet.
    pub(super) fn get(&self) -> Option<f64> {
        self.maxima.front().map(|(_, value)| *value)
    }
}
