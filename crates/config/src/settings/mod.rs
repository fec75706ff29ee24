//! Settings of one host.

use std::path::Path;

use dunlinrock_schema::settings::Settings;

use crate::Findings;

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// All mistakes found; a file that cannot be read is one.
pub fn open(_path: &Path) -> Result<Settings, Findings> {
    todo!()
}

/// Checks the text of a settings file named `name`.
///
/// # Errors
///
/// All mistakes found.
pub fn check(_name: &str, _text: &str) -> Result<Settings, Findings> {
    todo!()
}
