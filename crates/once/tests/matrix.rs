//! The fault matrix of keyed requests: every fault at every step, and every pair of faults.

mod sim;

use std::{env, fs, path::PathBuf};

use self::sim::matrix::{FAULTS, SCENARIOS, Scenario, Step, applies, markdown, run};

const HEAD: &str = "# Faults of keyed requests

Written by the test `matrix` of crates/once (`UPDATE=1 cargo test -p dunlinrock-once --test matrix`)
from runs of the real ledgers in virtual time, with two hosts and one caller that makes up to four
attempts, at each side in turn. A cell says what the caller has in the end, how often the request
ran at targets, and how many attempts it took; `-` is a fault that cannot strike there. The fault
strikes as the first message of the step goes out. No cell runs a request twice, and in each cell
with `no` it ran 0 times.

";

/// Returns every applicable pair of a step and a fault in a scenario.
fn cells(steps: &[Step]) -> Vec<(Step, sim::matrix::Fault)> {
    let all = steps
        .iter()
        .flat_map(|step| FAULTS.iter().map(|(fault, _)| (*step, *fault)));
    all.filter(|(step, fault)| applies(*step, *fault)).collect()
}

#[test]
fn every_fault_at_every_step_is_injected_and_violates_no_invariant() {
    let mut count = 0;
    for (scenario, name, steps) in SCENARIOS {
        for cell in cells(steps) {
            let got = run(scenario, &[cell]);
            assert_eq!(
                got.fault_hits, 1,
                "{name}, {cell:?}: the fault was not injected"
            );
            assert!(got.violations.is_empty(), "{name}, {cell:?}: {got:?}");
            count += 1;
        }
    }
    println!("{count} cells");
}

#[test]
fn no_pair_of_faults_violates_an_invariant() {
    let (mut pairs, mut fault_hits) = (0, 0);
    for (scenario, name, steps) in SCENARIOS {
        let cells = cells(steps);
        for one in &cells {
            for two in &cells {
                let got = run(scenario, &[*one, *two]);
                assert!(
                    got.violations.is_empty(),
                    "{name}, {one:?}, {two:?}: {got:?}"
                );
                pairs += 1;
                fault_hits += usize::from(got.fault_hits == 2);
            }
        }
    }
    println!("{pairs} pairs, both faults injected in {fault_hits}");
}

#[test]
fn without_a_fault_each_scenario_ends_with_the_answer_of_one_run() {
    for (scenario, name, _) in SCENARIOS {
        let got = run(scenario, &[]);
        let expected = match scenario {
            // The owner's claims are lost, and no attempt reached the witness.
            Scenario::Closing => ("`no`", 0),
            _ => ("answer", 1),
        };
        assert_eq!((got.end, got.runs), expected, "{name}: {got:?}");
    }
}

#[test]
fn the_table_in_the_notes_matches_the_runs() {
    let path: PathBuf = [
        env!("CARGO_MANIFEST_DIR"),
        "../../docs/notes/at-most-once-faults.md",
    ]
    .iter()
    .collect();
    let text = format!("{HEAD}{}", markdown().trim_end()) + "\n";
    if env::var_os("UPDATE").is_some() {
        fs::write(&path, &text).unwrap();
    }
    let current = fs::read_to_string(&path).unwrap_or_default();
    assert!(
        current == text,
        "{} is out of date: run with UPDATE=1",
        path.display()
    );
}
