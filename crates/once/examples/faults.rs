//! Prints the fault matrix of keyed requests as Markdown tables.
//!
//! ```text
//! cargo run -p dunlinrock-once --example faults
//! ```

#[path = "../tests/sim/mod.rs"]
mod sim;

fn main() {
    print!("{}", sim::matrix::markdown());
}
