//! Output of commands.

use std::{
    fmt::Display,
    io::{self, Write},
};

use crate::exit::{Exit, Failure};

/// Prints a text.
///
/// A reader that has seen enough, such as `head`, closes the pipe; that is no error.
pub(crate) fn print(text: impl Display) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    match write!(out, "{text}").and_then(|()| out.flush()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(Failure::of(Exit::Failed, &e)),
        _ => Ok(()),
    }
}

/// Prints a line.
pub(crate) fn line(text: impl Display) -> Result<(), Failure> {
    print(format_args!("{text}\n"))
}
