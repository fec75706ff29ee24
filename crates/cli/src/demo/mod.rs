//! `demo`: a deployment under load with a drained failure domain and a graceful shutdown, in one
//! process.

mod callers;
mod deployment;
mod invariants;
mod sampler;
mod table;

use std::{
    io::IsTerminal,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use dunlinrock_node::Host;

use crate::{
    args::Demo,
    commands,
    exit::{CliError, Exit},
    load::{self, LoadSchedule, LoadStats, Workload},
    output,
    runtime::block_on,
};

use deployment::DemoDeployment;
use invariants::InvariantChecks;
use sampler::Sampler;

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(15);

/// Time from the start of the load at which a failure domain is drained.
const DRAIN_AT: Duration = Duration::from_secs(4);

/// Time from the start of the load at which a host is stopped.
const STOP_AT: Duration = Duration::from_secs(8);

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the requests that are not idempotent.
const WRITE_FRACTION: f64 = 0.3;

/// Number of distinct request paths.
const PATHS: u64 = 500;

/// Runs the demo; returns an error if a promise was broken.
pub(crate) fn run(args: &Demo) -> Result<(), CliError> {
    if !(args.rate.is_finite() && args.rate > 0.0) {
        return Err(CliError::open(Exit::Usage, "--rate takes a number above 0"));
    }
    let config = commands::read(&args.dir)?;
    output::line(format_args!(
        "{}: {}",
        args.dir.display(),
        commands::summary(&config)
    ))?;
    let mut deployment = DemoDeployment::open(config)?;
    output::line(format_args!(
        "{} hosts are ready at revision {}",
        deployment.hosts.len(),
        deployment.revision()
    ))?;
    let schedule = LoadSchedule {
        rate: args.rate,
        duration: LOAD_DURATION,
        seed: args.seed,
    };
    let stats = Arc::new(Mutex::new(LoadStats::default()));
    let sampler = Sampler::spawn(&deployment)?;
    let start = Instant::now();
    let load = start_load(&deployment, &schedule, &stats)?;
    progress(start, DRAIN_AT - PROGRESS_INTERVAL, &stats)?;
    let earlier = deployment.started();
    progress(start, DRAIN_AT, &stats)?;
    let drain = deployment.drain(&earlier)?;
    sampler.drain(&drain.domain);
    output::line(format_args!(
        "drain of domain {} is in force, {:.3} s after its apply began",
        drain.domain,
        drain.at.elapsed().as_secs_f64()
    ))?;
    progress(start, STOP_AT, &stats)?;
    let stop = stop(&mut deployment, &drain.domain)?;
    progress(start, LOAD_DURATION, &stats)?;
    join(load)?;
    let stop = stop.map(join).transpose()?;
    let samples = sampler.stop()?;
    let stats = lock(&stats).clone();
    let checks = InvariantChecks::collect(&deployment, &stats, &samples, &drain, stop);
    output::print(format_args!(
        "{}",
        table::table(&deployment, &schedule, &stats, &samples, &checks)
    ))?;
    checks.to_result()
}

fn start_load(
    deployment: &DemoDeployment,
    schedule: &LoadSchedule,
    stats: &Arc<Mutex<LoadStats>>,
) -> Result<JoinHandle<Result<(), CliError>>, CliError> {
    let callers = callers::open(deployment, schedule.seed);
    let deadlines = deployment
        .config
        .services
        .values()
        .map(|s| s.deadline_ms.get());
    let workload = Workload {
        services: deployment.config.services.keys().cloned().collect(),
        path: "/demo".into(),
        path_count: PATHS,
        write_fraction: WRITE_FRACTION,
        deadline: Duration::from_millis(deadlines.max().unwrap_or(1000)),
    };
    let (schedule, stats) = (schedule.clone(), Arc::clone(stats));
    let run = move || Ok(block_on(load::run(&callers, &workload, &schedule, &stats))?);
    spawn("load", run)
}

/// Shuts down one host outside the drained domain, on a thread that returns how long it took.
fn stop(
    deployment: &mut DemoDeployment,
    drained: &str,
) -> Result<Option<JoinHandle<Result<StoppedHost, CliError>>>, CliError> {
    let Some(host) = deployment.remove_host(drained) else {
        return Ok(None);
    };
    output::line(format_args!("planned stop of host {} begins", host.name()))?;
    spawn("stop", move || stop_host(host)).map(Some)
}

/// A host that was shut down, and how long that took.
struct StoppedHost {
    name: Arc<str>,
    time: Duration,
}

fn stop_host(host: Host) -> Result<StoppedHost, CliError> {
    let name = Arc::clone(host.name());
    host.start_shutdown();
    let time = host.wait()?;
    Ok(StoppedHost { name, time })
}

/// Prints the callers' results so far once a second, until a time after `start`.
fn progress(start: Instant, until: Duration, stats: &Mutex<LoadStats>) -> Result<(), CliError> {
    let live = std::io::stdout().is_terminal();
    loop {
        let now = start.elapsed();
        if now >= until {
            break;
        }
        thread::sleep(PROGRESS_INTERVAL.min(until - now));
        let stats = lock(stats);
        let counts = stats.services.values();
        let (mut sent, mut answered, mut other) = (0, 0, 0);
        for counts in counts {
            sent += counts.sent;
            answered += counts.answered;
            other += counts.ended() - counts.answered;
        }
        let end = if live { '\r' } else { '\n' };
        output::print(format_args!(
            "{:>4.0} s: {sent:>6} sent, {answered:>6} answered, {other:>4} not{end}",
            start.elapsed().as_secs_f64()
        ))?;
    }
    if live {
        output::line("")?;
    }
    Ok(())
}

fn lock(stats: &Mutex<LoadStats>) -> MutexGuard<'_, LoadStats> {
    stats.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn<T: Send + 'static>(
    name: &str,
    f: impl FnOnce() -> Result<T, CliError> + Send + 'static,
) -> Result<JoinHandle<Result<T, CliError>>, CliError> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(f);
    thread.map_err(|e| CliError::from_error(Exit::Failed, &e))
}

fn join<T>(thread: JoinHandle<Result<T, CliError>>) -> Result<T, CliError> {
    let died = |_| CliError::open(Exit::Failed, "a thread of the demo panicked");
    thread.join().map_err(died)?
}
