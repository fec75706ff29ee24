//! `plan`: shows what an apply would change.

use dunlinrock_config::plan as compare;

use super::{check, store};
use crate::{args::Plan, exit::CliError, output, runtime::block_on};

/// Prints the difference between a directory and the active configuration.
pub(crate) fn plan(args: &Plan) -> Result<(), CliError> {
    let new = check::read(&args.dir)?;
    let open = store::open(&args.store)?;
    let found = block_on(store::read(&open))??;
    let (revision, old) = match found {
        Some(found) => (found.root.now.revision, found.config),
        None => (0, dunlinrock_schema::config::Config::default()),
    };
    output::line(format_args!("against revision {revision}:"))?;
    output::print(format_args!("{}", compare::plan(&old, &new)))?;
    output::line(format_args!(
        "apply with --base {revision} to detect a concurrent apply"
    ))?;
    Ok(())
}
