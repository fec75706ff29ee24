//! Access to the store for operators' commands.

use std::time::Duration;

use dunlinrock_node::{
    operate::{self, ActiveConfig},
    store::{Store, StoreError},
};

use crate::{
    args,
    exit::{CliError, Exit},
};

/// Maximum timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens the store that the command line names.
pub(crate) fn open(args: &args::Store) -> Result<Store, CliError> {
    Ok(Store::open(
        args.at,
        &args.prefix,
        time(args)?.min(CALL_TIMEOUT),
    ))
}

/// Returns the time after which the store counts as unavailable.
pub(crate) fn time(args: &args::Store) -> Result<Duration, CliError> {
    Duration::try_from_secs_f64(args.seconds)
        .ok()
        .filter(|time| !time.is_zero())
        .ok_or_else(|| CliError::open(Exit::Usage, "--timeout takes a number of seconds above 0"))
}

/// Reads the active configuration; `None` if none was applied.
pub(crate) async fn read(store: &Store) -> Result<Option<ActiveConfig>, CliError> {
    operate::read(store).await.map_err(|e| {
        let exit = match e.downcast_ref::<StoreError>() {
            Some(StoreError::Unavailable { .. } | StoreError::Indeterminate { .. }) => {
                Exit::Unreachable
            }
            _ => Exit::Failed,
        };
        CliError::open(exit, format!("{e:#}"))
    })
}

/// Reads the active configuration; returns an error if none was applied.
pub(crate) async fn read_some(args: &args::Store) -> Result<ActiveConfig, CliError> {
    let found = read(&open(args)?).await?;
    found.ok_or_else(|| {
        let message = format!(
            "no configuration was applied under `{}` of the store at {}; see `dunlinrock apply`",
            args.prefix, args.at
        );
        CliError::open(Exit::Failed, message)
    })
}
