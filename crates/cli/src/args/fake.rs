//! Arguments of `fake`.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

use super::address;

/// Which fake to run; each runs until a signal ends it.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum Fake {
    /// Run a key-value store
    #[bpaf(command)]
    Store(#[bpaf(external(fake_serve))] FakeServe),
    /// Run a host list
    #[bpaf(command)]
    List(#[bpaf(external(fake_serve))] FakeServe),
    /// Run every target of a configuration at its address
    #[bpaf(command)]
    Targets(#[bpaf(external(fake_targets))] FakeTargets),
}

/// Where to serve
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct FakeServe {
    /// Address to listen on; port 0 selects a free port
    #[bpaf(short, long, argument::<String>("ADDR"), parse(address))]
    pub bind: SocketAddr,
}

/// Which targets to run
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct FakeTargets {
    /// Number of requests until a target's cache is warm
    #[bpaf(short, long, argument("COUNT"), fallback(0), display_fallback)]
    pub warm: u64,
    /// Directory of the configuration's TOML files
    #[bpaf(positional("DIR"))]
    pub dir: PathBuf,
}
