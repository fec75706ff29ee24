//! Arguments of `load`, `plot` and `demo`.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use bpaf::Bpaf;

use super::address;

/// What load to put on which hosts
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Load {
    /// Address of a host for the first lookups, as callers reach it; may be given several times
    #[bpaf(short, long, argument::<String>("ADDR"), parse(address), some("give --at"))]
    pub at: Vec<SocketAddr>,
    /// Service to call; may be given several times
    #[bpaf(short, long, argument::<String>("NAME"), map(Into::into), some("give --service"))]
    pub service: Vec<Arc<str>>,
    /// Requests per second, over all callers and services
    ///
    /// Requests are sent when they are due, even while earlier ones are pending, and their
    /// latencies count from that moment.
    #[bpaf(short, long, argument("NUMBER"), fallback(100.0), display_fallback)]
    pub rate: f64,
    /// Duration of the load in seconds
    #[bpaf(short, long, argument("SECONDS"), fallback(10.0), display_fallback)]
    pub time: f64,
    /// Number of callers, each with its own name, connections and lookup cache
    #[bpaf(short, long, argument("COUNT"), fallback(20), display_fallback)]
    pub callers: usize,
    /// Number of distinct request paths
    #[bpaf(short, long, argument("COUNT"), fallback(100), display_fallback)]
    pub keys: u64,
    /// Fraction of the requests that are not idempotent, from 0 to 1
    #[bpaf(short, long, argument("PART"), fallback(0.2), display_fallback)]
    pub mix: f64,
    /// Deadline of a request in milliseconds
    #[bpaf(short, long, argument("MS"), fallback(2000), display_fallback)]
    pub deadline: u64,
    /// Path prefix at the service; a path id is appended
    #[bpaf(short, long, argument("PATH"), fallback("/load".to_owned()), display_fallback)]
    pub path: String,
    /// Seed for arrival times, paths and choices
    #[bpaf(long, argument("NUMBER"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Write the report as JSON to this file; `-` prints it instead of the text
    #[bpaf(short, long, argument("FILE"), optional)]
    pub json: Option<PathBuf>,
}

/// What to draw
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Plot {
    /// SVG file to write
    #[bpaf(short, long, argument("FILE"))]
    pub output: PathBuf,
    /// Reports written by `load --json`
    #[bpaf(positional("REPORT"), some("give a report"))]
    pub reports: Vec<PathBuf>,
}

/// What to run
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Demo {
    /// Requests per second, over all callers
    #[bpaf(short, long, argument("NUMBER"), fallback(200.0), display_fallback)]
    pub rate: f64,
    /// Seed for arrival times, paths and choices
    #[bpaf(long, argument("NUMBER"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Directory of the configuration's TOML files
    #[bpaf(positional("DIR"), fallback("examples/cursuri".into()), format_fallback(show))]
    pub dir: PathBuf,
}

#[allow(clippy::ptr_arg, reason = "the parser shows the field's own type")]
fn show(dir: &PathBuf, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
    write!(f, "{}", dir.display())
}
