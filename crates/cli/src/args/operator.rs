//! Arguments of operators' commands.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use bpaf::Bpaf;

use super::address;

/// Where the store is.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Store {
    /// Address of the platform's store
    #[bpaf(short('s'), long("store"), argument::<String>("ADDR"), parse(address))]
    pub at: SocketAddr,
    /// Prefix of the deployment's keys in the store
    ///
    /// The hosts' settings must name the same one.
    #[bpaf(long, argument("TEXT"), fallback("dunlinrock/".to_owned()), display_fallback)]
    pub prefix: String,
    /// Seconds after which the store counts as away
    #[bpaf(long("timeout"), argument("SECONDS"), fallback(10.0), display_fallback)]
    pub seconds: f64,
}

/// What to check
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Check {
    /// Directory of the configuration's TOML files
    #[bpaf(positional("DIR"))]
    pub dir: PathBuf,
}

/// What to compare with what is in force
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Plan {
    /// The store:
    #[bpaf(external)]
    pub store: Store,
    /// Directory of the configuration's TOML files
    #[bpaf(positional("DIR"))]
    pub dir: PathBuf,
}

/// What to put in force, and how
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Apply {
    /// The store:
    #[bpaf(external)]
    pub store: Store,
    /// Id of this apply; a new one where absent
    ///
    /// An apply that was broken off may be tried again under its id: if it took effect, that is
    /// what the second try finds.
    #[bpaf(long, argument::<String>("ID"), map(Into::into), optional)]
    pub id: Option<Arc<str>>,
    /// Your name, for the history
    #[bpaf(long, env("USER"), argument::<String>("NAME"), map(Into::into), fallback("operator".into()))]
    pub by: Arc<str>,
    /// Revision that you have planned on
    ///
    /// The apply does not take effect where another one came since.
    #[bpaf(long, argument("REVISION"), optional)]
    pub base: Option<u64>,
    /// Wait until every listed host follows the new revision; needs --list
    #[bpaf(short, long)]
    pub wait: bool,
    /// Address of the platform's list of hosts
    #[bpaf(short, long, argument::<String>("ADDR"), parse(address), optional)]
    pub list: Option<SocketAddr>,
    /// Directory of the configuration's TOML files
    #[bpaf(positional("DIR"))]
    pub dir: PathBuf,
}

/// Which deployment to show
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Show {
    /// The store:
    #[bpaf(external)]
    pub store: Store,
}

/// Which applies to list
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct History {
    /// The store:
    #[bpaf(external)]
    pub store: Store,
    /// Applies to list
    #[bpaf(short('n'), long, argument("COUNT"), fallback(20), display_fallback)]
    pub count: usize,
}

/// Which hosts to list
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Hosts {
    /// Whom to ask, the list or a host:
    #[bpaf(external(hosts_from))]
    pub from: HostsFrom,
}

/// Whom `hosts` asks.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum HostsFrom {
    /// The platform's list.
    List {
        /// Address of the platform's list of hosts
        #[bpaf(short, long, argument::<String>("ADDR"), parse(address))]
        list: SocketAddr,
    },
    /// A look-up.
    At {
        /// Address of a host, as callers reach it
        #[bpaf(short, long, argument::<String>("ADDR"), parse(address))]
        at: SocketAddr,
        /// Client to look up for; this machine where absent
        #[bpaf(short, long, argument("IP"), optional)]
        client: Option<std::net::IpAddr>,
        /// Service to look up
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

/// Which host to ask
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Dump {
    /// Address of the host, as other hosts reach it
    #[bpaf(positional::<String>("ADDR"), parse(address))]
    pub at: SocketAddr,
}
