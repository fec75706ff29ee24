//! Estimates of an owner's epoch by other hosts while clocks jump.

use std::time::Duration;

use dunlinrock_once::{Ledger, Limits, estimate_epoch};

/// Largest jump of a clock in seconds, backward or forward.
const JUMP: u64 = 6;

fn secs(time: u64) -> Duration {
    Duration::from_secs(time)
}

/// Guards against refused keys right after a look-up. The owner's clock was wrong when it started,
/// or the clock of the host that answers the look-up jumps, or both; the estimated epoch must still
/// have started and be active at the owner, whose own epochs follow its monotonic clock.
#[test]
fn an_epoch_estimated_from_a_jumping_clock_is_active() {
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
            // An offset of `JUMP` means no jump, so that times stay positive.
            let started = true_start + secs(start);
            let wall_clock = true_start + secs(uptime + now);
            let estimate = estimate_epoch(started, wall_clock, limits.epoch_length);
            assert!(
                estimate <= current,
                "epoch not started: {estimate} of {current}, {uptime} s"
            );
            assert!(
                estimate >= oldest,
                "epoch expired: {estimate} of {current}, {uptime} s"
            );
        }
    }
}
