//! Runs a fault plan and checks the promises during and after it.

use std::{
    collections::BTreeMap,
    fmt, fs,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use anyhow::Context;
use dunlinrock_platform::standin::ATTEMPTS;
use nix::sys::signal::Signal;
use serde_json::Value;

use super::{
    callers::{Callers, crasher_path, lock},
    deployment::Deployment,
    faults,
    notices::{Excuse, LEARNING_TIME, Observed},
    plan::{Fault, Plan, TARGETS},
    proxy::Mode,
    retries::BOUND,
};

/// Interval at which processes and their dumps are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a starting process is checked until it is prepared for a signal. It is short,
/// so that the signal arrives in the first moments of the start.
const START_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time limit for the deployment to recover after the last fault. It only ends a hang: hosts
/// recover within seconds, and a busy machine may take ten times as long.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(120);

/// Time after its third crash in which hosts learn of a request, and the crashes that it may cause
/// later.
const CRASH_LEARNING_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_CRASHES: usize = 3;

/// Time for which a crashed target is down.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1500);

/// Rate that a target names, in requests a second, the time in which hosts learn of it, and the span
/// over which its requests are counted then.
const RATE: f64 = 1.0;
const RATE_LEARNING_TIME: Duration = Duration::from_secs(3);
const RATE_SPAN: Duration = Duration::from_secs(4);

/// Status, in a dump, of links to the targets that work.
const LINKS_UP: &str = "Up";

/// Time after which what a returned store has lost is written again.
const REWRITE_TIME: Duration = Duration::from_millis(1500);

/// Limits on a host's resident memory and open descriptors, as the platform sets them.
const MAX_MEMORY_BYTES: u64 = 260 << 20;
const MAX_DESCRIPTORS: usize = 4100;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Result of a plan.
#[derive(Debug)]
pub(super) struct SoakResult {
    pub(super) violations: Vec<String>,
    answered: u32,
    failed: u32,
    refused: usize,
    ran: usize,
    /// Second arrivals at targets in the worst period, as a fraction of those allowed.
    budget_used: f64,
}

impl fmt::Display for SoakResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} answered, {} failed, {} of them refused, {} ran, {:.2} of the retry budget; ",
            self.answered, self.failed, self.refused, self.ran, self.budget_used
        )?;
        if self.violations.is_empty() {
            return f.write_str("every promise kept");
        }
        write!(f, "{} promises broke:", self.violations.len())?;
        self.violations
            .iter()
            .take(20)
            .try_for_each(|text| write!(f, "\n  {text}"))
    }
}

/// State of a running plan.
struct Runner {
    deployment: Deployment,
    callers: Callers,
    /// Active faults and their end times.
    active_faults: Vec<(Instant, Fault)>,
    /// Hosts that were killed or asked to stop since their last start.
    killed: Vec<bool>,
    stopped: Vec<bool>,
    /// Highest configuration version seen at each start of a host.
    versions: BTreeMap<(usize, u32), u64>,
    /// Leaving targets: their id, and their request count at the time when no host listed them.
    leaving: BTreeMap<usize, (String, Option<u32>)>,
    /// Starts of all hosts when the leaving targets were last checked.
    starts: u32,
    /// Crashes of each target that were acted on.
    crashes: Vec<u32>,
    /// Crashed targets, and when they start again.
    crashed: BTreeMap<usize, Instant>,
    /// Disturbances of hosts and of their links to targets so far.
    excuses: Vec<Excuse>,
}

/// Runs a plan and returns its result.
pub(super) async fn run(deployment: Deployment, plan: &Plan) -> anyhow::Result<SoakResult> {
    let hosts: Vec<_> = deployment
        .hosts
        .iter()
        .map(|host| host.callers.address)
        .collect();
    let mut runner = Runner {
        callers: Callers::spawn(&hosts, &deployment.ledger, &deployment.keys, plan.seed),
        killed: vec![false; hosts.len()],
        stopped: vec![false; hosts.len()],
        deployment,
        active_faults: Vec::new(),
        versions: BTreeMap::new(),
        leaving: BTreeMap::new(),
        starts: 0,
        crashes: vec![0; TARGETS],
        crashed: BTreeMap::new(),
        excuses: Vec::new(),
    };
    runner.wait_recovered("at the start").await?;
    for step in &plan.steps {
        runner.monitor_for(step.pause).await?;
        runner.begin(step.fault, step.lasts).await?;
    }
    while !runner.active_faults.is_empty() {
        runner.monitor_for(POLL_INTERVAL).await?;
    }
    runner.wait_recovered("after the last fault").await?;
    runner.check_calm().await?;
    runner.callers.stop().await;
    runner.stop_all().await?;
    Ok(runner.result())
}

impl Runner {
    fn record_violation(&self, text: String) {
        self.callers.observations.record_violation(text);
    }

    async fn begin(&mut self, fault: Fault, lasts: Duration) -> anyhow::Result<()> {
        // Two overlapping instances of a fault would both end with the first.
        if self.active_faults.iter().any(|(_, other)| *other == fault) {
            return Ok(());
        }
        match fault {
            Fault::Stop(host) => self.wait_prepared(host, Signal::SIGTERM).await?,
            Fault::Reload(host) => self.wait_prepared(host, Signal::SIGHUP).await?,
            _ => {}
        }
        match fault {
            Fault::Kill(host) => self.killed[host] = true,
            Fault::Stop(host) => self.stopped[host] = true,
            Fault::TargetLeaves(n) => {
                let id = self.deployment.targets[n].target.options().id;
                self.leaving.insert(n, (id, None));
            }
            _ => {}
        }
        self.excuse(fault);
        faults::begin(&mut self.deployment, &self.callers.host_faults, fault)?;
        self.active_faults.push((Instant::now() + lasts, fault));
        Ok(())
    }

    /// Records the start or the end of a fault that keeps a host from learning what a target says,
    /// or makes it forget that.
    fn excuse(&mut self, fault: Fault) {
        let (host, target) = match fault {
            Fault::Kill(host) | Fault::Pause(host) | Fault::Stop(host) => (Some(host), None),
            Fault::TargetMute(target) => (None, Some(target)),
            _ => return,
        };
        let at = Instant::now();
        self.excuses.push(Excuse { host, target, at });
    }

    /// Records that a host's links to the targets do not work, now and until the next poll.
    fn excuse_lost_links(&mut self, host: usize, links: &Value) {
        if links == LINKS_UP {
            return;
        }
        let now = Instant::now();
        let excuses = [now, now + LEARNING_TIME].map(|at| Excuse {
            host: Some(host),
            target: None,
            at,
        });
        self.excuses.extend(excuses);
    }

    /// Waits until a host's process is prepared for a signal, or has ended.
    async fn wait_prepared(&mut self, host: usize, signal: Signal) -> anyhow::Result<()> {
        while self.deployment.hosts[host].id().is_some()
            && !self.deployment.hosts[host].is_prepared(signal)
        {
            tokio::time::sleep(START_POLL_INTERVAL).await;
            self.end_due()?;
            self.check_exit(host)?;
        }
        Ok(())
    }

    /// Checks the hosts repeatedly for a time and ends the faults that are due.
    async fn monitor_for(&mut self, time: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + time;
        loop {
            self.end_due()?;
            self.restart_crashed();
            self.check_hosts().await?;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            tokio::time::sleep(left.min(POLL_INTERVAL)).await;
        }
    }

    /// Starts crashed targets again, as other incarnations.
    fn restart_crashed(&mut self) {
        let now = Instant::now();
        for n in 0..TARGETS {
            let crashes = *self.deployment.targets[n].target.crashes().borrow();
            if crashes != std::mem::replace(&mut self.crashes[n], crashes) {
                self.crashed.insert(n, now + CRASH_DOWNTIME);
            }
            if self.crashed.get(&n).is_some_and(|end| *end <= now) {
                self.crashed.remove(&n);
                self.deployment.replace_target(n);
                self.deployment.targets[n].proxy.set(Mode::Pass);
            }
        }
    }

    /// Checks what holds only without other faults: the rate that a target names, and the number of
    /// targets that one request crashes.
    async fn check_calm(&mut self) -> anyhow::Result<()> {
        let start = Instant::now();
        while !self.check_rate().await? {}
        // The same path of another workspace is another request.
        let mut crashes: BTreeMap<_, Vec<Instant>> = BTreeMap::new();
        for (id, runs) in self.deployment.ledger.all() {
            let Some(path) = crasher_path(&id) else {
                continue;
            };
            for run in runs {
                let request = (path, run.workspace);
                crashes.entry(request).or_default().push(run.at);
            }
        }
        for ((path, workspace), mut at) in crashes {
            at.sort();
            let Some(third) = at.get(2) else { continue };
            let known = start.max(*third) + CRASH_LEARNING_TIME;
            let late = at.iter().filter(|at| **at > known).count();
            if late > MAX_LATE_CRASHES {
                let text = format!("crash-{path} of {workspace:?} crashed {late} targets too late");
                self.record_violation(text);
            }
        }
        Ok(())
    }

    /// Checks that a target gets no more than it names for all hosts together, once they know.
    /// Returns false if the target crashed meanwhile, so that nothing was checked.
    async fn check_rate(&mut self) -> anyhow::Result<bool> {
        let target = self.deployment.targets[0].target.clone();
        let id = target.options().id;
        target.set(|rules| rules.rate = Some(RATE));
        self.monitor_for(RATE_LEARNING_TIME).await?;
        let before = target.arrivals();
        self.monitor_for(RATE_SPAN).await?;
        let count = target.arrivals() - before;
        if target.options().id != id || self.crashed.contains_key(&0) {
            return Ok(false);
        }
        target.set(|rules| rules.rate = None);
        let allowed = 1.5 * RATE * RATE_SPAN.as_secs_f64() + 5.0;
        if f64::from(count) > allowed {
            let text = format!("a target got {count} requests in {RATE_SPAN:?}, {allowed} allowed");
            self.record_violation(text);
        }
        Ok(true)
    }

    fn end_due(&mut self) -> anyhow::Result<()> {
        let now = Instant::now();
        let (due, active_faults) = self
            .active_faults
            .drain(..)
            .partition(|(end, _)| *end <= now);
        self.active_faults = active_faults;
        let due: Vec<(Instant, Fault)> = due;
        for (_, fault) in due {
            if let Fault::TargetLeaves(n) = fault {
                self.check_leaving(n);
            }
            faults::end(&mut self.deployment, &self.callers.host_faults, fault)?;
            self.excuse(fault);
            if fault == Fault::StoreReturns {
                let lacks = Fault::StoreLacksWrites;
                faults::begin(&mut self.deployment, &self.callers.host_faults, lacks)?;
                self.active_faults.push((now + REWRITE_TIME, lacks));
            }
        }
        Ok(())
    }

    /// Checks each process and its dump once.
    async fn check_hosts(&mut self) -> anyhow::Result<()> {
        let mut lists = Vec::new();
        for n in 0..self.deployment.hosts.len() {
            self.check_exit(n)?;
            self.check_resources(n)?;
            let dump = self.deployment.hosts[n].dump().await;
            if let Some(dump) = &dump {
                self.check_version(n, dump["version"].as_u64().unwrap_or_default());
                self.excuse_lost_links(n, &dump["links"]);
            }
            lists.push(dump.map(|dump| dump["targets"].to_string()));
        }
        self.recheck_leaving();
        for (n, (id, arrivals)) in &mut self.leaving {
            let quoted = format!("\"{id}\"");
            let gone = lists
                .iter()
                .all(|l| l.as_ref().is_some_and(|l| !l.contains(&quoted)));
            if gone && arrivals.is_none() {
                *arrivals = Some(self.deployment.targets[*n].target.arrivals());
            }
        }
        Ok(())
    }

    /// Begins the check of leaving targets anew if a host has started while the store lacks writes:
    /// it may know nothing of them yet.
    fn recheck_leaving(&mut self) {
        let starts = self.deployment.hosts.iter().map(|host| host.start_count);
        let starts: u32 = starts.sum();
        let is_changed = std::mem::replace(&mut self.starts, starts) != starts;
        let lacks_writes = |(_, fault): &(Instant, Fault)| *fault == Fault::StoreLacksWrites;
        if is_changed && self.active_faults.iter().any(lacks_writes) {
            let known = self.leaving.values_mut();
            known.for_each(|(_, arrivals)| *arrivals = None);
        }
    }

    /// Checks that a process exits only after it was killed or signalled to stop.
    fn check_exit(&mut self, n: usize) -> anyhow::Result<()> {
        let Some(code) = self.deployment.hosts[n].try_wait()? else {
            return Ok(());
        };
        let (killed, stopped) = (self.killed[n], self.stopped[n]);
        let in_order = stopped && code == Some(0);
        if !(killed || in_order) {
            self.record_violation(format!("h{n} exited unexpectedly with {code:?}"));
        }
        self.excuses.push(Excuse {
            host: Some(n),
            target: None,
            at: Instant::now(),
        });
        if stopped || !killed {
            self.deployment.hosts[n].ensure_running()?;
        }
        (self.killed[n], self.stopped[n]) = (false, false);
        Ok(())
    }

    fn check_resources(&self, n: usize) -> anyhow::Result<()> {
        let Some(id) = self.deployment.hosts[n].id() else {
            return Ok(());
        };
        // A process that has just exited has no entries in /proc.
        let Ok(text) = fs::read_to_string(format!("/proc/{id}/statm")) else {
            return Ok(());
        };
        let pages = text.split_whitespace().nth(1).context("resident memory")?;
        let memory = pages.parse::<u64>().context("resident memory")? * PAGE_BYTES;
        let files = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        if memory > MAX_MEMORY_BYTES || files > MAX_DESCRIPTORS {
            self.record_violation(format!("h{n} holds {memory} bytes and {files} descriptors"));
        }
        Ok(())
    }

    /// Checks that a process never returns to an older configuration.
    fn check_version(&mut self, n: usize, version: u64) {
        let start = (n, self.deployment.hosts[n].start_count);
        let held = self.versions.entry(start).or_default();
        if version < *held {
            let text = format!("h{n} returned from version {held} to {version}");
            self.callers.observations.record_violation(text);
        }
        *held = version.max(*held);
    }

    /// Checks that a leaving target received no request after every host stopped listing it.
    fn check_leaving(&mut self, n: usize) {
        let Some((id, Some(before))) = self.leaving.remove(&n) else {
            return;
        };
        let target = &self.deployment.targets[n].target;
        // A later incarnation at this address has its own request count.
        let late = target.arrivals() - before;
        if target.options().id == id && late > 0 {
            self.record_violation(format!("{id} got {late} requests after no host listed it"));
        }
    }

    /// Waits until every host is ready and has applied the latest configuration.
    async fn wait_recovered(&mut self, when: &str) -> anyhow::Result<()> {
        let end = Instant::now() + RECOVERY_TIMEOUT;
        loop {
            self.monitor_for(POLL_INTERVAL).await?;
            let mut recovered = true;
            for host in &mut self.deployment.hosts {
                host.ensure_running()?;
                let dump = host.dump().await.unwrap_or_default();
                recovered &= dump["ready"] == true && dump["version"] == self.deployment.version;
            }
            // A host whose lease the store has lost must be announced again.
            let announced = self.deployment.store.announced();
            recovered &= announced.len() == self.deployment.hosts.len();
            if recovered {
                return Ok(());
            }
            if Instant::now() > end {
                self.record_violation(format!("the hosts did not recover {when}"));
                return Ok(());
            }
        }
    }

    /// Stops every host by SIGTERM; each must exit with code 0.
    async fn stop_all(&mut self) -> anyhow::Result<()> {
        for host in &self.deployment.hosts {
            host.signal(Signal::SIGTERM)?;
        }
        for n in 0..self.deployment.hosts.len() {
            let code = loop {
                if let Some(code) = self.deployment.hosts[n].try_wait()? {
                    break code;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            };
            if code != Some(0) {
                self.record_violation(format!("h{n} stopped with {code:?}"));
            }
        }
        Ok(())
    }

    fn result(&self) -> SoakResult {
        let (observations, ledger) = (&self.callers.observations, &self.deployment.ledger);
        let refused = lock(&observations.refused);
        for id in refused.iter().filter(|id| ledger.runs(id) > 0) {
            self.record_violation(format!("{id} was answered as not run, and ran"));
        }
        for id in lock(&observations.once)
            .iter()
            .filter(|id| ledger.runs(id) > 1)
        {
            self.record_violation(format!("{id} ran {} times", ledger.runs(id)));
        }
        for id in ledger.arrived_over(ATTEMPTS as usize) {
            self.record_violation(format!("{id} arrived more than {ATTEMPTS} times"));
        }
        let sent: Vec<_> = lock(&observations.sent).values().copied().collect();
        let worst = BOUND.worst(&sent, &ledger.repeats());
        let budget_used = worst.map_or(0.0, |worst| worst.fraction());
        if let Some(worst) = worst.filter(|_| budget_used > 1.0) {
            self.record_violation(format!(
                "{} second arrivals in {:?}, {:.0} allowed",
                worst.repeats, BOUND.window, worst.allowed
            ));
        }
        let observed = Observed {
            arrivals: &ledger.at_targets(),
            leaving: &lock(&observations.leaving),
            sent: &lock(&observations.sent),
            excuses: &self.excuses,
        };
        for text in observed.violations() {
            self.record_violation(text);
        }
        for text in self.deployment.keys.violations(ledger) {
            self.record_violation(text);
        }
        let answered = observations.answered.load(Ordering::Relaxed);
        if answered == 0 {
            self.record_violation("no request was answered".to_owned());
        }
        SoakResult {
            violations: lock(&observations.violations).clone(),
            answered,
            failed: observations.failed.load(Ordering::Relaxed),
            refused: refused.len(),
            ran: ledger.count(),
            budget_used,
        }
    }
}
