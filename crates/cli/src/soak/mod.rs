//! `soak`: a randomized test that injects faults into hosts under load and checks the promises.
//!
//! The fakes of the platform's store and targets run in this process. Each host is a separate
//! process behind two loopback proxies, one towards its callers and one towards the store; each
//! target is behind a proxy too. A plan follows from its seed alone. The checks compare what
//! callers and targets observe. The only duration in them is the time that a host has to learn of a
//! target's backoff, so a busy machine hardly changes the result.

mod callers;
mod deployment;
mod faults;
mod keys;
mod notices;
mod plan;
mod proxy;
mod retries;
mod runner;
mod steady_callers;

use std::path::{Path, PathBuf};

use anyhow::Context;

use self::{
    deployment::{Deployment, HostOptions},
    plan::Plan,
    runner::SoakResult,
};
use crate::{
    args::Soak,
    exit::{CliError, Exit},
    output,
    runtime::block_on,
    signals::{HeldSignals, Signals},
};

/// Maximum number of hosts: each has its own address, and only the last octet varies.
const MAX_HOSTS: usize = 200;

/// Runs the plans and reports which of them broke a promise.
pub(crate) fn run(args: &Soak, held: HeldSignals) -> Result<(), CliError> {
    if args.hosts == 0 || args.hosts > MAX_HOSTS {
        let text = format!("--hosts {}: must be from 1 to {MAX_HOSTS}", args.hosts);
        return Err(CliError::open(Exit::Usage, text));
    }
    block_on(async {
        let mut signals = Signals::open(held)?;
        tokio::select! {
            result = run_plans(args) => result,
            // Dropping the plan kills its hosts, which would otherwise go on without it.
            () = signals.end() => Err(CliError::open(Exit::Failed, "ended by a signal")),
        }
    })?
}

async fn run_plans(args: &Soak) -> Result<(), CliError> {
    if let Some(series) = args.retries {
        return retries::run(series, args).await;
    }
    let mut broken = 0;
    for seed in args.seed..args.seed + args.plans {
        let plan = Plan::open(seed, args.hosts, args.faults);
        let result = run_plan(&plan, args.keep.as_deref()).await?;
        output::line(format!("seed {seed}: {result}"))?;
        if result.violations.is_empty() {
            continue;
        }
        broken += 1;
        if args.shrink {
            let smallest = shrink(plan, args.keep.as_deref()).await?;
            output::line(format!(
                "fewest faults that still break a promise:\n{smallest}"
            ))?;
        }
    }
    match broken {
        0 => Ok(()),
        n => Err(CliError::open(
            Exit::Failed,
            format!("{n} of {} plans broke a promise", args.plans),
        )),
    }
}

/// Runs one plan; keeps the logs if a promise was broken.
async fn run_plan(plan: &Plan, keep: Option<&Path>) -> anyhow::Result<SoakResult> {
    let dir = log_dir(plan.seed, keep)?;
    let deployment = Deployment::spawn(&dir, plan.hosts, HostOptions::open()?).await?;
    let result = runner::run(deployment, plan).await?;
    if result.violations.is_empty() {
        std::fs::remove_dir_all(&dir).with_context(|| format!("removing {}", dir.display()))?;
    } else {
        let text = format!("{plan}\n{result}\n");
        let path = dir.join("plan.txt");
        std::fs::write(&path, text).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(result)
}

/// Removes faults from a plan one by one while it still breaks a promise.
async fn shrink(mut plan: Plan, keep: Option<&Path>) -> anyhow::Result<Plan> {
    let mut at = 0;
    while at < plan.steps.len() {
        let mut fewer = plan.clone();
        fewer.steps.remove(at);
        if run_plan(&fewer, keep).await?.violations.is_empty() {
            at += 1;
        } else {
            plan = fewer;
        }
    }
    Ok(plan)
}

fn log_dir(seed: u64, keep: Option<&Path>) -> anyhow::Result<PathBuf> {
    let name = format!("soak-{}-{seed}", std::process::id());
    let dir = keep
        .map_or_else(std::env::temp_dir, Path::to_path_buf)
        .join(name);
    std::fs::create_dir_all(&dir).with_context(|| format!("making {}", dir.display()))?;
    Ok(dir)
}
