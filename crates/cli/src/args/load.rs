//! Arguments of `load`, `plot` and `demo`.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use bpaf::Bpaf;

use super::address;

/// What load to put on which hosts
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Load {
    /// Address of a host to start from, as callers reach it; may be given several times
    #[bpaf(short, long, argument::<String>("ADDR"), parse(address), some("give --at"))]
    pub at: Vec<SocketAddr>,
    /// Service to call; may be given several times
    #[bpaf(short, long, argument::<String>("NAME"), map(Into::into), some("give --service"))]
    pub service: Vec<Arc<str>>,
    /// Requests a second, of all callers and services together
    ///
    /// Requests are sent when they are due, also while earlier ones wait, and their times count
    /// from that moment.
    #[bpaf(short, long, argument("NUMBER"), fallback(100.0), display_fallback)]
    pub rate: f64,
    /// Seconds to go on for
    #[bpaf(short, long, argument("SECONDS"), fallback(10.0), display_fallback)]
    pub time: f64,
    /// Callers, each with its own name, connections and memory of look-ups
    #[bpaf(short, long, argument("COUNT"), fallback(20), display_fallback)]
    pub callers: usize,
    /// Different paths that requests go to
    #[bpaf(short, long, argument("COUNT"), fallback(100), display_fallback)]
    pub keys: u64,
    /// Part of the requests that may not be repeated, of 1
    #[bpaf(short, long, argument("PART"), fallback(0.2), display_fallback)]
    pub mix: f64,
    /// Milliseconds in which an answer is of use
    #[bpaf(short, long, argument("MS"), fallback(2000), display_fallback)]
    pub deadline: u64,
    /// Path at the service; a key is added to it
    #[bpaf(short, long, argument("PATH"), fallback("/load".to_owned()), display_fallback)]
    pub path: String,
    /// Seed of times, paths and choices
    #[bpaf(long, argument("NUMBER"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Write the report as JSON to this file; `-` prints it in place of the text
    #[bpaf(short, long, argument("FILE"), optional)]
    pub json: Option<PathBuf>,
}

/// What to draw
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Plot {
    /// Picture to write, SVG
    #[bpaf(short, long, argument("FILE"))]
    pub output: PathBuf,
    /// Reports, as `load --json` writes them
    #[bpaf(positional("REPORT"), some("give a report"))]
    pub reports: Vec<PathBuf>,
}

/// What to run
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Demo {
    /// Requests a second, of all callers together
    #[bpaf(short, long, argument("NUMBER"), fallback(200.0), display_fallback)]
    pub rate: f64,
    /// Seed of times, paths and choices
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
