//! Looks at the targets while the demo runs.

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

use super::{deployment::Stage, join, spawn};
use crate::exit::Failure;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// A target with the place that it stands in.
struct Placed {
    target: Target,
    domain: Arc<str>,
    region: Arc<str>,
}

/// What was seen of a region.
#[derive(Clone, Debug, Default)]
pub(super) struct Region {
    /// Slots of its targets at the last look.
    pub(super) slots: u32,
    /// Looks.
    looks: u32,
    /// Parts of its slots that were free, summed up over the looks.
    free: f64,
    /// Least part that was free at a look.
    least: f64,
}

/// What was seen of a failure domain.
#[derive(Clone, Debug)]
pub(super) struct Domain {
    /// Last time at which it was seen at work, or to have begun some.
    pub(super) busy: Instant,
    /// Requests begun up to then.
    pub(super) started: u64,
    /// Requests begun before the drain.
    pub(super) before: u64,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Samples {
    pub(super) regions: BTreeMap<Arc<str>, Region>,
    pub(super) domains: BTreeMap<Arc<str>, Domain>,
}

/// A thread that looks at the targets until it is stopped.
pub(super) struct Probe {
    /// Domain that was drained; its slots are no headroom any more.
    drained: Arc<OnceLock<Arc<str>>>,
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Result<Samples, Failure>>,
}

impl Probe {
    pub(super) fn spawn(stage: &Stage) -> Result<Self, Failure> {
        let placed = place(stage);
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let drained = Arc::new(OnceLock::new());
        let out = Arc::clone(&drained);
        let look = move || {
            let mut samples = Samples::default();
            while !stopped.load(Ordering::Relaxed) {
                samples.look(&placed, out.get(), Instant::now());
                thread::sleep(LOOK);
            }
            Ok(samples)
        };
        Ok(Self {
            drained,
            stop,
            thread: spawn("probe", look)?,
        })
    }

    /// Leaves the slots of a drained domain out from now on.
    pub(super) fn drain(&self, domain: &Arc<str>) {
        let _ = self.drained.set(Arc::clone(domain));
    }

    /// Stops looking and gives what was seen.
    pub(super) fn stop(self) -> Result<Samples, Failure> {
        self.stop.store(true, Ordering::Relaxed);
        join(self.thread)
    }
}

fn place(stage: &Stage) -> Vec<Placed> {
    let placed = stage.targets.iter().filter_map(|target| {
        let domain = Arc::clone(&stage.config.targets.get(target.name())?.domain);
        let region = Arc::clone(&stage.config.domains.get(&domain)?.region);
        Some(Placed {
            target: target.clone(),
            domain,
            region,
        })
    });
    placed.collect()
}

impl Samples {
    fn look(&mut self, placed: &[Placed], drained: Option<&Arc<str>>, now: Instant) {
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
            let domain = self.domains.entry(Arc::clone(name)).or_insert(Domain {
                busy: now,
                started,
                before: started,
            });
            if busy > 0 || started != domain.started {
                domain.busy = now;
                domain.started = started;
            }
            if drained.is_none() {
                domain.before = started;
            }
        }
    }

    fn region(&mut self, name: &Arc<str>, slots: u32, busy: u32) {
        let free = 1.0 - f64::from(busy) / f64::from(slots.max(1));
        let region = self.regions.entry(Arc::clone(name)).or_insert(Region {
            least: 1.0,
            ..Region::default()
        });
        region.slots = slots;
        region.looks += 1;
        region.free += free;
        region.least = region.least.min(free);
    }
}

impl Region {
    /// Gives the part of its slots that was free on average.
    pub(super) fn mean(&self) -> f64 {
        self.free / f64::from(self.looks.max(1))
    }

    /// Gives the part of its slots that was free at the busiest look.
    pub(super) fn low(&self) -> f64 {
        self.least
    }
}
