//! A live host, as another host sees it.

use std::{net::SocketAddr, sync::Arc};

/// A live host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Arc<str>,
    /// Its incarnation; a restart is another.
    pub incarnation: u64,
    /// Its region.
    pub region: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Address callers reach it on.
    pub callers: SocketAddr,
    /// Address other hosts reach it on.
    pub peers: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it has been silent for a while.
    pub suspect: bool,
    /// Epoch of its request ledger, as last heard.
    pub epoch: u64,
}
