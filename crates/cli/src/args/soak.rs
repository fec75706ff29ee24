//! Arguments of `soak`.

use std::path::PathBuf;

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
}
