//! `show`: prints the active configuration.

use anyhow::Context;

use super::store;
use crate::{args::Show, exit::CliError, output, runtime::block_on};

/// Prints the active configuration as TOML that `apply` accepts.
pub(crate) fn show(args: &Show) -> Result<(), CliError> {
    let found = block_on(store::read_some(&args.store))??;
    let now = &found.root.now;
    output::line(format_args!(
        "# Revision {} by {}, apply {}",
        now.revision, now.by, now.id
    ))?;
    let text = toml::to_string(&found.config).context("writing the configuration")?;
    output::print(format_args!("{text}"))?;
    Ok(())
}
