//! Adaptive-speed fairness for two resources.

use super::{Demand, dominant_use};

/// Fraction of a resource below which it counts as used up.
const EPSILON: f64 = 1e-12;

/// Starts with an equal part for each user, then raises the users of the first resource and those
/// of the second at a ratio that depends on the remaining capacity.
///
/// The rule ASF2 of Y. Lou and J. Luo, *Strategy-proof Multi-Resource Allocation in Cloud Computing
/// via Adaptive-Speed Fairness*: within each group, the users with least of the other resource rise
/// first. The paper's users have unlimited demands; here, what a user does not want stays unused,
/// so the rule fits users that want more than they can get.
pub fn adaptive(capacity: [f64; 2], demands: &[Demand]) -> Vec<f64> {
    let mut state = State::open(capacity, demands);
    if let Some(speed) = state.speed() {
        while state.advance(speed) {}
    }
    let units = state.users.iter().zip(demands);
    units
        .map(|(user, demand)| user.units().min(demand.max_units))
        .collect()
}

/// One user, in fractions of the resources.
#[derive(Clone, Copy, Debug)]
struct User {
    /// Use of each resource relative to the dominant one; the larger is 1.
    uses: [f64; 2],
    /// Fraction of the dominant resource that the user has.
    fraction: f64,
    /// Fraction of the dominant resource that one unit uses.
    unit_fraction: f64,
}

impl User {
    fn open(capacity: [f64; 2], demand: &Demand, users: f64) -> Self {
        let unit_fraction = dominant_use(&capacity, demand);
        // The rule divides by the smaller use, so a use of 0 is replaced by a tiny one.
        let uses = |r: usize| (demand.uses[r] / capacity[r] / unit_fraction).clamp(1e-9, 1.0);
        Self {
            uses: [uses(0), uses(1)],
            fraction: 1.0 / users,
            unit_fraction,
        }
    }

    /// Returns the index of the dominant resource; the first if the user uses both equally.
    fn group(&self) -> usize {
        usize::from(self.uses[0] < 1.0)
    }

    /// Returns the use of the resource that is not the dominant one.
    fn secondary_use(&self) -> f64 {
        self.uses[1 - self.group()]
    }

    fn units(&self) -> f64 {
        if self.unit_fraction > 0.0 {
            self.fraction / self.unit_fraction
        } else {
            f64::INFINITY
        }
    }
}

struct State {
    users: Vec<User>,
    /// Remaining fractions of the resources.
    remaining: [f64; 2],
}

/// The users with the same dominant resource, in one step.
struct Group {
    /// The users that rise: those with least of the other resource.
    active: Vec<usize>,
    /// Rise of the group's dominant fractions in total for a rise of 1 in the other resource.
    ratio: f64,
    /// How far the active users may rise in the other resource until the next user joins them.
    next: f64,
}

impl State {
    fn open(capacity: [f64; 2], demands: &[Demand]) -> Self {
        let count = demands.len().max(1) as f64;
        let users: Vec<User> = demands
            .iter()
            .map(|demand| User::open(capacity, demand, count))
            .collect();
        let mut remaining = [1.0, 1.0];
        for user in &users {
            for (remaining, uses) in remaining.iter_mut().zip(user.uses) {
                *remaining -= user.fraction * uses;
            }
        }
        Self { users, remaining }
    }

    /// Returns the ratio of the first group's speed to the second's; `None` if a group is empty:
    /// the equal parts have then used up the resource that all users want.
    fn speed(&self) -> Option<f64> {
        let count = self.users.len() as f64;
        let least = |group: usize| {
            let users = self.users.iter().filter(|user| user.group() == group);
            users.map(User::secondary_use).reduce(f64::min)
        };
        // The remaining capacity, plus the smallest use of each resource by the users of the other:
        // otherwise a user could gain by overstating that use.
        let (least0, least1) = (least(0)?, least(1)?);
        let rest = [
            self.remaining[0] + least1 / count,
            self.remaining[1] + least0 / count,
        ];
        let second = self.users.iter().filter(|user| user.group() == 1).count();
        let second = second as f64 / count;
        let slack = |rest: f64, group: f64| 1.0 - (rest - 1.0 / count) / group;
        // The paper's exponents, 2 - 1/c, with 1/c as it defines it for each group.
        let exponents = [
            2.0 - slack(rest[1], 1.0 - second),
            2.0 - slack(rest[0], second),
        ];
        let ratio = rest[0] / rest[1];
        let exponent = exponents[usize::from(ratio > 1.0)];
        Some(ratio.powf(exponent.clamp(1.0, 2.0)))
    }

    fn group(&self, group: usize) -> Group {
        let members: Vec<usize> = (0..self.users.len())
            .filter(|n| self.users[*n].group() == group)
            .collect();
        let has = |n: &usize| self.users[*n].fraction * self.users[*n].secondary_use();
        let least = members.iter().map(has).fold(f64::INFINITY, f64::min);
        let same = |n: &usize| has(n) <= least * (1.0 + 1e-9);
        let active: Vec<usize> = members.iter().copied().filter(same).collect();
        let later = members.iter().filter(|n| !same(n)).map(has);
        Group {
            ratio: active
                .iter()
                .map(|n| 1.0 / self.users[*n].secondary_use())
                .sum(),
            next: later.fold(f64::INFINITY, f64::min) - least,
            active,
        }
    }

    /// Takes one step; returns `false` once a resource is used up.
    fn advance(&mut self, speed: f64) -> bool {
        let groups = [self.group(0), self.group(1)];
        // Rise of each group's dominant fractions in total, for a step of 1.
        let rises = [speed, 1.0];
        let secondary_rise = |g: usize| rises[g] / groups[g].ratio * groups[g].active.len() as f64;
        let spend = [rises[0] + secondary_rise(1), rises[1] + secondary_rise(0)];
        let mut step = f64::INFINITY;
        for g in 0..2 {
            step = step.min(groups[g].next * groups[g].ratio / rises[g]);
            step = step.min(self.remaining[g] / spend[g]);
        }
        if !step.is_finite() || step <= 0.0 {
            return false;
        }
        for (g, group) in groups.iter().enumerate() {
            for n in &group.active {
                let user = &mut self.users[*n];
                user.fraction += step * rises[g] / group.ratio / user.secondary_use();
            }
        }
        for (remaining, spend) in self.remaining.iter_mut().zip(spend) {
            *remaining -= step * spend;
        }
        self.remaining.iter().all(|remaining| *remaining > EPSILON)
    }
}
