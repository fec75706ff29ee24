//! Validation of any input returns a result: a mistake in an operator's file must not crash a host.

use std::{fs, path::Path};

use dunlinrock_config::{
    check,
    config::{self, ConfigFile},
    plan, schema, settings,
};
use dunlinrock_schema::config::Config;
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(root.join(name)).unwrap()
}

/// Validates a text as settings and as a configuration; each finding must have a location in it.
fn try_all(text: &str) -> Result<(), TestCaseError> {
    let _ = settings::check("host.toml", text);
    let _ = check::<Config>("all.toml", text, schema::CONFIG);
    let file = ConfigFile {
        name: "all.toml".to_owned(),
        text: text.to_owned(),
    };
    let checked = config::check_files(&[file.clone(), file]);
    prop_assert_eq!(checked.config.is_some(), !checked.findings.has_errors());
    let lines = text.matches('\n').count() + 1;
    for finding in checked.findings.iter() {
        prop_assert_eq!(&*finding.location.file, "all.toml");
        prop_assert!(finding.location.line as usize <= lines);
        prop_assert!(!finding.message.contains('\n'), "{}", finding.message);
    }
    Ok(())
}

#[test]
fn random_bytes() {
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    runner(400, 1)
        .run(&bytes, |bytes| try_all(&String::from_utf8_lossy(&bytes)))
        .unwrap();
}

#[test]
fn random_text_of_toml_tokens() {
    let tokens = prop::sample::select(vec![
        "services",
        "regions",
        "blocks",
        "cap",
        "spread",
        "[",
        "]",
        "[[",
        "{",
        "}",
        "=",
        ".",
        ",",
        "\n",
        " ",
        "\"",
        "'",
        "\"\"\"",
        "#",
        "1",
        "-1",
        "0.5",
        "1e400",
        "nan",
        "0x7f",
        "true",
        "1979-05-27",
        "ă",
        "\u{0}",
        "\"10.0.0.0/8\"",
    ]);
    let text = prop::collection::vec(tokens, 0..60).prop_map(|tokens| tokens.concat());
    runner(600, 2).run(&text, |text| try_all(&text)).unwrap();
}

#[test]
fn mutated_examples() {
    let files = [
        "cursuri/services.toml",
        "cursuri/places.toml",
        "tidepool/blocks.toml",
        "hosts/cluj-1.toml",
    ]
    .map(example);
    let cut = (
        0..files.len(),
        any::<prop::sample::Index>(),
        0..12_usize,
        ".{0,6}",
    );
    runner(300, 3)
        .run(&cut, |(file, at, length, new)| {
            let chars: Vec<char> = files[file].chars().collect();
            let at = at.index(chars.len());
            let end = (at + length).min(chars.len());
            let text: String = chars[..at]
                .iter()
                .copied()
                .chain(new.chars())
                .chain(chars[end..].iter().copied())
                .collect();
            try_all(&text)
        })
        .unwrap();
}

#[test]
fn plans_between_drained_examples() {
    // With drains of any domains, desired splits sum to 1 or are empty.
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tidepool");
    let old = config::load_dir(&root).unwrap();
    let names: Vec<_> = old.domains.keys().cloned().collect();
    let drained = prop::sample::subsequence(names.clone(), 0..=names.len());
    runner(64, 4)
        .run(&drained, |drained| {
            let mut new = old.clone();
            for name in drained {
                let drain = serde_json::json!({"kind": "domain", "name": &*name});
                new.drains
                    .insert(name, serde_json::from_value(drain).unwrap());
            }
            for shift in plan::plan(&old, &new).shifts {
                prop_assert!(shift.fraction > 0.0 && shift.fraction <= 1.0 + 1e-9);
                let cap = &new.services[&shift.service].cap;
                prop_assert!(shift.min_windows as f64 * cap.share >= shift.fraction - 1e-6);
            }
            for service in new.services.keys() {
                for region in new.regions.keys() {
                    let goal = dunlinrock_config::goal::desired_split(&new, service, region);
                    let sum: f64 = goal.values().sum();
                    prop_assert!(goal.is_empty() || (sum - 1.0).abs() < 1e-9);
                }
            }
            Ok(())
        })
        .unwrap();
}
