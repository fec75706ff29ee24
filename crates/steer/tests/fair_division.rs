//! Allocations stay within the capacity and have the properties of their algorithms.

use dunlinrock_steer::divide::{Demand, adaptive, dominant, equal};
use proptest::{prelude::*, test_runner::RngSeed};

fn demand(uses: &[f64]) -> Demand {
    Demand {
        uses: uses.to_vec(),
        max_units: f64::INFINITY,
    }
}

/// The example of the paper on adaptive-speed fairness: three users of two resources.
fn example() -> Vec<Demand> {
    [[1.0, 0.4], [1.0, 0.2], [0.2, 1.0]]
        .iter()
        .map(|uses| demand(uses))
        .collect()
}

#[test]
fn the_example_of_the_paper() {
    let by_dominant = dominant(&[1.0, 1.0], &example());
    for units in &by_dominant {
        assert!((units - 5.0 / 11.0).abs() < 1e-9, "{by_dominant:?}");
    }
    // The paper states about 1.55 as the sum for its second rule.
    let sum: f64 = adaptive([1.0, 1.0], &example()).iter().sum();
    assert!((1.545..1.56).contains(&sum), "{sum}");
    let by_equal: f64 = equal(&[1.0, 1.0], &example()).iter().sum();
    assert!((by_equal - 1.0).abs() < 1e-9);
}

#[test]
fn unused_capacity_is_divided_among_the_others() {
    let mut demands = vec![demand(&[1.0]), demand(&[1.0]), demand(&[1.0])];
    demands[0].max_units = 0.1;
    let units = dominant(&[1.0], &demands);
    assert!((units[0] - 0.1).abs() < 1e-9);
    assert!((units[1] - 0.45).abs() < 1e-9);
    assert!((units[2] - 0.45).abs() < 1e-9);
}

#[test]
fn no_capacity_gives_no_units() {
    assert_eq!(dominant(&[0.0, 1.0], &[demand(&[1.0, 1.0])]), [0.0]);
    assert!(dominant(&[1.0], &[]).is_empty());
}

fn users() -> impl Strategy<Value = Vec<Demand>> {
    let uses = (0.01..1.0_f64, 0.01..1.0_f64).prop_map(|(a, b)| demand(&[a, b]));
    prop::collection::vec(uses, 1..12)
}

fn used(demands: &[Demand], units: &[f64], resource: usize) -> f64 {
    let uses = demands.iter().zip(units);
    uses.map(|(demand, units)| demand.uses[resource] * units)
        .sum()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No algorithm uses more than the capacity; the two that fill it leave no resource that all
    /// users could use; and no user gets less than an equal part.
    #[test]
    fn allocations_stay_within_the_capacity(users in users(), max_units in prop::collection::vec(0.0..0.5_f64, 12)) {
        let capacity = [1.0, 1.0];
        let equal = equal(&capacity, &users);
        for units in [&equal, &dominant(&capacity, &users), &adaptive(capacity, &users)] {
            let (a, b) = (used(&users, units, 0), used(&users, units, 1));
            prop_assert!(a <= 1.0 + 1e-6 && b <= 1.0 + 1e-6, "{a} {b}");
            for (units, equal) in units.iter().zip(&equal) {
                prop_assert!(*units >= equal * (1.0 - 1e-6));
            }
        }
        for units in [dominant(&capacity, &users), adaptive(capacity, &users)] {
            let max_used = used(&users, &units, 0).max(used(&users, &units, 1));
            prop_assert!(max_used >= 1.0 - 1e-6, "{max_used}");
        }
        let mut limited = users;
        for (user, max_units) in limited.iter_mut().zip(&max_units) {
            user.max_units = *max_units;
        }
        let units = dominant(&capacity, &limited);
        for (units, user) in units.iter().zip(&limited) {
            prop_assert!(*units <= user.max_units);
        }
        prop_assert!(used(&limited, &units, 0) <= 1.0 + 1e-6);
        prop_assert!(used(&limited, &units, 1) <= 1.0 + 1e-6);
    }
}
