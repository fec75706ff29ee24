//! HTTP clients of a worker that runs requests.

use crate::{shared::Shared, wire::Client};

/// HTTP clients of a worker that runs requests; clones share the connection pools.
#[derive(Clone, Debug)]
pub struct Clients {
    /// Client for targets. The system chooses its source address.
    pub targets: Client,
    /// Client for other hosts. Connections originate from the address that this host registered.
    pub hosts: Client,
}

impl Clients {
    /// Creates clients with the limits of the settings.
    pub fn open(shared: &Shared) -> Clients {
        let max_bytes = shared.limits.answer_bytes.get();
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        Clients {
            targets: Client::open(max_bytes),
            hosts: Client::open_from(Some(shared.me.peers.ip()), max_bytes),
        }
    }
}
