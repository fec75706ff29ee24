//! Arguments of `soak`.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Which faults to play
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Soak {
    /// Seed of the first plan; each further plan takes the next number
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// Plans to play, one after the other
    #[bpaf(long, argument("N"), fallback(1))]
    pub plans: u64,
    /// Hosts, each a process of its own
    #[bpaf(long, argument("N"), fallback(6))]
    pub hosts: usize,
    /// Faults of a plan
    #[bpaf(long, argument("N"), fallback(12))]
    pub faults: usize,
    /// Folder for the logs of plans that broke a promise; a temporary one if absent
    #[bpaf(long, argument("DIR"), optional)]
    pub keep: Option<PathBuf>,
    /// After a broken promise, find the fewest faults that still break one
    #[bpaf(long)]
    pub shrink: bool,
}
