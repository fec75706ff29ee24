//! Samples the targets' load while the demo runs.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use dunlinrock_fakes::Target;

use super::{deployment::DemoDeployment, join, spawn};
use crate::exit::CliError;

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// A target with its failure domain and region.
struct PlacedTarget {
    target: Target,
    domain: Arc<str>,
    region: Arc<str>,
}

/// Samples of a region.
#[derive(Clone, Debug, Default)]
pub(super) struct RegionSamples {
    /// Slots of its targets in the last sample.
    pub(super) slots: u32,
    /// Number of samples.
    samples: u32,
    /// Sum of the fractions of free slots over all samples.
    free_sum: f64,
    /// Minimum fraction of free slots.
    min_free: f64,
}

/// Samples of a failure domain.
#[derive(Clone, Debug)]
pub(super) struct DomainSamples {
    /// Last time at which it was running requests or had started new ones.
    pub(super) last_busy: Instant,
    /// Requests started up to then.
    pub(super) started: u64,
    /// Requests started before the drain.
    pub(super) started_before_drain: u64,
}

/// Samples of all regions and failure domains.
#[derive(Clone, Debug, Default)]
pub(super) struct Samples {
    pub(super) regions: BTreeMap<Arc<str>, RegionSamples>,
    pub(super) domains: BTreeMap<Arc<str>, DomainSamples>,
}

/// A thread that samples the targets until it is stopped.
pub(super) struct Sampler {
    /// The drained domain; its slots no longer count as headroom.
    drained: Arc<OnceLock<Arc<str>>>,
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Result<Samples, CliError>>,
}

impl Sampler {
    pub(super) fn spawn(deployment: &DemoDeployment) -> Result<Self, CliError> {
        let placed = place(deployment);
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let drained = Arc::new(OnceLock::new());
        let out = Arc::clone(&drained);
        let sample = move || {
            let mut samples = Samples::default();
            while !stopped.load(Ordering::Relaxed) {
                samples.sample(&placed, out.get(), Instant::now());
                thread::sleep(SAMPLE_INTERVAL);
            }
            Ok(samples)
        };
        Ok(Self {
            drained,
            stop,
            thread: spawn("probe", sample)?,
        })
    }

    /// Excludes the slots of a drained domain from further samples.
    pub(super) fn drain(&self, domain: &Arc<str>) {
        let _ = self.drained.set(Arc::clone(domain));
    }

    /// Stops sampling and returns the samples.
    pub(super) fn stop(self) -> Result<Samples, CliError> {
        self.stop.store(true, Ordering::Relaxed);
        join(self.thread)
    }
}

fn place(deployment: &DemoDeployment) -> Vec<PlacedTarget> {
    let placed = deployment.targets.iter().filter_map(|target| {
        let domain = Arc::clone(&deployment.config.targets.get(target.name())?.domain);
        let region = Arc::clone(&deployment.config.domains.get(&domain)?.region);
        Some(PlacedTarget {
            target: target.clone(),
            domain,
            region,
        })
    });
    placed.collect()
}

impl Samples {
    fn sample(&mut self, placed: &[PlacedTarget], drained: Option<&Arc<str>>, now: Instant) {
        let mut regions: BTreeMap<&Arc<str>, (u32, u32)> = BTreeMap::new();
        let mut domains: BTreeMap<&Arc<str>, (u32, u64)> = BTreeMap::new();
        for at in placed {
            let load = at.target.load();
            if drained != Some(&at.domain) {
                let region = regions.entry(&at.region).or_default();
                region.0 += load.slots;
                region.1 += load.busy;
            }
            let domain = domains.entry(&at.domain).or_default();
            domain.0 += load.busy;
            domain.1 += at.target.counts().started;
        }
        for (name, (slots, busy)) in regions {
            self.region(name, slots, busy);
        }
        for (name, (busy, started)) in domains {
            let domain = self
                .domains
                .entry(Arc::clone(name))
                .or_insert(DomainSamples {
                    last_busy: now,
                    started,
                    started_before_drain: started,
                });
            if busy > 0 || started != domain.started {
                domain.last_busy = now;
                domain.started = started;
            }
            if drained.is_none() {
                domain.started_before_drain = started;
            }
        }
    }

    fn region(&mut self, name: &Arc<str>, slots: u32, busy: u32) {
        let free = 1.0 - f64::from(busy) / f64::from(slots.max(1));
        let region = self
            .regions
            .entry(Arc::clone(name))
            .or_insert(RegionSamples {
                min_free: 1.0,
                ..RegionSamples::default()
            });
        region.slots = slots;
        region.samples += 1;
        region.free_sum += free;
        region.min_free = region.min_free.min(free);
    }
}

impl RegionSamples {
    /// Returns the mean fraction of free slots.
    pub(super) fn mean(&self) -> f64 {
        self.free_sum / f64::from(self.samples.max(1))
    }

    /// Returns the fraction of free slots in the busiest sample.
    pub(super) fn min_free(&self) -> f64 {
        self.min_free
    }
}
