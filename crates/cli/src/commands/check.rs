//! `check`: validates the files of a configuration.

use dunlinrock_config::config::{self, CheckedConfig};
use dunlinrock_schema::config::Config;

use crate::{args::Check, exit::CliError, output};

/// Checks a directory and prints a summary of its configuration.
pub(crate) fn check(args: &Check) -> Result<(), CliError> {
    let config = read(&args.dir)?;
    output::line(format_args!(
        "{}: sound, {}",
        args.dir.display(),
        summary(&config)
    ))?;
    Ok(())
}

/// Reads the configuration in a directory and prints its warnings.
///
/// # Errors
///
/// Returns all findings if at least one is an error.
pub(crate) fn read(dir: &std::path::Path) -> Result<Config, CliError> {
    let CheckedConfig { config, findings } = config::check_dir(dir);
    match config {
        Some(config) => {
            eprint!("{findings}");
            Ok(config)
        }
        None => Err(findings.into()),
    }
}

/// Returns the number of entries of each kind in a configuration.
pub(crate) fn summary(config: &Config) -> String {
    format!(
        "{} services, {} regions, {} domains, {} links, {} targets, {} drains, {} blocks",
        config.services.len(),
        config.regions.len(),
        config.domains.len(),
        config.links.len(),
        config.targets.len(),
        config.drains.len(),
        config.blocks.len()
    )
}
