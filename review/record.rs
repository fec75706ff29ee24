//! The record of a case: what was sent, answered and run.

use std::{
    sync::{Mutex, OnceLock},
    time::Instant,
};

static START: OnceLock<Instant> = OnceLock::new();
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Adds a line with the time since the start.
pub fn line(text: &str) {
    let at = START.get_or_init(Instant::now).elapsed().as_secs_f64();
    let line = format!("{at:9.3} s  {text}");
    println!("{line}");
    LINES.lock().expect("the record").push(line);
}

/// Writes the record to a file.
pub fn write(path: &str) {
    let text = LINES.lock().expect("the record").join("\n") + "\n";
    std::fs::write(path, text).expect("the record can be written");
}
