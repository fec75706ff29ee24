//! Second arrivals at targets, summed over host processes, under series of faults.
//!
//! Callers send each request once. Targets fail, so that every host would like to retry all of its
//! requests, and the faults make hosts start, end or lose sight of each other meanwhile. The worst
//! period of each series is compared with the bound that the hosts' settings state.

use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use dunlinrock_platform::standin::{RetryBound, StoreFault, TargetOptions};
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    deployment::{Deployment, HostOptions, HostProcess, clear_faults},
    log_dir,
    proxy::Mode,
    steady_callers::SteadyCallers,
};
use crate::{
    args::{Series, Soak},
    exit::{CliError, Exit},
    output,
};

/// The bound, as in the hosts' settings.
pub(super) const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

/// Returns the bound as lines of the section `bounds` of a host's settings.
pub(super) fn bound_settings() -> String {
    let window = BOUND.window.as_secs();
    format!(
        "retry_ratio = {:?}\nretry_slack = {:?}\nretry_window = \"{window}s\"\n",
        BOUND.ratio, BOUND.slack
    )
}

/// Time that hosts need to start and to learn of each other.
const START_TIME: Duration = Duration::from_secs(4);

/// Range of the time between the start of the hosts and the end of the store's answers.
const CUT_AFTER_MS: std::ops::Range<u64> = 30..600;

/// Time for which hosts are suspended, and time between two kills.
const FREEZE_TIME: Duration = Duration::from_millis(1200);
const KILL_INTERVAL: Duration = Duration::from_millis(1900);

/// Time after which hosts that the store does not answer are no longer listed.
const LEASE_TIME: Duration = Duration::from_secs(6);

/// Plays the series and reports the worst period of each.
pub(super) async fn run(series: Series, args: &Soak) -> Result<(), CliError> {
    let all = Series::NAMES.iter().map(|(_, series)| *series);
    let chosen: Vec<_> = all
        .filter(|one| *one != Series::All && (*one == series || series == Series::All))
        .collect();
    let mut broken = 0;
    for seed in args.seed..args.seed + args.plans {
        for series in &chosen {
            broken += usize::from(!play(*series, seed, args).await?);
        }
    }
    match broken {
        0 => Ok(()),
        n => Err(CliError::open(
            Exit::Failed,
            format!("{n} series exceeded the bound on second arrivals"),
        )),
    }
}

/// Plays one series; returns whether the bound held. The logs are kept if it did not.
async fn play(series: Series, seed: u64, args: &Soak) -> Result<bool, CliError> {
    let dir = log_dir(seed, args.keep.as_deref())?;
    let mut rig = Rig::open(&dir, seed, args).await?;
    rig.play(series).await?;
    let worst = rig.stop().await;
    let fraction = worst.as_ref().map_or(0.0, |worst| worst.fraction);
    let text = worst.map_or_else(|| "no second arrival".to_owned(), |worst| worst.text);
    output::line(format!("{series} seed {seed} hosts {}: {text}", args.hosts))?;
    let is_kept = fraction <= 1.0;
    if is_kept {
        std::fs::remove_dir_all(&dir).map_err(anyhow::Error::from)?;
    }
    Ok(is_kept)
}

/// The worst period of a series.
struct Worst {
    fraction: f64,
    text: String,
}

/// Hosts, targets and callers of one series.
struct Rig {
    deployment: Deployment,
    callers: SteadyCallers,
    start: Instant,
    rng: StdRng,
}

impl Rig {
    async fn open(dir: &Path, seed: u64, args: &Soak) -> anyhow::Result<Rig> {
        let own = HostOptions::open()?;
        let options = HostOptions {
            program: args.program.clone().map_or(own.program, absolute),
            bounds: format!("grace = \"6s\"\n{}", bound_settings()),
            first_start: args.first,
            has_keys: false,
        };
        let deployment = Deployment::open(dir, args.hosts, options).await?;
        let hosts = deployment.hosts.iter().map(HostProcess::direct).collect();
        Ok(Rig {
            callers: SteadyCallers::spawn(hosts, args.rate, seed),
            deployment,
            start: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
        })
    }

    async fn play(&mut self, series: Series) -> anyhow::Result<()> {
        match series {
            Series::All => Ok(()),
            Series::Start => self.start_together().await,
            Series::StartCut => self.start_cut().await,
            Series::KillEach => self.kill_each().await,
            Series::KillAll => self.kill_all().await,
            Series::Freeze => self.freeze().await,
            Series::Move => self.move_callers().await,
            Series::Join => self.join().await,
            Series::Split => self.split().await,
            Series::Targets => self.vary_targets().await,
        }
    }

    async fn start_together(&mut self) -> anyhow::Result<()> {
        let hosts = self.deployment.hosts.len();
        self.set_targets(|target| target.sheds_all = true);
        self.start_hosts(0..hosts)?;
        sleep_s(20).await;
        Ok(())
    }

    async fn start_cut(&mut self) -> anyhow::Result<()> {
        let hosts = self.deployment.hosts.len();
        self.set_targets(|target| target.sheds_all = true);
        self.start_hosts(0..hosts)?;
        let cut_after = Duration::from_millis(self.rng.random_range(CUT_AFTER_MS));
        tokio::time::sleep(cut_after).await;
        self.deployment.store_down(StoreFault::Closed);
        sleep_s(20).await;
        Ok(())
    }

    async fn kill_each(&mut self) -> anyhow::Result<()> {
        let hosts = self.deployment.hosts.len();
        self.start_and_shed().await?;
        for n in 0..hosts {
            self.kill(n..=n)?;
            tokio::time::sleep(KILL_INTERVAL).await;
        }
        sleep_s(5).await;
        Ok(())
    }

    async fn kill_all(&mut self) -> anyhow::Result<()> {
        let hosts = self.deployment.hosts.len();
        self.start_and_shed().await?;
        for _ in 0..2 {
            sleep_s(3).await;
            self.kill(0..=hosts - 1)?;
        }
        sleep_s(12).await;
        Ok(())
    }

    async fn freeze(&mut self) -> anyhow::Result<()> {
        let hosts = self.deployment.hosts.len();
        self.start_and_shed().await?;
        for n in 0..8 {
            let (half, all) = (hosts / 2, hosts);
            let frozen = if n % 2 == 0 { 0..half } else { half..all };
            self.signal(frozen.clone(), Signal::SIGSTOP)?;
            tokio::time::sleep(FREEZE_TIME).await;
            self.signal(frozen, Signal::SIGCONT)?;
            let close = n % 4 < 2;
            self.set_targets(|target| {
                target.sheds_all = !close;
                target.is_down = close;
            });
        }
        sleep_s(8).await;
        Ok(())
    }

    async fn move_callers(&mut self) -> anyhow::Result<()> {
        let hosts = self.deployment.hosts.len();
        let half = hosts / 2;
        self.start_hosts(0..hosts)?;
        self.callers.use_hosts(0..half);
        sleep_s(13).await;
        self.set_targets(|target| target.sheds_all = true);
        sleep_s(1).await;
        self.signal(0..half, Signal::SIGSTOP)?;
        self.callers.use_hosts(half..hosts);
        sleep_s(12).await;
        self.signal(0..half, Signal::SIGCONT)?;
        Ok(())
    }

    async fn join(&mut self) -> anyhow::Result<()> {
        let hosts = self.deployment.hosts.len();
        let first = (hosts / 6).max(1);
        self.start_hosts(0..first)?;
        sleep_s(12).await;
        self.set_store(0..first, Mode::Reset);
        self.start_hosts(first..hosts)?;
        tokio::time::sleep(START_TIME).await;
        sleep_s(10).await;
        self.set_targets(|target| target.sheds_all = true);
        sleep_s(12).await;
        Ok(())
    }

    async fn split(&mut self) -> anyhow::Result<()> {
        let hosts = self.deployment.hosts.len();
        self.start_hosts(0..hosts)?;
        sleep_s(12).await;
        self.set_store(0..hosts / 2, Mode::Reset);
        tokio::time::sleep(LEASE_TIME).await;
        self.set_targets(|target| target.sheds_all = true);
        sleep_s(10).await;
        self.kill(hosts / 2..=hosts - 1)?;
        sleep_s(10).await;
        Ok(())
    }

    async fn vary_targets(&mut self) -> anyhow::Result<()> {
        self.start_and_shed().await?;
        for n in 0..8 {
            self.set_targets(|target| {
                target.sheds_all = n % 4 == 0;
                target.is_down = n % 4 == 1;
                target.is_silent = n % 4 == 2;
            });
            sleep_s(3).await;
        }
        Ok(())
    }

    /// Starts all hosts, and makes all targets shed once they have served for more than a period.
    async fn start_and_shed(&mut self) -> anyhow::Result<()> {
        self.start_hosts(0..self.deployment.hosts.len())?;
        tokio::time::sleep(START_TIME + BOUND.window).await;
        self.set_targets(|target| target.sheds_all = true);
        sleep_s(3).await;
        Ok(())
    }

    fn start_hosts(&mut self, mut which: std::ops::Range<usize>) -> anyhow::Result<()> {
        which.try_for_each(|n| self.deployment.hosts[n].start())
    }

    /// Kills hosts at once, and starts them again.
    fn kill(&mut self, which: std::ops::RangeInclusive<usize>) -> anyhow::Result<()> {
        let hosts = &mut self.deployment.hosts[which];
        hosts
            .iter()
            .try_for_each(|host| host.signal(Signal::SIGKILL))?;
        for host in hosts {
            while host.id().is_some() {
                host.try_wait()?;
            }
            host.start()?;
        }
        Ok(())
    }

    fn signal(&self, which: std::ops::Range<usize>, signal: Signal) -> anyhow::Result<()> {
        let mut hosts = self.deployment.hosts[which].iter();
        hosts.try_for_each(|host| host.signal(signal))
    }

    fn set_store(&self, which: std::ops::Range<usize>, mode: Mode) {
        let hosts = self.deployment.hosts[which].iter();
        hosts.for_each(|host| host.store.set(mode));
    }

    fn set_targets(&self, change: impl Fn(&mut TargetOptions)) {
        for proxied in &self.deployment.targets {
            proxied.target.set(|options| {
                clear_faults(options);
                change(options);
            });
        }
    }

    /// Ends the callers and returns the worst period.
    async fn stop(self) -> Option<Worst> {
        let sent = self.callers.stop().await;
        let repeats = self.deployment.ledger.repeats();
        let worst = BOUND.worst(&sent, &repeats)?;
        let at = worst.start.saturating_duration_since(self.start);
        Some(Worst {
            fraction: worst.fraction(),
            text: format!(
                "{} second arrivals, {:.0} allowed, {:.2}, from {:.1} s; {} of {} requests in all",
                worst.repeats,
                worst.allowed,
                worst.fraction(),
                at.as_secs_f64(),
                repeats.len(),
                sent.len()
            ),
        })
    }
}

async fn sleep_s(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

fn absolute(path: PathBuf) -> PathBuf {
    path.canonicalize().unwrap_or(path)
}
