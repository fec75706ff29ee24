//! Arguments of the operators' commands.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use bpaf::Bpaf;

use super::address;

/// Location of the store.
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
    /// Seconds after which the store counts as unavailable
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

/// What to compare with the active configuration
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

/// What to apply, and how
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Apply {
    /// The store:
    #[bpaf(external)]
    pub store: Store,
    /// Id of this apply; generated if absent
    ///
    /// An interrupted apply can be retried under its id: if the first attempt took effect, the
    /// retry reports that.
    #[bpaf(long, argument::<String>("ID"), map(Into::into), optional)]
    pub id: Option<Arc<str>>,
    /// Your name, for the history
    #[bpaf(long, env("USER"), argument::<String>("NAME"), map(Into::into), fallback("operator".into()))]
    pub by: Arc<str>,
    /// Revision that the plan was made against
    ///
    /// The apply does not take effect if another one was applied since.
    #[bpaf(long, argument("REVISION"), optional)]
    pub base: Option<u64>,
    /// Wait until every listed host has applied the new revision; needs --list
    #[bpaf(short, long)]
    pub wait: bool,
    /// Address of the platform's host list
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
    /// Number of applies to list
    #[bpaf(short('n'), long, argument("COUNT"), fallback(20), display_fallback)]
    pub count: usize,
}

/// Which hosts to list
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Hosts {
    /// Source, the list or a host:
    #[bpaf(external(hosts_from))]
    pub from: HostsFrom,
}

/// Source of the hosts.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub enum HostsFrom {
    /// The platform's host list.
    List {
        /// Address of the platform's host list
        #[bpaf(short, long, argument::<String>("ADDR"), parse(address))]
        list: SocketAddr,
    },
    /// A lookup at a host.
    At {
        /// Address of a host, as callers reach it
        #[bpaf(short, long, argument::<String>("ADDR"), parse(address))]
        at: SocketAddr,
        /// Client to look up for; this machine if absent
        #[bpaf(short, long, argument("IP"), optional)]
        client: Option<std::net::IpAddr>,
        /// Service to look up
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
}

/// Which request to release
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Release {
    /// Address of a host, as other hosts reach it
    #[bpaf(long, argument::<String>("ADDR"), parse(address))]
    pub at: SocketAddr,
    /// Fingerprint of the request, as logs and dumps show it
    #[bpaf(positional("FINGERPRINT"))]
    pub fingerprint: String,
}

/// Which host to read
#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct Dump {
    /// Address of the host, as other hosts reach it
    #[bpaf(positional::<String>("ADDR"), parse(address))]
    pub at: SocketAddr,
}
