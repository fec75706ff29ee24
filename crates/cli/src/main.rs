//! The `dunlinrock` program.

fn main() {}
