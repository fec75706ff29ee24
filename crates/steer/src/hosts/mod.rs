//! Which hosts a look-up answers with.
//!
//! The load: callers ask which hosts to use and cache the answer for seconds. With a random answer
//! each time, a caller's requests wander over all hosts and find neither warm connections nor the
//! records of its earlier tries; with one fixed host, that host's end or overload is the caller's.
//! So each block of callers has the same few hosts at each look-up, chosen by rendezvous hash:
//! where a host comes or goes, only the blocks that it serves change. Hosts that leave are left
//! out, suspect ones come last and get little, and busy ones get less, in coarse steps, since the
//! reports of load lag and a fine weight would make all callers swing together.

mod table;

use std::sync::Arc;

pub use table::HostTable;

/// Hosts in an answer: one to use, one to turn to when it fails, one more for the time until the
/// next look-up.
pub const MAX_HOSTS: usize = 3;

/// Weight of a host that is well and idle.
pub const FULL_WEIGHT: u16 = 100;

/// Weight of a suspect host: it most likely is gone, but a false suspicion must not empty a region.
pub const SUSPECT_WEIGHT: u16 = 1;

/// Steps of weight by load. At four steps a report that lags by a second misplaces at most a
/// quarter of a host's callers.
const LOAD_STEPS: f64 = 4.0;

/// What is known of a host's life.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Liveness {
    /// Heard from.
    #[default]
    Alive,
    /// Not heard from for some time.
    Suspect,
    /// About to end; it gets no new callers.
    Leaving,
}

/// A host as a look-up sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub name: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// What is known of its life.
    pub state: Liveness,
    /// Part of its capacity in use, 0 to 1; not finite where nothing is known, which counts as
    /// half.
    pub load: f64,
}

impl Host {
    /// Its weight: less with more load, least for a suspect one, none for one that leaves.
    pub fn weight(&self) -> u16 {
        match self.state {
            Liveness::Leaving => 0,
            Liveness::Suspect => SUSPECT_WEIGHT,
            Liveness::Alive => {
                let load = if self.load.is_finite() {
                    self.load
                } else {
                    0.5
                };
                let step = (load.clamp(0.0, 1.0) * LOAD_STEPS)
                    .floor()
                    .min(LOAD_STEPS - 1.0);
                (f64::from(FULL_WEIGHT) * (1.0 - step / LOAD_STEPS)) as u16
            }
        }
    }
}

/// One host of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WeightedHost {
    /// Index in the table.
    pub host: u32,
    /// Its weight.
    pub weight: u16,
}

/// The hosts that a look-up answers with, best first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChosenHosts {
    list: [Option<WeightedHost>; MAX_HOSTS],
}

impl ChosenHosts {
    /// The hosts, best first.
    pub fn iter(&self) -> impl Iterator<Item = WeightedHost> {
        self.list.iter().map_while(|choice| *choice)
    }
}
