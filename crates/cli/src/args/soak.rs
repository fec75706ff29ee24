//! Arguments of `soak`.

use std::{fmt, path::PathBuf, str::FromStr};

use bpaf::Bpaf;

/// Which faults to inject
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Soak {
    /// Seed of the first plan; each further plan uses the next number
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// Number of plans to run, one after the other
    #[bpaf(long, argument("N"), fallback(1))]
    pub plans: u64,
    /// Number of hosts, each in its own process
    #[bpaf(long, argument("N"), fallback(6))]
    pub hosts: usize,
    /// Number of faults per plan
    #[bpaf(long, argument("N"), fallback(12))]
    pub faults: usize,
    /// Directory for the logs of plans that broke a promise; a temporary one if absent
    #[bpaf(long, argument("DIR"), optional)]
    pub keep: Option<PathBuf>,
    /// After a broken promise, search for fewer faults that still break one
    #[bpaf(long)]
    pub shrink: bool,
    /// Measure second arrivals at targets in this series of faults instead: all, start, start-cut,
    /// kill-each, kill-all, freeze, move, join, split or targets
    #[bpaf(long, argument("SERIES"), optional)]
    pub retries: Option<Series>,
    /// Requests a second of a series
    #[bpaf(long, argument("N"), fallback(300))]
    pub rate: u32,
    /// Hosts of a series are started with `first_start = true`, also after they were killed
    #[bpaf(long)]
    pub first: bool,
    /// Program that runs the hosts of a series; this one if absent
    #[bpaf(long, argument("PATH"), optional)]
    pub program: Option<PathBuf>,
}

/// A series of faults under which targets fail, so that hosts want to retry every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Series {
    /// Every other series, one after the other.
    All,
    /// All hosts start together, and targets shed from the beginning.
    Start,
    /// The same, and the store stops answering while the hosts start.
    StartCut,
    /// Hosts are killed one after the other and started again.
    KillEach,
    /// All hosts are killed at once and started again, twice.
    KillAll,
    /// Half of the hosts are suspended in turn.
    Freeze,
    /// Callers move from hosts that are suspended to the others.
    Move,
    /// Most hosts start while the first ones are cut off from the store.
    Join,
    /// Half of the hosts are cut off from the store until their leases expire.
    Split,
    /// Targets shed, close, stay silent and work in turn.
    Targets,
}

impl Series {
    /// The series, by the names that users give.
    pub const NAMES: [(&str, Series); 10] = [
        ("all", Series::All),
        ("start", Series::Start),
        ("start-cut", Series::StartCut),
        ("kill-each", Series::KillEach),
        ("kill-all", Series::KillAll),
        ("freeze", Series::Freeze),
        ("move", Series::Move),
        ("join", Series::Join),
        ("split", Series::Split),
        ("targets", Series::Targets),
    ];
}

impl FromStr for Series {
    type Err = String;

    fn from_str(text: &str) -> Result<Series, String> {
        let found = Series::NAMES.iter().find(|(name, _)| *name == text);
        let names = Series::NAMES.map(|(name, _)| name).join(", ");
        found
            .map(|(_, series)| *series)
            .ok_or_else(|| format!("`{text}` is no series; give one of {names}"))
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = Series::NAMES.iter().find(|(_, series)| series == self);
        f.write_str(found.map_or("-", |(name, _)| name))
    }
}
