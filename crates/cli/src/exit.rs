//! Exit codes, and errors that carry one.

use std::{error::Error, process::ExitCode};

use dunlinrock_config::Findings;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Ok = 0,
    /// The command failed, or a promise was broken.
    Failed = 1,
    /// The command line or a file is wrong.
    Usage = 2,
    /// A conflicting apply came first; this one did not take effect.
    Conflict = 3,
    /// The store, the list or a host could not be reached; nothing was changed.
    Unreachable = 4,
    /// The store returned no definite result: the apply may have taken effect.
    Unknown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// An error with its exit code.
#[derive(Debug)]
pub struct CliError {
    /// The exit code.
    pub exit: Exit,
    /// Message to print; names the cause and the fix.
    pub message: String,
}

impl CliError {
    /// Creates an error with an exit code and a message.
    pub fn open(exit: Exit, message: impl Into<String>) -> Self {
        Self {
            exit,
            message: message.into(),
        }
    }

    /// Creates an error from a library's error, with all its causes.
    pub fn from_error(exit: Exit, error: &(dyn Error + 'static)) -> Self {
        let mut message = error.to_string();
        let mut cause = error.source();
        while let Some(error) = cause {
            message = format!("{message}: {error}");
            cause = error.source();
        }
        Self::open(exit, message)
    }
}

impl From<anyhow::Error> for CliError {
    fn from(error: anyhow::Error) -> Self {
        Self::open(Exit::Failed, format!("{error:#}"))
    }
}

impl From<Findings> for CliError {
    fn from(findings: Findings) -> Self {
        Self::open(Exit::Usage, findings.to_string())
    }
}
