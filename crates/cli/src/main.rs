//! The `dunlinrock` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    dunlinrock::run()
}
