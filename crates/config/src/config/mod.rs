//! An operator's configuration: the union of the files of one directory.
//!
//! Operators split entries over files as they like; each name is defined in one file only. The names
//! in a file that is not valid TOML are unknown, so references are checked only if all files were
//! parsed. Otherwise fixing one finding would make others disappear.

mod blocks;
mod draft;
mod links;
mod references;
mod services;
mod spread;
mod targets;

use std::{fs, io, path::Path};

use dunlinrock_schema::config::Config;

use crate::{Findings, Location};
use draft::Draft;

/// One file of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigFile {
    /// Name as shown in findings.
    pub name: String,
    /// Contents, as TOML text.
    pub text: String,
}

/// A configuration and the findings of its validation.
#[derive(Clone, Debug)]
pub struct CheckedConfig {
    /// The configuration; `None` if there are errors.
    pub config: Option<Config>,
    /// Errors and warnings.
    pub findings: Findings,
}

/// Reads and validates all `*.toml` files of a directory.
///
/// # Errors
///
/// Returns all findings, warnings included, if at least one is an error.
pub fn load_dir(path: &Path) -> Result<Config, Findings> {
    let checked = check_dir(path);
    checked.config.ok_or(checked.findings)
}

/// Reads and validates all `*.toml` files of a directory. The result contains the warnings even if
/// there are no errors.
pub fn check_dir(path: &Path) -> CheckedConfig {
    let mut findings = Findings::default();
    let files = read_dir(path, &mut findings);
    let mut checked = check_files(&files);
    if findings.has_errors() {
        checked.config = None;
    }
    checked.findings.extend(findings);
    checked
}

/// Validates the contents of files that the caller has read.
pub fn check_files(files: &[ConfigFile]) -> CheckedConfig {
    let mut findings = Findings::default();
    let draft = Draft::open(files, &mut findings);
    references::check(&draft, &mut findings);
    services::check(&draft, &mut findings);
    targets::check(&draft, &mut findings);
    links::check(&draft, &mut findings);
    spread::check(&draft, &mut findings);
    blocks::check(&draft, &mut findings);
    let config = (!findings.has_errors()).then_some(draft.config);
    CheckedConfig { config, findings }
}

/// Reads the `*.toml` files of a directory, sorted by name.
fn read_dir(path: &Path, findings: &mut Findings) -> Vec<ConfigFile> {
    let shown = path.display().to_string();
    let paths = match list(path) {
        Ok(paths) => paths,
        Err(error) => {
            findings.error(Location::file(&shown), format!("cannot be read: {error}"));
            return Vec::new();
        }
    };
    if paths.is_empty() {
        findings.error(
            Location::file(&shown),
            "contains no `*.toml` file; give the directory of the configuration",
        );
    }
    let mut files = Vec::new();
    for path in paths {
        let name = path.display().to_string();
        match fs::read_to_string(&path) {
            Ok(text) => files.push(ConfigFile { name, text }),
            Err(error) => {
                findings.error(Location::file(&name), format!("cannot be read: {error}"));
            }
        }
    }
    files
}

fn list(path: &Path) -> io::Result<Vec<std::path::PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(path)? {
        let path = entry?.path();
        if path.extension().is_some_and(|ext| ext == "toml") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}
