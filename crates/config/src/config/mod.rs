//! An operator's configuration: the union of the files of one directory.

use std::path::Path;

use dunlinrock_schema::config::Config;

use crate::Findings;

/// One file of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct File {
    /// Name, as findings show it.
    pub name: String,
    /// Text, TOML.
    pub text: String,
}

/// A configuration with all that was found in it.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The configuration; absent where there are errors.
    pub config: Option<Config>,
    /// Errors and warnings.
    pub findings: Findings,
}

/// Reads and checks all `*.toml` files of a directory.
///
/// # Errors
///
/// All findings, warnings included, where at least one is an error.
pub fn open_dir(_path: &Path) -> Result<Config, Findings> {
    todo!()
}

/// Reads and checks all `*.toml` files of a directory; gives warnings too where there is no error.
pub fn check_dir(_path: &Path) -> Checked {
    todo!()
}

/// Checks files that are already read.
pub fn check_files(_files: &[File]) -> Checked {
    todo!()
}
