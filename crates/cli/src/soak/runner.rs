//! Plays a plan and checks the promises while it runs and after it.

use std::{
    collections::BTreeMap,
    fmt, fs,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use anyhow::Context;
use nix::sys::signal::Signal;

use super::{
    callers::{Callers, lock},
    deployment::Fleet,
    faults,
    plan::{Fault, Plan},
};

/// Pause between two looks at processes and their dumps.
const LOOK: Duration = Duration::from_millis(100);

/// How long the deployment may take to be whole again after the last fault. It only ends a hang:
/// hosts are back within seconds, and a machine that is busy may take ten times as long.
const HANG: Duration = Duration::from_secs(120);

/// Largest resident memory of a host, in bytes, and most descriptors: the platform's own limits.
const MEMORY: u64 = 260 << 20;
const DESCRIPTORS: usize = 4100;

/// Size of a page of memory, in bytes.
const PAGE: u64 = 4096;

/// What a plan led to.
#[derive(Debug)]
pub(super) struct Verdict {
    pub(super) breaks: Vec<String>,
    answered: u32,
    failed: u32,
    refused: usize,
    ran: usize,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} answered, {} failed, {} of them refused, {} ran; ",
            self.answered, self.failed, self.refused, self.ran
        )?;
        if self.breaks.is_empty() {
            return f.write_str("every promise kept");
        }
        write!(f, "{} promises broke:", self.breaks.len())?;
        self.breaks
            .iter()
            .take(20)
            .try_for_each(|text| write!(f, "\n  {text}"))
    }
}

/// A deployment that is watched.
struct Watch {
    fleet: Fleet,
    callers: Callers,
    /// Faults that are to end.
    open: Vec<(Instant, Fault)>,
    /// Hosts that were killed or asked to stop since their last start.
    killed: Vec<bool>,
    stopped: Vec<bool>,
    /// Version that each start of a host last held.
    versions: BTreeMap<(usize, u32), u64>,
    /// Targets that leave: their id, and their arrivals once no host lists them.
    leaving: BTreeMap<usize, (String, Option<u32>)>,
}

/// Plays a plan.
pub(super) async fn watch(fleet: Fleet, plan: &Plan) -> anyhow::Result<Verdict> {
    let hosts: Vec<_> = fleet
        .hosts
        .iter()
        .map(|host| host.callers.address)
        .collect();
    let mut watch = Watch {
        callers: Callers::spawn(&hosts, &fleet.ledger, &fleet.keys, plan.seed),
        killed: vec![false; hosts.len()],
        stopped: vec![false; hosts.len()],
        fleet,
        open: Vec::new(),
        versions: BTreeMap::new(),
        leaving: BTreeMap::new(),
    };
    watch.until_whole("at the start").await?;
    for step in &plan.steps {
        watch.look_for(step.pause).await?;
        watch.begin(step.fault, step.lasts)?;
    }
    while !watch.open.is_empty() {
        watch.look_for(LOOK).await?;
    }
    watch.until_whole("after the last fault").await?;
    watch.callers.stop().await;
    watch.stop_all().await?;
    Ok(watch.verdict())
}

impl Watch {
    fn broke(&self, text: String) {
        self.callers.seen.broke(text);
    }

    fn begin(&mut self, fault: Fault, lasts: Duration) -> anyhow::Result<()> {
        // A fault that is at work already would end with the first of the two.
        if self.open.iter().any(|(_, other)| *other == fault) {
            return Ok(());
        }
        match fault {
            Fault::Kill(host) => self.killed[host] = true,
            Fault::Stop(host) => self.stopped[host] = true,
            Fault::TargetLeaves(n) => {
                let id = self.fleet.targets[n].target.rules().id;
                self.leaving.insert(n, (id, None));
            }
            _ => {}
        }
        faults::begin(&mut self.fleet, &self.callers.calm, fault)?;
        self.open.push((Instant::now() + lasts, fault));
        Ok(())
    }

    /// Looks again and again for a time, and ends the faults that are due.
    async fn look_for(&mut self, time: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + time;
        loop {
            self.end_due()?;
            self.look().await?;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            tokio::time::sleep(left.min(LOOK)).await;
        }
    }

    fn end_due(&mut self) -> anyhow::Result<()> {
        let now = Instant::now();
        let (due, open) = self.open.drain(..).partition(|(end, _)| *end <= now);
        self.open = open;
        let due: Vec<(Instant, Fault)> = due;
        for (_, fault) in due {
            if let Fault::TargetLeaves(n) = fault {
                self.judge_leaving(n);
            }
            faults::end(&mut self.fleet, &self.callers.calm, fault)?;
        }
        Ok(())
    }

    /// One look at every process and what it says of itself.
    async fn look(&mut self) -> anyhow::Result<()> {
        let mut lists = Vec::new();
        for n in 0..self.fleet.hosts.len() {
            self.look_at_end(n)?;
            self.look_at_size(n)?;
            let dump = self.fleet.hosts[n].dump().await;
            if let Some(dump) = &dump {
                self.look_at_version(n, dump["version"].as_u64().unwrap_or_default());
            }
            lists.push(dump.map(|dump| dump["targets"].to_string()));
        }
        for (n, (id, arrivals)) in &mut self.leaving {
            let quoted = format!("\"{id}\"");
            let gone = lists
                .iter()
                .all(|l| l.as_ref().is_some_and(|l| !l.contains(&quoted)));
            if gone && arrivals.is_none() {
                *arrivals = Some(self.fleet.targets[*n].target.arrivals());
            }
        }
        Ok(())
    }

    /// Processes end only when they are killed or asked to.
    fn look_at_end(&mut self, n: usize) -> anyhow::Result<()> {
        let Some(code) = self.fleet.hosts[n].ended()? else {
            return Ok(());
        };
        let (killed, stopped) = (self.killed[n], self.stopped[n]);
        let in_order = stopped && code == Some(0);
        if !(killed || in_order) {
            self.broke(format!("h{n} ended by itself, or badly, with {code:?}"));
        }
        if stopped || !killed {
            self.fleet.hosts[n].revive()?;
        }
        (self.killed[n], self.stopped[n]) = (false, false);
        Ok(())
    }

    fn look_at_size(&self, n: usize) -> anyhow::Result<()> {
        let Some(id) = self.fleet.hosts[n].id() else {
            return Ok(());
        };
        // A process that has just ended has no figures any more.
        let Ok(text) = fs::read_to_string(format!("/proc/{id}/statm")) else {
            return Ok(());
        };
        let pages = text.split_whitespace().nth(1).context("resident memory")?;
        let memory = pages.parse::<u64>().context("resident memory")? * PAGE;
        let files = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        if memory > MEMORY || files > DESCRIPTORS {
            self.broke(format!("h{n} holds {memory} bytes and {files} descriptors"));
        }
        Ok(())
    }

    /// A process never goes back to an older configuration.
    fn look_at_version(&mut self, n: usize, version: u64) {
        let start = (n, self.fleet.hosts[n].starts);
        let held = self.versions.entry(start).or_default();
        if version < *held {
            let text = format!("h{n} went back from version {held} to {version}");
            self.callers.seen.broke(text);
        }
        *held = version.max(*held);
    }

    /// A target gets nothing after every host knew that it leaves.
    fn judge_leaving(&mut self, n: usize) {
        let Some((id, Some(before))) = self.leaving.remove(&n) else {
            return;
        };
        let target = &self.fleet.targets[n].target;
        // Another start at its address has arrivals of its own.
        let late = target.arrivals() - before;
        if target.rules().id == id && late > 0 {
            self.broke(format!("{id} got {late} requests after no host listed it"));
        }
    }

    /// Waits until every host serves and holds the newest configuration.
    async fn until_whole(&mut self, when: &str) -> anyhow::Result<()> {
        let end = Instant::now() + HANG;
        loop {
            self.look_for(LOOK).await?;
            let mut whole = true;
            for host in &mut self.fleet.hosts {
                host.revive()?;
                let dump = host.dump().await.unwrap_or_default();
                whole &= dump["ready"] == true && dump["version"] == self.fleet.version;
            }
            if whole {
                return Ok(());
            }
            if Instant::now() > end {
                self.broke(format!("the hosts are not whole again {when}"));
                return Ok(());
            }
        }
    }

    /// Asks every host to stop; each ends by itself and in order.
    async fn stop_all(&mut self) -> anyhow::Result<()> {
        for host in &self.fleet.hosts {
            host.signal(Signal::SIGTERM)?;
        }
        for n in 0..self.fleet.hosts.len() {
            let code = loop {
                if let Some(code) = self.fleet.hosts[n].ended()? {
                    break code;
                }
                tokio::time::sleep(LOOK).await;
            };
            if code != Some(0) {
                self.broke(format!("h{n} stopped with {code:?}"));
            }
        }
        Ok(())
    }

    fn verdict(&self) -> Verdict {
        let (seen, ledger) = (&self.callers.seen, &self.fleet.ledger);
        let refused = lock(&seen.refused);
        for id in refused.iter().filter(|id| ledger.runs(id) > 0) {
            self.broke(format!("{id} was told that it has not run, and ran"));
        }
        for id in lock(&seen.once).iter().filter(|id| ledger.runs(id) > 1) {
            self.broke(format!("{id} ran {} times", ledger.runs(id)));
        }
        for text in self.fleet.keys.judge(ledger) {
            self.broke(text);
        }
        let answered = seen.answered.load(Ordering::Relaxed);
        if answered == 0 {
            self.broke("nothing was answered".to_owned());
        }
        Verdict {
            breaks: lock(&seen.breaks).clone(),
            answered,
            failed: seen.failed.load(Ordering::Relaxed),
            refused: refused.len(),
            ran: ledger.count(),
        }
    }
}
