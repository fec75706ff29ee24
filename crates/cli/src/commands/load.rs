//! `load`: puts open-loop load on running hosts.

use std::{
    fs,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use anyhow::Context;

use crate::{
    args::Load,
    caller::{Caller, CallerOptions},
    exit::{CliError, Exit},
    load::{self, LoadSchedule, LoadStats, Report, Workload},
    output,
    runtime::block_on,
};

/// Maximum attempts per request; the deadline usually ends a request earlier.
const ATTEMPTS: u32 = 10;

/// Runs a load and prints its report.
pub(crate) fn load(args: &Load) -> Result<(), CliError> {
    let schedule = schedule(args)?;
    let workload = Workload {
        services: args.service.clone(),
        path: path(&args.path)?,
        path_count: args.keys,
        write_fraction: args.mix,
        deadline: Duration::from_millis(args.deadline),
    };
    let callers: Vec<_> = (0..args.callers).map(|n| caller(args, n)).collect();
    let stats = Arc::new(Mutex::new(LoadStats::default()));
    block_on(load::run(&callers, &workload, &schedule, &stats))?;
    let report = Report::from_stats(
        &schedule,
        &stats.lock().unwrap_or_else(PoisonError::into_inner),
    );
    print(&report, args.json.as_deref())?;
    check_report(&report)
}

fn schedule(args: &Load) -> Result<LoadSchedule, CliError> {
    let wrong = |text: &str| CliError::open(Exit::Usage, text);
    if !(args.rate.is_finite() && args.rate > 0.0) {
        return Err(wrong("--rate takes a number above 0"));
    }
    if args.callers == 0 {
        return Err(wrong("--callers takes a number above 0"));
    }
    if !(0.0..=1.0).contains(&args.mix) {
        return Err(wrong("--mix takes a fraction from 0 to 1"));
    }
    let time = Duration::try_from_secs_f64(args.time);
    Ok(LoadSchedule {
        rate: args.rate,
        duration: time.map_err(|_| wrong("--time takes a number of seconds"))?,
        seed: args.seed,
    })
}

fn path(path: &str) -> Result<Arc<str>, CliError> {
    let sound = path.starts_with('/') && path.parse::<http::Uri>().is_ok() && !path.contains('?');
    match sound {
        true => Ok(path.trim_end_matches('/').into()),
        false => {
            let message = format!("--path: `{path}` is not a path such as /courses");
            Err(CliError::open(Exit::Usage, message))
        }
    }
}

fn caller(args: &Load, number: usize) -> Arc<Caller> {
    let n = u64::try_from(number).unwrap_or_default();
    Arc::new(Caller::open(CallerOptions {
        name: format!("caller-{number}").into(),
        seeds: args.at.clone(),
        local_addr: None,
        attempts: ATTEMPTS,
        seed: args.seed.wrapping_mul(1_000_003).wrapping_add(n),
    }))
}

fn print(report: &Report, json: Option<&Path>) -> Result<(), CliError> {
    let Some(path) = json else {
        output::print(format_args!("{report}"))?;
        return Ok(());
    };
    let text = serde_json::to_string_pretty(report).context("writing the report")?;
    if path == Path::new("-") {
        output::line(format_args!("{text}"))?;
        return Ok(());
    }
    output::print(format_args!("{report}"))?;
    fs::write(path, text + "\n")
        .map_err(|e| CliError::open(Exit::Usage, format!("cannot write {}: {e}", path.display())))
}

/// Returns an error if a response was mismatched or no request was answered.
fn check_report(report: &Report) -> Result<(), CliError> {
    if report.has_wrong() {
        return Err(CliError::open(
            Exit::Failed,
            "a caller got the response to another request",
        ));
    }
    let answered = report.services.values().any(|share| share.answered > 0);
    if !answered {
        return Err(CliError::open(
            Exit::Unreachable,
            "no request was answered; are hosts running at --at?",
        ));
    }
    Ok(())
}
