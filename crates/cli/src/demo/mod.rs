//! `demo`: a deployment with load, a drained failure domain and a planned stop, in one process.

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
    exit::{Exit, Failure},
    load::{self, Mix, Pace, Tally},
    output,
    runtime::block_on,
};

use deployment::Stage;
use invariants::Audit;
use sampler::Probe;

/// Time that the load goes on for.
const LOAD: Duration = Duration::from_secs(15);

/// Time in the load at which a failure domain is drained.
const DRAIN_AT: Duration = Duration::from_secs(4);

/// Time in the load at which a host is stopped.
const STOP_AT: Duration = Duration::from_secs(8);

/// Time between two lines of progress.
const TICK: Duration = Duration::from_secs(1);

/// Part of the requests that may not be repeated.
const WRITES: f64 = 0.3;

/// Different keys of requests.
const KEYS: u64 = 500;

/// Runs the demo and tells whether every promise was kept.
pub(crate) fn run(args: &Demo) -> Result<(), Failure> {
    if !(args.rate.is_finite() && args.rate > 0.0) {
        return Err(Failure::open(Exit::Usage, "--rate takes a number above 0"));
    }
    let config = commands::read(&args.dir)?;
    output::line(format_args!(
        "{}: {}",
        args.dir.display(),
        commands::sizes(&config)
    ))?;
    let mut stage = Stage::open(config)?;
    output::line(format_args!(
        "{} hosts are ready at revision {}",
        stage.hosts.len(),
        stage.revision()
    ))?;
    let pace = Pace {
        rate: args.rate,
        time: LOAD,
        seed: args.seed,
    };
    let tally = Arc::new(Mutex::new(Tally::default()));
    let probe = Probe::spawn(&stage)?;
    let start = Instant::now();
    let load = start_load(&stage, &pace, &tally)?;
    progress(start, DRAIN_AT - TICK, &tally)?;
    let earlier = stage.started();
    progress(start, DRAIN_AT, &tally)?;
    let drain = stage.drain(&earlier)?;
    probe.drain(&drain.domain);
    output::line(format_args!(
        "drain of domain {} is in force, {:.3} s after its apply began",
        drain.domain,
        drain.at.elapsed().as_secs_f64()
    ))?;
    progress(start, STOP_AT, &tally)?;
    let stop = stop(&mut stage, &drain.domain)?;
    progress(start, LOAD, &tally)?;
    join(load)?;
    let stop = stop.map(join).transpose()?;
    let samples = probe.stop()?;
    let tally = lock(&tally).clone();
    let audit = Audit::of(&stage, &tally, &samples, &drain, stop);
    output::print(format_args!(
        "{}",
        table::table(&stage, &pace, &tally, &samples, &audit)
    ))?;
    audit.judge()
}

fn start_load(
    stage: &Stage,
    pace: &Pace,
    tally: &Arc<Mutex<Tally>>,
) -> Result<JoinHandle<Result<(), Failure>>, Failure> {
    let callers = callers::open(stage, pace.seed);
    let deadlines = stage.config.services.values().map(|s| s.deadline_ms.get());
    let mix = Mix {
        services: stage.config.services.keys().cloned().collect(),
        path: "/demo".into(),
        keys: KEYS,
        writes: WRITES,
        deadline: Duration::from_millis(deadlines.max().unwrap_or(1000)),
    };
    let (pace, tally) = (pace.clone(), Arc::clone(tally));
    let run = move || Ok(block_on(load::run(&callers, &mix, &pace, &tally))?);
    spawn("load", run)
}

/// Stops one host that the drain left in use; tells how long it took.
fn stop(
    stage: &mut Stage,
    drained: &str,
) -> Result<Option<JoinHandle<Result<Stopped, Failure>>>, Failure> {
    let Some(host) = stage.take_host(drained) else {
        return Ok(None);
    };
    output::line(format_args!("planned stop of host {} begins", host.name()))?;
    spawn("stop", move || stop_host(host)).map(Some)
}

/// A host that was stopped.
struct Stopped {
    name: Arc<str>,
    time: Duration,
}

fn stop_host(host: Host) -> Result<Stopped, Failure> {
    let name = Arc::clone(host.name());
    host.start_shutdown();
    let time = host.wait()?;
    Ok(Stopped { name, time })
}

/// Shows what callers got so far, once a second, until a time after `start`.
fn progress(start: Instant, until: Duration, tally: &Mutex<Tally>) -> Result<(), Failure> {
    let live = std::io::stdout().is_terminal();
    loop {
        let now = start.elapsed();
        if now >= until {
            break;
        }
        thread::sleep(TICK.min(until - now));
        let tally = lock(tally);
        let totals = tally.services.values();
        let (mut sent, mut answered, mut other) = (0, 0, 0);
        for totals in totals {
            sent += totals.sent;
            answered += totals.answered;
            other += totals.ended() - totals.answered;
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

fn lock(tally: &Mutex<Tally>) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn<T: Send + 'static>(
    name: &str,
    f: impl FnOnce() -> Result<T, Failure> + Send + 'static,
) -> Result<JoinHandle<Result<T, Failure>>, Failure> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(f);
    thread.map_err(|e| Failure::of(Exit::Failed, &e))
}

fn join<T>(thread: JoinHandle<Result<T, Failure>>) -> Result<T, Failure> {
    let died = |_| Failure::open(Exit::Failed, "a thread of the demo died");
    thread.join().map_err(died)?
}
