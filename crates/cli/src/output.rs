//! Output of commands to standard output.

use std::{
    fmt::Display,
    io::{self, Write},
};

use crate::exit::{CliError, Exit};

/// Prints a text.
///
/// A closed pipe is not an error: readers such as `head` close it when they have read enough.
pub(crate) fn print(text: impl Display) -> Result<(), CliError> {
    let mut out = io::stdout().lock();
    match write!(out, "{text}").and_then(|()| out.flush()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => {
            Err(CliError::from_error(Exit::Failed, &e))
        }
        _ => Ok(()),
    }
}

/// Prints a line.
pub(crate) fn line(text: impl Display) -> Result<(), CliError> {
    print(format_args!("{text}\n"))
}
