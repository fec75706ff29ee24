//! Output of commands.

use std::{
    fmt::Display,
    io::{self, Write},
};

use crate::exit::{CliError, Exit};

/// Prints a text.
///
/// A reader that has seen enough, such as `head`, closes the pipe; that is no error.
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
