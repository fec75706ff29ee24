//! Chooses the hosts that a lookup returns.
//!
//! Callers look up which hosts to use and cache the response for seconds. With random hosts each
//! time, a caller's requests would move over all hosts and find neither warm connections nor the
//! records of earlier attempts; with one fixed host, that host's failure or overload would hit the
//! caller directly. Each block of callers therefore gets the same few hosts at each lookup, chosen
//! by rendezvous hashing: when a host joins or leaves, only the blocks that it serves change.
//! Leaving hosts are left out, suspect ones come last with little weight, and busy ones get less
//! weight. The weight falls in coarse steps: load reports lag, and with fine weights all callers
//! would swing together.

mod table;

use std::sync::Arc;

pub use table::HostTable;

/// Maximum number of hosts in a lookup result: one to use, one for failover, and one more for the
/// time until the next lookup.
pub const MAX_HOSTS: usize = 3;

/// Weight of an alive and idle host.
pub const FULL_WEIGHT: u16 = 100;

/// Weight of a suspect host. It is most likely gone, but a false suspicion must not empty a region.
pub const SUSPECT_WEIGHT: u16 = 1;

/// Number of load steps in the weight. With four steps a report that lags by a second misplaces at
/// most a quarter of a host's callers.
const LOAD_STEPS: f64 = 4.0;

/// Whether a host is alive.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Liveness {
    /// Heartbeats arrive.
    #[default]
    Alive,
    /// No heartbeat has arrived for some time.
    Suspect,
    /// The host is shutting down; it gets no new callers.
    Leaving,
}

/// A host as seen by lookups.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub name: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Whether the host is alive.
    pub state: Liveness,
    /// Fraction of the host's capacity in use, 0 to 1; a value that is not finite means unknown and
    /// counts as half.
    pub load: f64,
}

impl Host {
    /// Returns the host's weight: lower with more load, minimal for a suspect host, 0 for a leaving
    /// one.
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

/// One host of a lookup result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WeightedHost {
    /// Index in the table.
    pub host: u32,
    /// Its weight.
    pub weight: u16,
}

/// The hosts of a lookup result, best first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChosenHosts {
    list: [Option<WeightedHost>; MAX_HOSTS],
}

impl ChosenHosts {
    /// Iterates over the hosts, best first.
    pub fn iter(&self) -> impl Iterator<Item = WeightedHost> {
        self.list.iter().map_while(|choice| *choice)
    }
}
