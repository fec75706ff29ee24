//! Simulated deployments and loads.

use std::time::Duration;

use rand::{Rng, rngs::StdRng};

/// A service of one of the deployments. Each has three regions of two failure domains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deployment {
    /// Name for tables.
    pub name: &'static str,
    /// Targets, spread over the six failure domains as evenly as they go.
    pub targets: usize,
    /// Maximum number of requests that a target runs at once.
    pub slots: u32,
    /// One-way delay between the failure domains of a region.
    pub one_way_delay: Duration,
}

/// The services of both deployments.
pub const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        name: "catalogue",
        targets: 16,
        slots: 3,
        one_way_delay: Duration::from_micros(500),
    },
    Deployment {
        name: "records",
        targets: 12,
        slots: 3,
        one_way_delay: Duration::from_micros(500),
    },
    Deployment {
        name: "family portal",
        targets: 22,
        slots: 7,
        one_way_delay: Duration::from_micros(1500),
    },
    Deployment {
        name: "club desk",
        targets: 14,
        slots: 8,
        one_way_delay: Duration::from_micros(1500),
    },
];

/// Failure domains of a deployment.
pub(super) const DOMAINS: usize = 6;

/// Time between two reports of a target, and between two summaries of a pool.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Age of a report or a summary when it arrives.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(300);

/// Time in which a crashed target's process is back.
pub(super) const RESTART_TIME: Duration = Duration::from_millis(400);

/// Time after which a crashing request crashes its target.
pub(super) const CRASH_DELAY: Duration = Duration::from_millis(5);

/// Number of times that a caller sends a crashing request.
pub(super) const MAX_SENDS: u32 = 10;

impl Deployment {
    /// Returns the failure domain of a target.
    pub(super) fn domain(&self, target: usize) -> usize {
        target % DOMAINS
    }

    /// Returns the number of slots of all targets.
    pub fn capacity(&self) -> f64 {
        self.targets as f64 * f64::from(self.slots)
    }
}

/// A kind of request in a load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestKind {
    /// Fraction of the requests.
    pub share: f64,
    /// Mean service time. Times are log-normal with sigma 0.5: the 99th percentile is 2.8 means.
    pub mean: Duration,
    /// Time from the arrival to the deadline.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// A fault in a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A target is this many times slower, from a time on.
    Slow {
        /// Number of the target.
        target: usize,
        /// Factor on the service time.
        factor: f64,
        /// Start of the fault.
        from: Duration,
    },
    /// A target reports that it is leaving.
    Leave {
        /// Number of the target.
        target: usize,
        /// Time of its first such report.
        at: Duration,
    },
    /// A target comes back with cold caches: three times as long, less with each run of 200.
    Cold {
        /// Number of the target.
        target: usize,
        /// Time when it comes back.
        at: Duration,
    },
    /// One in three targets claims to be full, another third to be idle with a hundred slots, and
    /// the last third sends no reports.
    FalseReports,
    /// Requests, one every five seconds, that crash each target that runs them; their callers send
    /// them up to ten times.
    CrashingRequests,
}

/// A load on a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name for tables.
    pub name: &'static str,
    /// The service.
    pub deployment: Deployment,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Time during which requests arrive.
    pub length: Duration,
    /// Time at the start that is not measured.
    pub warm_up: Duration,
    /// Offered service time as a fraction of the capacity.
    pub rate: f64,
    /// Bursts: the time between their starts, their length, and the fraction of the capacity
    /// offered meanwhile.
    pub burst: Option<(Duration, Duration, f64)>,
    /// Kinds of request.
    pub kinds: Vec<RequestKind>,
    /// Number of callers; each offers the same rate.
    pub callers: u64,
    /// Ratio of the rate of caller 0 to that of another caller, on top of `rate`.
    pub heavy: f64,
    /// Number of keys; each is requested equally often.
    pub keys: u64,
    /// Fraction of the requests that are for key 0.
    pub hot: f64,
    /// Faults.
    pub faults: Vec<Fault>,
}

/// A catalogue search, a calendar page, a roster.
const PAGE: RequestKind = RequestKind {
    share: 1.0,
    mean: Duration::from_millis(20),
    deadline: Duration::from_millis(500),
    repeatable: true,
};

/// A reservation, a registration, a payment.
const BOOKING: RequestKind = RequestKind {
    share: 0.1,
    mean: Duration::from_millis(40),
    deadline: Duration::from_secs(2),
    repeatable: false,
};

/// An attendance summary.
const SUMMARY: RequestKind = RequestKind {
    share: 0.05,
    mean: Duration::from_millis(800),
    deadline: Duration::from_secs(20),
    repeatable: true,
};

/// Names of the loads that [`load`] returns.
pub const LOADS: [&str; 11] = [
    "calm",
    "burst",
    "short bursts",
    "heavy caller",
    "hot key",
    "slow target",
    "cold target",
    "long among short",
    "saturation",
    "false reports",
    "killer requests",
];

/// Returns a named load on a service.
///
/// # Panics
///
/// Panics if the name is not in [`LOADS`].
pub fn load(name: &str, deployment: Deployment, seed: u64) -> Scenario {
    let secs = Duration::from_secs;
    let name = LOADS
        .iter()
        .find(|n| **n == name)
        .expect("a load is one of LOADS");
    let calm = Scenario {
        name,
        deployment,
        seed,
        length: secs(20),
        warm_up: secs(4),
        rate: 0.6,
        burst: None,
        kinds: vec![RequestKind { share: 0.9, ..PAGE }, BOOKING],
        callers: 50,
        heavy: 1.0,
        keys: 200,
        hot: 0.0,
        faults: Vec::new(),
    };
    match *name {
        "burst" => Scenario {
            burst: Some((secs(10), secs(2), 3.0)),
            ..calm
        },
        "short bursts" => Scenario {
            burst: Some((secs(1), secs(1) / 10, 3.0)),
            ..calm
        },
        "heavy caller" => Scenario {
            rate: 0.75,
            callers: 20,
            heavy: 10.0,
            ..calm
        },
        "hot key" => Scenario {
            rate: 1.3,
            hot: 0.5,
            callers: 1_000_000,
            ..calm
        },
        "slow target" => {
            let slow = Fault::Slow {
                target: 0,
                factor: 10.0,
                from: secs(2),
            };
            Scenario {
                faults: vec![slow],
                ..calm
            }
        }
        "cold target" => {
            let faults = vec![Fault::Cold {
                target: 0,
                at: secs(6),
            }];
            Scenario {
                rate: 0.8,
                faults,
                ..calm
            }
        }
        "long among short" => {
            let kinds = vec![
                RequestKind {
                    share: 0.95,
                    ..PAGE
                },
                SUMMARY,
            ];
            Scenario {
                rate: 1.1,
                kinds,
                length: secs(40),
                warm_up: secs(10),
                ..calm
            }
        }
        "saturation" => Scenario { rate: 2.0, ..calm },
        "false reports" => Scenario {
            rate: 0.8,
            faults: vec![Fault::FalseReports],
            ..calm
        },
        "killer requests" => Scenario {
            faults: vec![Fault::CrashingRequests],
            ..calm
        },
        _ => calm,
    }
}

/// A request of a load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) kind: usize,
    pub(super) caller: u64,
    pub(super) key: u64,
    pub(super) fingerprint: u64,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    /// Failure domain of the host that it reaches, in proportion to the domain's targets: how
    /// traffic is split between regions is outside the simulation.
    pub(super) home: usize,
    /// For a request that crashes its targets, the number of times that it was sent.
    pub(super) crashing_sends: Option<u32>,
}

impl Scenario {
    /// Returns the mean service time of the mix, in seconds.
    pub(super) fn mean(&self) -> f64 {
        let total: f64 = self.kinds.iter().map(|w| w.share).sum();
        self.kinds
            .iter()
            .map(|w| w.share * w.mean.as_secs_f64())
            .sum::<f64>()
            / total
    }

    /// Returns the time until the next arrival.
    pub(super) fn next_gap(&self, now: Duration, rng: &mut StdRng) -> Duration {
        let rate = match self.burst {
            Some((every, length, rate))
                if now.as_micros() % every.as_micros() < length.as_micros() =>
            {
                rate
            }
            _ => self.rate * (self.callers as f64 - 1.0 + self.heavy) / self.callers as f64,
        };
        let per_second = rate * self.deployment.capacity() / self.mean();
        Duration::from_secs_f64(-rng.random::<f64>().max(1e-12).ln() / per_second)
    }

    pub(super) fn arrive(&self, number: u64, now: Duration, rng: &mut StdRng) -> Request {
        let total: f64 = self.kinds.iter().map(|w| w.share).sum();
        let mut x = rng.random::<f64>() * total;
        let kind = self.kinds.iter().position(|w| {
            x -= w.share;
            x < 0.0
        });
        let kind = kind.unwrap_or(0);
        let heavy = rng.random::<f64>() * (self.callers as f64 - 1.0 + self.heavy) < self.heavy;
        let caller = if heavy {
            0
        } else {
            rng.random_range(1..self.callers.max(2))
        };
        let hot = rng.random::<f64>() < self.hot;
        Request {
            kind,
            caller,
            key: if hot {
                0
            } else {
                rng.random_range(1..self.keys)
            },
            fingerprint: number,
            arrived: now,
            deadline: now + self.kinds[kind].deadline,
            home: self
                .deployment
                .domain(rng.random_range(0..self.deployment.targets)),
            crashing_sends: None,
        }
    }

    /// Returns a random service time of a kind of request on a target that is neither slow nor
    /// cold.
    pub(super) fn time(&self, kind: usize, rng: &mut StdRng) -> Duration {
        const SIGMA: f64 = 0.5;
        let (u, v) = (rng.random::<f64>().max(1e-12), rng.random::<f64>());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let factor = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        self.kinds[kind].mean.mul_f64(factor)
    }
}
