//! A random fault plan, determined by its seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Number of targets in a deployment.
pub(super) const TARGETS: usize = 6;

/// Maximum pause before the next fault. Most faults last longer, so that they overlap.
const MAX_PAUSE_MS: u64 = 900;

/// Range of the duration of a fault.
const LASTS_MS: std::ops::Range<u64> = 300..3500;

/// Range of the duration of a store outage. It is longer than a host may serve requests by API keys
/// that the store has not confirmed since.
const OUTAGE_MS: std::ops::Range<u64> = 6500..9000;

/// Fraction of the plans that contain a store outage of this kind.
const OUTAGE_FRACTION: f64 = 0.5;

/// Fraction of the plans that end with all targets shedding, the duration of that, and the number of
/// further faults meanwhile.
const ALL_SHED_FRACTION: f64 = 0.5;
const ALL_SHED_MS: std::ops::Range<u64> = 5000..10_000;
const ALL_SHED_FAULTS: usize = 4;

/// Number of faults of a plan in which targets say something about themselves, and the range of
/// their duration.
const NOTICES: usize = 4;
const NOTICE_MS: std::ops::Range<u64> = 1500..5000;

/// Number of times in a plan that the store returns from an older copy, and the range of the time
/// that it loses.
const RETURNS: usize = 3;
const RETURN_MS: std::ops::Range<u64> = 300..3000;

/// A fault that is injected into a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// A host is killed and started again.
    Kill(usize),
    /// A host is suspended by SIGSTOP.
    Pause(usize),
    /// A host is stopped by SIGTERM, and started again once it has exited.
    Stop(usize),
    /// A host reloads its settings on SIGHUP.
    Reload(usize),
    /// Data between callers and a host is delayed.
    SlowLink(usize),
    /// Connections between callers and a host are reset.
    ResetLink(usize),
    /// No bytes of a host's responses reach its callers.
    MuteLink(usize),
    /// The store's responses do not reach a host.
    CutStore(usize),
    /// Connections between one host and the store are reset.
    RefuseStore(usize),
    /// The store refuses requests of all hosts as overloaded.
    StoreBusy,
    /// The store refuses requests of all hosts for longer, and the configuration changes meanwhile.
    StoreAway,
    /// The store closes every connection.
    StoreClosed,
    /// The store compacts its history.
    StoreForgets,
    /// Responses to writes to the store are lost.
    StoreLoses,
    /// The store loses what is written during the fault, and returns from a copy of its beginning.
    StoreReturns,
    /// What the operator and targets wrote in that time is written again at the end.
    StoreLacksWrites,
    /// A target is down.
    TargetDown(usize),
    /// A target runs requests and loses their responses.
    TargetLoses(usize),
    /// A target sheds every request.
    TargetSheds(usize),
    /// All targets shed every request, so that hosts would retry each of them.
    AllShed,
    /// A target's runs take ten times as long.
    TargetSlow(usize),
    /// Connections to a target go silent.
    TargetMute(usize),
    /// A target leaves, and is replaced by one with another id at the same address.
    TargetLeaves(usize),
    /// A target is replaced at once by another incarnation at the same address.
    TargetReplaced(usize),
    /// A target says in its responses that it is leaving, and is replaced at the end; its entry in
    /// the store stays as it is.
    TargetSaysLeaving(usize),
    /// A target rejects every request, and wants no others of the same host for two seconds.
    TargetBacksOff(usize),
    /// All targets do.
    AllBackOff,
    /// A newer configuration becomes active.
    Configure,
    /// A failure domain is evacuated: its targets get no traffic.
    Evacuate(usize),
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    /// Time since the previous fault started.
    pub(super) pause: Duration,
    pub(super) lasts: Duration,
    pub(super) fault: Fault,
}

/// Faults in the order of their starts.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) hosts: usize,
    pub(super) steps: Vec<Step>,
}

impl Plan {
    /// Generates the plan of a seed.
    pub(super) fn open(seed: u64, hosts: usize, faults: usize) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps: Vec<_> = (0..faults).map(|_| step(&mut rng, hosts)).collect();
        if rng.random_bool(OUTAGE_FRACTION) {
            let outage = Step {
                pause: Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)),
                lasts: Duration::from_millis(rng.random_range(OUTAGE_MS)),
                fault: Fault::StoreAway,
            };
            steps.insert(rng.random_range(0..=steps.len()), outage);
        }
        if rng.random_bool(ALL_SHED_FRACTION) {
            steps.push(Step {
                pause: Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)),
                lasts: Duration::from_millis(rng.random_range(ALL_SHED_MS)),
                fault: Fault::AllShed,
            });
            steps.extend((0..ALL_SHED_FAULTS).map(|_| step(&mut rng, hosts)));
        }
        add_notices(seed, &mut steps);
        add_returns(seed, &mut steps);
        Plan { seed, hosts, steps }
    }
}

/// Adds faults in which targets say something about themselves, beside others. The faults that the
/// seed gives without them, and their times, stay the same.
fn add_notices(seed: u64, steps: &mut Vec<Step>) {
    let mut rng = StdRng::seed_from_u64(!seed);
    for _ in 0..NOTICES {
        let target = rng.random_range(0..TARGETS);
        let fault = match rng.random_range(0..5) {
            0 | 1 => Fault::TargetSaysLeaving(target),
            2 | 3 => Fault::TargetBacksOff(target),
            _ => Fault::AllBackOff,
        };
        let step = Step {
            pause: Duration::ZERO,
            lasts: Duration::from_millis(rng.random_range(NOTICE_MS)),
            fault,
        };
        steps.insert(rng.random_range(0..=steps.len()), step);
    }
}

/// Adds returns of the store, beside the other faults and in a series: the first and the second may
/// be of overlapping times.
fn add_returns(seed: u64, steps: &mut Vec<Step>) {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(32));
    let mut at = rng.random_range(0..=steps.len());
    for _ in 0..RETURNS {
        let step = Step {
            pause: Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)),
            lasts: Duration::from_millis(rng.random_range(RETURN_MS)),
            fault: Fault::StoreReturns,
        };
        steps.insert(at, step);
        at = rng.random_range(at + 1..=(at + 4).min(steps.len()));
    }
}

fn step(rng: &mut StdRng, hosts: usize) -> Step {
    Step {
        pause: Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)),
        lasts: Duration::from_millis(rng.random_range(LASTS_MS)),
        fault: draw(rng, hosts),
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
