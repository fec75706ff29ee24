//! Forwards requests to another host while this host's links to the targets are lost.
//!
//! The other host serves a forwarded request like one of a caller, with its own replica, limits and
//! budgets, on its callers' address. Three headers are for hosts alone: [`FORWARDED`] on the request,
//! and [`DECLINED`] and [`LEAVING`] on the response. A forwarded request is never forwarded again, so it passes
//! through two hosts at most.

use std::{
    cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use base64::{Engine, prelude::BASE64_STANDARD_NO_PAD};
use bytes::Bytes;
use dunlinrock_decide::admit::direct::Process;
use dunlinrock_node::wire::{pack, unpack};
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use http_body_util::Full;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    body_memory::ResponseMemory,
    connection::{BufferedResponse, ExchangeError, TargetConnection},
    idle::{ConnectionCounter, IdleConnection},
};
use crate::{
    links::Helper,
    model::{HostEntry, Target},
};

/// Header of a forwarded request: a [`Forwarded`].
const FORWARDED: HeaderName = HeaderName::from_static("dunlinrock-forwarded");

/// Header of a response by which a host declines a forwarded request: it has not run, and another
/// host may serve it.
pub(super) const DECLINED: HeaderName = HeaderName::from_static("dunlinrock-declined");

/// Header of a response to a forwarded request: a [`LeavingTarget`].
pub(super) const LEAVING: HeaderName = HeaderName::from_static("dunlinrock-leaving");

/// Idle connections kept to one host.
const MAX_IDLE: usize = 32;

/// How long a host that was not reached, or declined, gets no forwarded requests.
const BACKOFF: Duration = Duration::from_millis(500);

/// What the host that forwards a request tells the one that runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub(super) struct Forwarded {
    /// Region of the host that got the request from its caller. Targets there are preferred, as if
    /// that host had selected one.
    pub(super) region: Arc<str>,
    /// Attempts that may have reached a target.
    pub(super) delivered: u32,
    /// Whether the retry budget of that host has counted the request.
    pub(super) in_budget: bool,
}

impl Forwarded {
    /// Takes the header from a request; `None` if it comes from a caller.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Forwarded> {
        decode(&headers.remove(FORWARDED)?)
    }

    /// Adds the header to a request.
    pub(super) fn insert(&self, headers: &mut HeaderMap) {
        headers.extend(encode(self).map(|value| (FORWARDED, value)));
    }
}

/// The target that answered a forwarded request and said that it is leaving. The host that passes
/// the answer on is bound by it too.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub(super) struct LeavingTarget {
    id: Arc<str>,
    born: u64,
}

impl LeavingTarget {
    pub(super) fn of(target: &Target) -> LeavingTarget {
        LeavingTarget {
            id: Arc::clone(&target.id),
            born: target.born,
        }
    }

    /// Reads the header of another host's response.
    pub(super) fn read(headers: &HeaderMap) -> Option<LeavingTarget> {
        decode(headers.get(LEAVING)?)
    }

    /// Adds the header to a response.
    pub(super) fn insert(&self, headers: &mut HeaderMap) {
        headers.extend(encode(self).map(|value| (LEAVING, value)));
    }

    pub(super) fn into_process(self) -> Process {
        Process {
            id: self.id,
            born: self.born,
        }
    }
}

fn encode(content: &impl Serialize) -> Option<HeaderValue> {
    let text = BASE64_STANDARD_NO_PAD.encode(pack(content).ok()?);
    HeaderValue::try_from(text).ok()
}

fn decode<T: DeserializeOwned>(value: &HeaderValue) -> Option<T> {
    let bytes = BASE64_STANDARD_NO_PAD.decode(value.as_bytes()).ok()?;
    unpack(&bytes).ok()
}

/// How a forwarded request ended.
#[derive(Debug)]
pub(super) enum ForwardResult {
    /// The other host's complete response.
    Answered(BufferedResponse),
    /// It did not run there.
    NotRun(String),
    /// It may have run; the result is unknown.
    Lost(String),
}

/// One other host.
#[derive(Debug, Default)]
struct Peer {
    idle: Vec<IdleConnection>,
    /// Until when it gets no forwarded requests.
    backoff_until: Duration,
}

/// Connections to other hosts for forwarded requests.
#[derive(Debug)]
pub(super) struct Forwarder {
    peers: RefCell<BTreeMap<SocketAddr, Peer>>,
    connections: Rc<ConnectionCounter>,
    memory: ResponseMemory,
}

impl Forwarder {
    /// Opens a forwarder without connections; they count like those to targets.
    pub(super) fn open(connections: Rc<ConnectionCounter>, memory: ResponseMemory) -> Forwarder {
        Forwarder {
            peers: RefCell::default(),
            connections,
            memory,
        }
    }

    /// Draws one of the hosts that are as near as the nearest usable one.
    pub(super) fn choose(&self, helpers: Vec<Helper>, now: Duration) -> Option<Arc<HostEntry>> {
        let peers = self.peers.borrow();
        let mut usable = helpers;
        usable.retain(|helper| {
            let peer = peers.get(&helper.host.callers);
            peer.is_none_or(|peer| peer.backoff_until <= now)
        });
        let best = usable.iter().map(|helper| helper.rank).min()?;
        usable.retain(|helper| helper.rank == best);
        let chosen = usable.choose(&mut rand::rng());
        chosen.map(|helper| Arc::clone(&helper.host))
    }

    /// Sends a request to a host and waits for the complete response. The connection may be reused
    /// for `idle_time`.
    pub(super) async fn send(
        &self,
        host: &HostEntry,
        request: impl Fn() -> Request<Full<Bytes>>,
        idle_time: Duration,
        now: Duration,
    ) -> ForwardResult {
        let result = self.exchange(host.callers, request, idle_time).await;
        if matches!(result, ForwardResult::NotRun(_) | ForwardResult::Lost(_)) {
            let mut peers = self.peers.borrow_mut();
            let peer = peers.entry(host.callers).or_default();
            peer.backoff_until = now + BACKOFF;
            peer.idle.clear();
        }
        result
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: impl Fn() -> Request<Full<Bytes>>,
        idle_time: Duration,
    ) -> ForwardResult {
        loop {
            let idle = self.take_idle(address);
            let (is_idle, opened) = match idle {
                Some(connection) => (true, Ok(connection)),
                None => {
                    let opened = TargetConnection::open(address, &self.connections).await;
                    (false, opened)
                }
            };
            let exchanged = match opened {
                Ok(mut connection) => {
                    let exchanged = connection
                        .exchange(request(), &self.memory, |_, _| {})
                        .await;
                    exchanged.map(|(response, is_reusable)| {
                        if is_reusable {
                            connection.limit_reuse(idle_time);
                            self.keep_idle(address, connection);
                        }
                        response
                    })
                }
                Err(e) => Err(e),
            };
            return match exchanged {
                Ok(response) if response.headers.contains_key(DECLINED) => {
                    ForwardResult::NotRun("declined by the other host".to_owned())
                }
                Ok(response) => ForwardResult::Answered(response),
                // The other host closed an idle connection before anything was sent.
                Err(ExchangeError::NotSent(_)) if is_idle => continue,
                Err(ExchangeError::NotSent(e) | ExchangeError::Refused(e)) => {
                    ForwardResult::NotRun(e)
                }
                Err(
                    ExchangeError::Sent(e)
                    | ExchangeError::Broken(e)
                    | ExchangeError::Unreachable(e),
                ) => ForwardResult::Lost(e),
                Err(ExchangeError::NoRoom) => {
                    ForwardResult::Lost("no room for the answer".to_owned())
                }
                Err(ExchangeError::Rerouted) => ForwardResult::NotRun("rerouted".to_owned()),
            };
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TargetConnection> {
        let mut peers = self.peers.borrow_mut();
        let idle = &mut peers.get_mut(&address)?.idle;
        while let Some(connection) = idle.pop() {
            let connection = connection.take();
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    fn keep_idle(&self, address: SocketAddr, connection: TargetConnection) {
        let mut peers = self.peers.borrow_mut();
        let idle = &mut peers.entry(address).or_default().idle;
        if idle.len() < MAX_IDLE {
            idle.extend(IdleConnection::keep(connection));
        }
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        self.peers.borrow_mut().clear();
    }
}
