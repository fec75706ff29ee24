//! Fair shares of the workspaces in the room that is short.
//!
//! Max-min: a workspace that asks for less than its equal share gets all that it asks for, and what
//! it leaves is divided equally among the others.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::Decaying;

/// Time over which a workspace's requests count.
const SHARE_TIME: Duration = Duration::from_secs(2);

/// Workspaces that are counted; the one that asked for least makes room for another. A host gets
/// some tens of requests a second, so those left out have asked for next to nothing.
const MAX_WORKSPACES: usize = 64;

/// Interval between two computations of the fair share.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);

/// Requests of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    asked: Decaying,
    let_in: Decaying,
}

/// What workspaces asked for and got lately.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    /// At most [`MAX_WORKSPACES`].
    uses: BTreeMap<Arc<str>, Use>,
    /// Requests that the fair share allows one workspace, and when it was computed; infinite while
    /// all were let in.
    level: Option<(f64, Duration)>,
}

impl FairShares {
    /// Opens shares of which none is used.
    pub fn open() -> FairShares {
        FairShares::default()
    }

    /// Records a request of a workspace.
    pub fn record(&mut self, workspace: &Arc<str>, is_refused: bool, now: Duration) {
        if !self.uses.contains_key(workspace) {
            self.make_room(now);
        }
        let used = self.uses.entry(Arc::clone(workspace)).or_default();
        used.asked.add(1.0, SHARE_TIME, now);
        let let_in = f64::from(u8::from(!is_refused));
        used.let_in.add(let_in, SHARE_TIME, now);
    }

    /// Whether a workspace has had more than its fair share. One alone has none: nobody else could
    /// use the room.
    pub fn is_above(&mut self, workspace: &str, now: Duration) -> bool {
        let level = self.level(now);
        let used = self.uses.get(workspace);
        self.uses.len() > 1 && used.is_some_and(|u| u.let_in.value(SHARE_TIME, now) > level)
    }

    fn level(&mut self, now: Duration) -> f64 {
        let is_recent = |(_, at): &(f64, Duration)| now < *at + LEVEL_INTERVAL;
        if let Some((level, _)) = self.level.filter(is_recent) {
            return level;
        }
        let asked: Vec<_> = self
            .uses
            .values()
            .map(|u| u.asked.value(SHARE_TIME, now))
            .collect();
        let let_in = self.uses.values().map(|u| u.let_in.value(SHARE_TIME, now));
        let level = max_min_level(asked, let_in.sum());
        self.level = Some((level, now));
        level
    }

    /// Removes the workspace that asked for least if the table is full.
    fn make_room(&mut self, now: Duration) {
        if self.uses.len() < MAX_WORKSPACES {
            return;
        }
        let asked = |u: &Use| u.asked.value(SHARE_TIME, now);
        let least = self
            .uses
            .iter()
            .min_by(|(_, a), (_, b)| asked(a).total_cmp(&asked(b)))
            .map(|(name, _)| Arc::clone(name));
        least.into_iter().for_each(|name| {
            self.uses.remove(&name);
        });
    }
}

/// Returns the largest amount that one may have so that all together, each of which gets no more
/// than it asked for, get `room`; infinite if they asked for no more than that.
fn max_min_level(mut asked: Vec<f64>, room: f64) -> f64 {
    asked.sort_by(f64::total_cmp);
    let (mut left, mut count) = (room, asked.len());
    for amount in asked {
        if amount * count as f64 > left {
            return left / count as f64;
        }
        left -= amount;
        count -= 1;
    }
    f64::INFINITY
}
