//! Alternatives that were rejected, kept to be measured against.
//!
//! [`random`] is the naive baseline: a random target with an unbounded queue, no admission. At
//! twice the capacity its queues grow for as long as the load lasts, and no response is in time.
//!
//! [`two_choices`] is the alternative to the ownership of pools: every host sends to the less busy
//! of two targets, by reports that lag. With 3 to 8 slots per target, hosts that do not know of
//! each other's requests overload some targets while others idle. Figures are in `docs/decisions/`.

/// Returns a random target.
pub fn random(targets: &[usize], draw: u64) -> Option<usize> {
    let n = u64::try_from(targets.len()).ok().filter(|n| *n > 0)?;
    Some(targets[(draw % n) as usize])
}

/// Returns the less busy of two random targets.
pub fn two_choices(targets: &[usize], busy: impl Fn(usize) -> u32, draw: u64) -> Option<usize> {
    let a = random(targets, draw >> 32)?;
    let b = random(targets, draw & 0xffff_ffff)?;
    Some(if busy(b) < busy(a) { b } else { a })
}
