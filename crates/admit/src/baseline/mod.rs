//! Rejected algorithms for choosing a target, kept as baselines for measurements.
//!
//! [`random`] is the naive baseline: a random target with an unbounded queue, no admission. At
//! twice the capacity its queues grow for as long as the load lasts, and no response is in time.
//!
//! [`two_choices`] is the alternative to pools that are each owned by one host: every host sends to
//! the less busy of two random targets, according to load reports that lag. With 3 to 8 slots per
//! target, hosts that do not see each other's requests overload some targets while others are idle.
//! Figures are in `docs/decisions/`.

/// Returns a random target; `draw` is a random number.
pub fn random(targets: &[usize], draw: u64) -> Option<usize> {
    let n = u64::try_from(targets.len()).ok().filter(|n| *n > 0)?;
    Some(targets[(draw % n) as usize])
}

/// Returns the less busy of two random targets; `draw` is a random number.
pub fn two_choices(targets: &[usize], busy: impl Fn(usize) -> u32, draw: u64) -> Option<usize> {
    let a = random(targets, draw >> 32)?;
    let b = random(targets, draw & 0xffff_ffff)?;
    Some(if busy(b) < busy(a) { b } else { a })
}
