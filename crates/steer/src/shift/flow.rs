//! The shares of one service's callers in one region.

use std::{sync::Arc, time::Duration};

use dunlinrock_config::goal::Row;

use super::{MAX_LEAD, MAX_STEP, PACE, PEER_WINDOWS};
use crate::{DesiredSplit, hash};

/// Share below which a difference is rounding.
const LEAST: f64 = 1e-9;

/// Shortest window that is reckoned with; a speed is the cap by the window.
const SHORTEST: Duration = Duration::from_millis(1);

/// One serving region of a lane.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) region: Arc<str>,
    /// Hash of the region's name.
    pub(super) hash: u64,
    /// Its share now, 0 to 1.
    pub(super) share: f64,
    /// The share that it is to have, as far as ceilings allow, 0 to 1.
    pub(super) target: f64,
    /// Whether it can serve at all.
    pub(super) eligible: bool,
}

/// The shares of one service's callers in one region.
#[derive(Clone, Debug)]
pub(super) struct Lane {
    /// In order of region. Invariant: the shares sum up to 1, and so do the targets; or there are
    /// no parts, where nobody can serve.
    pub(super) parts: Vec<Part>,
    /// Region of the callers.
    home: Arc<str>,
    /// Speed of the way to the targets now, in shares a second; 0 while held.
    pub(super) speed: f64,
    /// Part of the traffic that is not where the goal wants it, be it held by ceilings or not.
    pub(super) behind: f64,
    /// Length of the cap's window.
    pub(super) window: Duration,
    /// When the last step was taken.
    stepped: Duration,
    /// Since when slower peers hold the lane.
    held: Option<Duration>,
    /// TrafficSplit of peers.
    peers: Vec<Row>,
}

impl Lane {
    pub(super) fn open(home: &Arc<str>, row: &Row, now: Duration) -> Self {
        let mut lane = Self {
            home: home.clone(),
            parts: Vec::new(),
            speed: 0.0,
            behind: 0.0,
            window: Duration::ZERO,
            stepped: now,
            held: None,
            peers: Vec::new(),
        };
        for (region, share) in row {
            lane.part(region).share = *share;
        }
        lane
    }

    /// The part of a region, made where there is none.
    fn part(&mut self, region: &Arc<str>) -> &mut Part {
        let found = self.parts.binary_search_by(|part| part.region.cmp(region));
        let at = found.unwrap_or_else(|at| {
            let part = Part {
                region: region.clone(),
                hash: hash::hash_str(region),
                share: 0.0,
                target: 0.0,
                eligible: false,
            };
            self.parts.insert(at, part);
            at
        });
        &mut self.parts[at]
    }

    pub(super) fn row(&self) -> Row {
        let parts = self.parts.iter().filter(|part| part.share > 0.0);
        parts
            .map(|part| (part.region.clone(), part.share))
            .collect()
    }

    pub(super) fn hear<'r>(&mut self, rows: impl Iterator<Item = &'r Row>) {
        self.peers = rows.cloned().collect();
    }

    /// Takes a row over as it is.
    pub(super) fn follow(&mut self, row: &Row) {
        for part in &mut self.parts {
            part.share = 0.0;
        }
        for (region, share) in row {
            self.part(region).share = *share;
        }
    }

    /// Part of the traffic that is still to move as far as ceilings allow now.
    pub(super) fn remaining(&self) -> f64 {
        self.parts.iter().map(Part::gain).sum()
    }

    /// Takes one step towards the goal.
    pub(super) fn steer(&mut self, goal: &DesiredSplit, ceilings: Option<&Row>, now: Duration) {
        self.window = goal.window;
        if self.parts.is_empty() {
            // Nothing was served, so nothing moves.
            for (region, share) in &goal.shares {
                self.part(region).share = *share;
            }
        }
        self.aim(goal, ceilings);
        let speed = PACE * goal.cap / goal.window.max(SHORTEST).as_secs_f64();
        let most = goal.window.mul_f64(MAX_STEP);
        let time = now.saturating_sub(self.stepped).min(most);
        self.stepped = now;
        let remaining = self.remaining();
        let free = self.free(goal, now);
        self.speed = if free > 0.0 && remaining > LEAST {
            speed
        } else {
            0.0
        };
        self.step(remaining, (speed * time.as_secs_f64()).min(free));
        self.parts
            .retain(|part| part.share > 0.0 || part.target > 0.0);
        let behind = self.distance(&goal.shares);
        self.behind = if behind > LEAST { behind } else { 0.0 };
    }

    fn distance(&self, goal: &Row) -> f64 {
        let parts = self.parts.iter().map(|part| (&part.region, part.share));
        distance(parts, goal)
    }

    /// Sets the targets: the goal, but nothing above a ceiling that is not there already.
    fn aim(&mut self, goal: &DesiredSplit, ceilings: Option<&Row>) {
        for part in &mut self.parts {
            part.target = 0.0;
            part.eligible = goal.eligible.contains(&part.region);
        }
        for (region, share) in &goal.shares {
            let part = self.part(region);
            part.eligible = true;
            part.target = *share;
        }
        let ceiling = |region: &Arc<str>| ceilings.and_then(|row| row.get(region)).copied();
        for part in &mut self.parts {
            if let Some(ceiling) = ceiling(&part.region) {
                part.target = part.target.min(ceiling.max(0.0));
            }
        }
        let home = self.home.clone();
        self.balance(&home, ceilings);
    }

    /// Brings the targets to a sum of 1 where ceilings cut some.
    ///
    /// What cannot be taken up stays where it is if that can serve; else the callers' own region
    /// takes it up to its ceiling, which is how work comes home from a region that no longer
    /// grants anything; else it stays, to be refused.
    fn balance(&mut self, home: &str, ceilings: Option<&Row>) {
        let mut missing = 1.0 - self.parts.iter().map(|part| part.target).sum::<f64>();
        self.keep(&mut missing, |part| part.eligible && *part.region == *home);
        if let Some(part) = self.parts.iter_mut().find(|part| *part.region == *home)
            && part.eligible
            && missing > 0.0
        {
            let ceiling = ceilings.and_then(|row| row.get(home)).copied();
            let room = ceiling.unwrap_or(1.0) - part.target;
            let taken = missing.min(room.max(0.0));
            part.target += taken;
            missing -= taken;
        }
        self.keep(&mut missing, |part| part.eligible);
        self.keep(&mut missing, |_| true);
    }

    /// Lets parts keep what they have above their targets, up to what is missing in all.
    fn keep(&mut self, missing: &mut f64, which: impl Fn(&Part) -> bool) {
        let kept = |part: &Part| match which(part) {
            true => (part.share - part.target).max(0.0),
            false => 0.0,
        };
        let room: f64 = self.parts.iter().map(kept).sum();
        if room <= 0.0 || *missing <= 0.0 {
            return;
        }
        let ratio = (*missing / room).min(1.0);
        for part in &mut self.parts {
            part.target += kept(part) * ratio;
        }
        *missing -= room * ratio;
    }

    /// How much may move before the lane is too far ahead of its slowest peer.
    fn free(&mut self, goal: &DesiredSplit, now: Duration) -> f64 {
        let own = self.distance(&goal.shares);
        let of_peer = |row: &Row| distance(row.iter().map(|(r, s)| (r, *s)), &goal.shares);
        let slowest = self.peers.iter().map(of_peer).fold(0.0, f64::max);
        let free = own - slowest + MAX_LEAD * goal.cap;
        if free > LEAST {
            self.held = None;
            return free;
        }
        let since = *self.held.get_or_insert(now);
        if now.saturating_sub(since) > goal.window.saturating_mul(PEER_WINDOWS) {
            return 1.0;
        }
        0.0
    }

    /// Moves up to `most` of the traffic on the straight way to the targets.
    fn step(&mut self, remaining: f64, most: f64) {
        if remaining <= LEAST {
            return;
        }
        let part = (most / remaining).clamp(0.0, 1.0);
        for p in &mut self.parts {
            p.share = match part {
                1.0 => p.target,
                part => p.share + (p.target - p.share) * part,
            };
        }
    }
}

impl Part {
    fn gain(&self) -> f64 {
        (self.target - self.share).max(0.0)
    }
}

/// Part of the traffic that two rows send elsewhere.
fn distance<'r>(row: impl Iterator<Item = (&'r Arc<str>, f64)>, goal: &Row) -> f64 {
    let gain = |(region, share): (&Arc<str>, f64)| {
        (share - goal.get(region).copied().unwrap_or(0.0)).max(0.0)
    };
    row.map(gain).sum()
}
