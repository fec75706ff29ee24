//! A live host, as another host sees it.

use std::{net::SocketAddr, sync::Arc};

/// A live host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Its incarnation; each restart has another one.
    pub incarnation: u64,
    /// Its region.
    pub region: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts.
    pub peers: SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it is suspected to have failed, since it has been unresponsive for a while.
    pub suspect: bool,
    /// Last known epoch of its request ledger.
    pub epoch: u64,
}
