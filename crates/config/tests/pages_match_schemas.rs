//! The pages on settings and configuration match the schemas they are generated from.

use std::process::Command;

#[test]
fn pages_do_not_drift() {
    // The example is built with the tests, in a directory beside this test's own.
    let program = std::env::current_exe().unwrap();
    let program = program.parent().and_then(std::path::Path::parent).unwrap();
    let output = Command::new(program.join("examples/pages"))
        .arg("--check")
        .output()
        .expect("the example `pages`, built by `cargo test`");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}
