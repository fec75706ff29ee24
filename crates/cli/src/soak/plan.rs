//! A plan of faults, which follows from a seed alone.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Targets of a deployment.
pub(super) const TARGETS: usize = 6;

/// Longest pause before the next fault: shorter than most faults last, so that they overlap.
const MAX_PAUSE_MS: u64 = 900;

/// Shortest and longest time that a fault lasts.
const LASTS_MS: std::ops::Range<u64> = 300..3500;

/// The same for a store that serves no host: longer than a host may serve keys by what it knew before.
const OUTAGE_MS: std::ops::Range<u64> = 6500..9000;

/// Part of the plans that hold such a time.
const OUTAGE_FRACTION: f64 = 0.5;

/// What is done to a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// A host is killed and started again.
    Kill(usize),
    /// A host stands still.
    Pause(usize),
    /// A host is asked to stop, and started again once it has ended.
    Stop(usize),
    /// A host is told to read its settings.
    Reload(usize),
    /// The way between callers and a host is late.
    SlowLink(usize),
    /// Connections between callers and a host are reset.
    ResetLink(usize),
    /// Nothing of a host's answers reaches its callers.
    MuteLink(usize),
    /// The store does not answer a host.
    CutStore(usize),
    /// The store turns one host away.
    RefuseStore(usize),
    /// The store is busy for all.
    StoreBusy,
    /// The store serves no host for long, and the configuration changes meanwhile.
    StoreAway,
    /// The store closes every connection.
    StoreClosed,
    /// The store drops its history.
    StoreForgets,
    /// Answers of the store's writes are lost.
    StoreLoses,
    /// A target is down.
    TargetDown(usize),
    /// A target runs requests and loses their answers.
    TargetLoses(usize),
    /// A target turns everything away.
    TargetSheds(usize),
    /// A target's runs take ten times as long.
    TargetSlow(usize),
    /// Connections to a target go silent.
    TargetMute(usize),
    /// A target leaves, and is started again under another id at the same address.
    TargetLeaves(usize),
    /// A target's address belongs to another start at once.
    TargetReplaced(usize),
    /// A newer configuration is in force.
    Configure,
    /// A failure domain's targets get nothing.
    Evacuate(usize),
}

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    /// Time since the fault before.
    pub(super) pause: Duration,
    pub(super) lasts: Duration,
    pub(super) fault: Fault,
}

/// Faults in the order in which they begin.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) hosts: usize,
    pub(super) steps: Vec<Step>,
}

impl Plan {
    /// The plan of a seed.
    pub(super) fn open(seed: u64, hosts: usize, faults: usize) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let steps = (0..faults).map(|_| Step {
            pause: Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)),
            lasts: Duration::from_millis(rng.random_range(LASTS_MS)),
            fault: draw(&mut rng, hosts),
        });
        let mut steps: Vec<_> = steps.collect();
        if rng.random_bool(OUTAGE_FRACTION) {
            let outage = Step {
                pause: Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)),
                lasts: Duration::from_millis(rng.random_range(OUTAGE_MS)),
                fault: Fault::StoreAway,
            };
            steps.insert(rng.random_range(0..=steps.len()), outage);
        }
        Plan { seed, hosts, steps }
    }
}

fn draw(rng: &mut StdRng, hosts: usize) -> Fault {
    let (host, target) = (rng.random_range(0..hosts), rng.random_range(0..TARGETS));
    match rng.random_range(0..22) {
        0 => Fault::Kill(host),
        1 => Fault::Pause(host),
        2 => Fault::Stop(host),
        3 => Fault::Reload(host),
        4 => Fault::SlowLink(host),
        5 => Fault::ResetLink(host),
        6 => Fault::MuteLink(host),
        7 => Fault::CutStore(host),
        8 => Fault::RefuseStore(host),
        9 => Fault::StoreBusy,
        10 => Fault::StoreClosed,
        11 => Fault::StoreForgets,
        12 => Fault::StoreLoses,
        13 => Fault::TargetDown(target),
        14 => Fault::TargetLoses(target),
        15 => Fault::TargetSheds(target),
        16 => Fault::TargetSlow(target),
        17 => Fault::TargetMute(target),
        18 => Fault::TargetLeaves(target),
        19 => Fault::TargetReplaced(target),
        20 => Fault::Configure,
        _ => Fault::Evacuate(target),
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} hosts", self.seed, self.hosts)?;
        for step in &self.steps {
            writeln!(
                f,
                "  after {:?}: {:?} for {:?}",
                step.pause, step.fault, step.lasts
            )?;
        }
        Ok(())
    }
}
