//! `apply`: applies a configuration atomically.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dunlinrock_coord::root::{ApplyOutcome, ApplyRequest};
use dunlinrock_node::operate;
use rand::Rng;

use super::{check, hosts, store};
use crate::{
    args::Apply,
    exit::{CliError, Exit},
    output,
    runtime::block_on,
};

/// Interval at which the hosts' revisions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Applies the configuration in a directory, and waits for the hosts if `--wait` is given.
pub(crate) fn apply(args: &Apply) -> Result<(), CliError> {
    if args.wait && args.list.is_none() {
        let message = "--wait needs --list IP:PORT, to know which hosts to wait for";
        return Err(CliError::open(Exit::Usage, message));
    }
    let config = check::read(&args.dir)?;
    let open = store::open(&args.store)?;
    let time = store::time(&args.store)?;
    let request = request(args);
    eprintln!("apply {}", request.id);
    let id = Arc::clone(&request.id);
    block_on(async {
        let ended = operate::apply(&open, &config, request, time).await;
        let outcome = ended.map_err(|error| {
            let exit = if error.in_doubt {
                Exit::Unknown
            } else {
                Exit::Unreachable
            };
            CliError::from_error(exit, &error)
        })?;
        let revision = revision(&outcome)?;
        // An unchanged revision was created by another apply, so its id differs.
        let id = matches!(outcome, ApplyOutcome::Applied { .. }).then_some(id);
        output::line(format_args!("{outcome}"))?;
        match args.list {
            Some(list) if args.wait => {
                wait_until_applied(list, revision, id.as_deref(), time).await
            }
            _ => Ok(()),
        }
    })?
}

fn request(args: &Apply) -> ApplyRequest {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = now.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let id = || format!("{at_ms:x}-{:08x}", rand::rng().random::<u32>()).into();
    ApplyRequest {
        id: args.id.clone().unwrap_or_else(id),
        by: Arc::clone(&args.by),
        at_ms,
        base: args.base,
    }
}

/// Returns the revision of a successful apply, or an error with the exit code.
fn revision(outcome: &ApplyOutcome) -> Result<u64, CliError> {
    let exit = match outcome {
        ApplyOutcome::Applied { revision, .. } | ApplyOutcome::Unchanged { revision } => {
            return Ok(*revision);
        }
        ApplyOutcome::Conflict { .. } => Exit::Conflict,
        ApplyOutcome::Undetermined { .. } => Exit::Unknown,
        ApplyOutcome::CorruptRoot { .. } => Exit::Failed,
    };
    Err(CliError::open(exit, outcome.to_string()))
}

/// Waits until every listed host has applied a revision.
async fn wait_until_applied(
    list: std::net::SocketAddr,
    revision: u64,
    id: Option<&str>,
    time: Duration,
) -> Result<(), CliError> {
    let start = tokio::time::Instant::now();
    loop {
        let lagging_hosts = hosts::lagging_hosts(list, revision, id).await?;
        if lagging_hosts.is_empty() {
            output::line(format_args!(
                "every listed host follows it after {:.1} s",
                start.elapsed().as_secs_f64()
            ))?;
            return Ok(());
        }
        if start.elapsed() >= time {
            let message = format!(
                "revision {revision} is active, but these hosts have not applied it yet: {}",
                lagging_hosts.join(", ")
            );
            return Err(CliError::open(Exit::Failed, message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
