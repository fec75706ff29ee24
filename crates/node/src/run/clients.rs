//! Clients of a duty that runs requests.

use crate::{shared::Shared, wire::Client};

/// Clients of a duty that runs requests; clones share their pools of connections.
#[derive(Clone, Debug)]
pub struct Clients {
    /// To targets, by whichever way the system chooses.
    pub targets: Client,
    /// To other hosts, from the address that this host announced.
    pub hosts: Client,
}

impl Clients {
    /// Opens clients within the host's limits.
    pub fn open(shared: &Shared) -> Clients {
        let max_bytes = shared.limits.answer_bytes.get();
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        Clients {
            targets: Client::open(max_bytes),
            hosts: Client::open_from(Some(shared.me.peers.ip()), max_bytes),
        }
    }
}
