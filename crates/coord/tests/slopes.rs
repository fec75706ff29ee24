//! Bounds on the load that hosts put on each other and on the store.

mod common;

use std::time::Duration;

use common::{
    fleet::Fleet,
    slopes::{Row, measure},
};

/// Limit of the bytes a second for coordination, sent and received together by one host.
const MAX_BYTES_PER_S: f64 = 11_000.0;

fn check(row: &Row) {
    println!("{row}\n{}", row.kinds());
    assert!(row.busiest < MAX_BYTES_PER_S, "{row}");
    assert!(row.change <= Duration::from_secs(1), "{row}");
    assert!(row.rumor <= Duration::from_secs(3), "{row}");
    assert!(row.leave <= Duration::from_secs(1), "{row}");
}

// The store's rates grow more slowly than the fleet: with the same domains, four times the hosts
// must not cost one more call.
#[test]
fn store_calls_follow_the_domains_and_not_the_hosts() {
    let few = measure(Fleet::open(4, 6, 1));
    let many = measure(Fleet::open(4, 24, 1));
    check(&few);
    check(&many);
    assert!((few.calls - many.calls).abs() < 0.1, "{few}\n{many}");
    assert!(many.calls / 4.0 < 1.0, "{many}");
}

#[test]
fn many_small_domains_stay_under_the_bound() {
    check(&measure(Fleet::open(24, 2, 1)));
}

#[test]
fn a_full_domain_stays_under_the_bound() {
    check(&measure(Fleet::open(2, 48, 1)));
}
