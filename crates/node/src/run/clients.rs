//! Clients of a duty that runs requests.

use crate::{shared::Shared, wire::Client};

/// Clients of a duty that runs requests; clones share their pools of connections.
#[derive(Clone, Debug)]
pub struct Links {
    /// To targets, by whichever way the system chooses.
    pub targets: Client,
    /// To other hosts, from the address that this host announced.
    pub hosts: Client,
}

impl Links {
    /// Opens clients within the host's limits.
    pub fn open(shared: &Shared) -> Links {
        let most = shared.limits.answer_bytes.get();
        let most = usize::try_from(most).unwrap_or(usize::MAX);
        Links {
            targets: Client::open(most),
            hosts: Client::open_from(Some(shared.me.peers.ip()), most),
        }
    }
}
