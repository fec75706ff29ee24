//! Choice of the pool that a request is handed to.

use std::time::Duration;

use dunlinrock_admit::{Load, PoolCandidate, choose_pool};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn candidate(slots: u32, busy: u32, wait: u64) -> PoolCandidate {
    let load = Load {
        slots,
        busy,
        queue_delay: ms(wait),
        slot_interval: ms(2),
        ..Load::default()
    };
    PoolCandidate {
        load,
        ..PoolCandidate::default()
    }
}

/// Returns how often each candidate is chosen, over many draws.
fn shares(candidates: &[PoolCandidate]) -> Vec<f64> {
    const DRAWS: u64 = 10_000;
    let mut counts = vec![0_u32; candidates.len()];
    for i in 0..DRAWS {
        let draw = i
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(17)
            .wrapping_mul(0x2545_f491_4f6c_dd1d);
        if let Some(at) = choose_pool(candidates, draw) {
            counts[at] += 1;
        }
    }
    counts
        .into_iter()
        .map(|n| f64::from(n) / DRAWS as f64)
        .collect()
}

#[test]
fn the_local_pool_is_used_while_it_has_free_slots() {
    let own = candidate(9, 5, 0);
    let other = PoolCandidate {
        delay: ms(1),
        ..candidate(9, 0, 0)
    };
    assert_eq!(shares(&[own, other]), [1.0, 0.0]);
}

#[test]
fn requests_go_to_another_pool_when_the_wait_exceeds_the_round_trip() {
    let own = candidate(9, 9, 30);
    let other = PoolCandidate {
        delay: ms(1),
        ..candidate(9, 3, 0)
    };
    assert_eq!(shares(&[own, other]), [0.0, 1.0]);
}

/// Summaries lag by half a second. A pool that looked idle gets requests from all hosts until the
/// next one; a host at least counts the requests that it has itself sent there.
#[test]
fn requests_sent_since_the_summary_count() {
    let own = candidate(9, 9, 10);
    let idle = PoolCandidate {
        delay: ms(1),
        age: ms(400),
        ..candidate(9, 3, 0)
    };
    assert_eq!(shares(&[own, idle])[1], 1.0);
    let filled = PoolCandidate { sent: 30, ..idle };
    assert_eq!(shares(&[own, filled])[1], 0.0);
}

#[test]
fn a_pool_without_slots_gets_nothing() {
    assert_eq!(
        shares(&[candidate(0, 0, 0), candidate(9, 9, 900)]),
        [0.0, 1.0]
    );
    assert_eq!(choose_pool(&[candidate(0, 0, 0)], 1), None);
    assert_eq!(choose_pool(&[], 1), None);
}

#[test]
fn equal_pools_share_by_their_slots() {
    let s = shares(&[candidate(4, 0, 0), candidate(8, 0, 0), candidate(12, 0, 0)]);
    assert!(
        (s[0] - 1.0 / 6.0).abs() < 0.1 && (s[2] - 0.5).abs() < 0.1,
        "{s:?}"
    );
}

#[test]
fn an_old_summary_is_ignored() {
    let own = candidate(9, 9, 10);
    let old = PoolCandidate {
        delay: ms(1),
        age: ms(60_000),
        ..candidate(9, 0, 0)
    };
    assert_eq!(shares(&[own, old]), [1.0, 0.0]);
}
