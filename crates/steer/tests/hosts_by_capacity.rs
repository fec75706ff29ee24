//! Lookups name hosts in proportion to what they can carry.

use dunlinrock_steer::host_draw::{HostCapacity, draw};

const LARGE: HostCapacity = HostCapacity {
    power: 50,
    link: 200,
};
const SMALL: HostCapacity = HostCapacity {
    power: 10,
    link: 10,
};

/// Returns the share of callers that each host gets, over many lookups.
fn shares(hosts: &[HostCapacity]) -> Vec<f64> {
    const LOOKUPS: u64 = 20_000;
    let mut shares = vec![0.0; hosts.len()];
    for seed in 0..LOOKUPS {
        let named = draw(hosts, seed);
        for index in &named {
            shares[*index] += 1.0 / named.len() as f64 / LOOKUPS as f64;
        }
    }
    shares
}

/// Load: hosts with a fifth of the processor and a twentieth of the link of others beside these. A
/// request takes 12.5 times as long at their processor and link.
#[test]
fn small_hosts_get_callers_by_their_capacity() {
    let hosts: Vec<_> = [LARGE; 4].into_iter().chain([SMALL; 19]).collect();
    let shares = shares(&hosts);
    let (large, small) = (&shares[..4], &shares[4..]);
    let total = 4.0 + 19.0 / 12.5;
    for share in large {
        assert!((share - 1.0 / total).abs() < 0.02, "{share}");
    }
    for share in small {
        assert!((share - 1.0 / 12.5 / total).abs() < 0.004, "{share}");
    }
}

#[test]
fn hosts_of_equal_capacity_are_all_named() {
    for hosts in [[LARGE; 7], [SMALL; 7]] {
        for seed in 0..1000 {
            assert_eq!(draw(&hosts, seed).len(), 7);
        }
    }
}

/// A single named host that fails would leave its callers without another until their next lookup.
#[test]
fn at_least_three_hosts_are_named_if_there_are_as_many() {
    for count in 0..8 {
        let hosts: Vec<_> = [LARGE].into_iter().chain(vec![SMALL; count]).collect();
        for seed in 0..1000 {
            let mut named = draw(&hosts, seed);
            assert!(named.len() >= hosts.len().min(3), "{named:?}");
            named.sort_unstable();
            named.dedup();
            assert!(named.len() >= hosts.len().min(3), "repeated");
        }
    }
    assert!(draw(&[], 1).is_empty());
}

/// One or two large hosts beside small ones: the names that make three must not fall on the same small
/// host each time.
#[test]
fn small_hosts_that_fill_an_answer_take_turns() {
    for large in [1, 2] {
        let hosts: Vec<_> = vec![LARGE; large].into_iter().chain([SMALL; 8]).collect();
        let shares = shares(&hosts);
        let small = &shares[large..];
        let mean = small.iter().sum::<f64>() / small.len() as f64;
        for share in small {
            assert!((share / mean - 1.0).abs() < 0.1, "{share} of {mean}");
        }
    }
}

/// Hosts of an earlier release announce no link, and older ones no processor; read as zero they
/// would get no callers at all.
#[test]
fn an_unknown_capacity_counts_for_nobody() {
    let unknown_link = HostCapacity { link: 0, ..SMALL };
    let hosts: Vec<_> = [LARGE; 9].into_iter().chain([unknown_link; 9]).collect();
    let shares = shares(&hosts);
    let ratio = shares[9] / shares[0];
    assert!(
        (ratio - 2.0 / 6.0).abs() < 0.03,
        "processors alone count: {ratio}"
    );
    let unknown = HostCapacity { power: 0, link: 0 };
    assert_eq!(draw(&[LARGE, unknown, SMALL, LARGE], 5).len(), 4);
}
