//! Which epoch of an owner's ledger a host names in a look-up, while clocks jump.

use std::time::Duration;

use dunlinrock_once::{Ledger, Limits, estimate_epoch};

/// Farthest that a clock jumps, back or ahead.
const JUMP: u64 = 6;

fn secs(time: u64) -> Duration {
    Duration::from_secs(time)
}

/// A caller's key is refused, and its look-up was for nothing. The owner started while its
/// machine's clock was wrong, or the host that answers the look-up jumps, or both: the epoch that
/// it names must have begun at the owner, and be held there. The owner's own epochs follow its
/// steady clock.
#[test]
fn a_clock_that_jumps_names_an_epoch_that_is_held() {
    let limits = Limits::default();
    let owner = Ledger::open(1, limits, Duration::ZERO);
    let true_start = secs(1_800_000_000);
    for uptime in (0..7200).step_by(7) {
        let current = owner.epoch(secs(uptime));
        let oldest = current.saturating_sub(limits.retained_epochs - 1);
        for (start, now) in [
            (0, JUMP),
            (JUMP, 0),
            (JUMP, 2 * JUMP),
            (2 * JUMP, JUMP),
            (0, 2 * JUMP),
            (2 * JUMP, 0),
        ] {
            // `JUMP` stands for no jump, so that times stay positive.
            let started = true_start + secs(start);
            let wall_clock = true_start + secs(uptime + now);
            let estimate = estimate_epoch(started, wall_clock, limits.epoch_length);
            assert!(
                estimate <= current,
                "not begun: {estimate} of {current}, {uptime} s"
            );
            assert!(
                estimate >= oldest,
                "ended: {estimate} of {current}, {uptime} s"
            );
        }
    }
}
