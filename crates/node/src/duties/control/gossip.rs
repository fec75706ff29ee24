//! What this host knows of the others, from the platform's list and from their heartbeats.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_decide::admit::Load;
use dunlinrock_schema::{
    peer::{Hello, PoolLoad},
    store::Listed,
};

use super::routes::Heard;
use crate::{duties::pools::PoolId, view::Member};

/// One other host.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub member: Member,
    /// When it was last heard; `None` while it is only listed.
    pub heard: Option<Duration>,
    /// When it was first known of.
    pub since: Duration,
    pub hello: Option<Hello>,
}

/// All other hosts.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// By name; the newest incarnation of each.
    peers: BTreeMap<Arc<str>, Peer>,
    /// Incarnations that are gone for good, by name, so that an old listing does not bring one back.
    gone: BTreeMap<Arc<str>, u64>,
}

impl Peers {
    /// Takes the platform's list in: it names hosts that have not spoken yet, and lags.
    pub(super) fn listed(&mut self, me: &Member, hosts: &[Listed], now: Duration) {
        for host in hosts {
            let Some(member) = read_listed(host) else {
                continue;
            };
            if member.name != me.name {
                self.meet(member, now);
            }
        }
    }

    /// Takes a heartbeat in; the incarnation it replaces, where there is one.
    pub(super) fn hello(&mut self, hello: Hello, now: Duration) -> Option<u64> {
        let member = read_hello(&hello)?;
        let name = Arc::clone(&member.name);
        let replaced = self.meet(member.clone(), now);
        if let Some(peer) = self.peers.get_mut(&name)
            && peer.member.incarnation == member.incarnation
        {
            peer.member = member;
            peer.heard = Some(now);
            peer.hello = Some(hello);
        }
        replaced
    }

    fn meet(&mut self, member: Member, now: Duration) -> Option<u64> {
        let name = Arc::clone(&member.name);
        if self
            .gone
            .get(&name)
            .is_some_and(|gone| *gone >= member.incarnation)
        {
            return None;
        }
        let known = self.peers.get(&name).map(|peer| peer.member.incarnation);
        if known.is_some_and(|known| known >= member.incarnation) {
            return None;
        }
        self.peers.insert(
            name,
            Peer {
                member,
                heard: None,
                since: now,
                hello: None,
            },
        );
        known
    }

    /// Drops hosts that were silent for `gone`; their incarnations.
    pub(super) fn sweep(&mut self, gone: Duration, now: Duration) -> Vec<u64> {
        let silent = |peer: &Peer| now.saturating_sub(peer.heard.unwrap_or(peer.since)) > gone;
        let lost: Vec<Arc<str>> = self
            .peers
            .iter()
            .filter(|(_, p)| silent(p))
            .map(|(name, _)| Arc::clone(name))
            .collect();
        let mut incarnations = Vec::new();
        for name in lost {
            if let Some(peer) = self.peers.remove(&name) {
                incarnations.push(peer.member.incarnation);
                self.gone.insert(name, peer.member.incarnation);
            }
        }
        incarnations
    }

    /// Hosts that have spoken, as others see them.
    pub(super) fn members(&self, suspect: Duration, now: Duration) -> Vec<Member> {
        let spoken = self.peers.values().filter_map(|peer| {
            let heard = peer.heard?;
            let mut member = peer.member.clone();
            member.suspect = now.saturating_sub(heard) > suspect;
            Some(member)
        });
        spoken.collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Loads of the pools that others own, as last heard.
    pub(super) fn loads(&self) -> BTreeMap<Arc<PoolId>, Heard> {
        let mut loads: BTreeMap<Arc<PoolId>, Heard> = BTreeMap::new();
        for peer in self.peers.values() {
            let (Some(hello), Some(at)) = (&peer.hello, peer.heard) else {
                continue;
            };
            for pool in &hello.pools {
                let (id, load) = read_load(pool);
                let heard = loads.entry(Arc::new(id)).or_insert(Heard { load, at });
                if heard.at < at {
                    *heard = Heard { load, at };
                }
            }
        }
        loads
    }
}

fn read_listed(host: &Listed) -> Option<Member> {
    Some(Member {
        name: Arc::clone(&host.name),
        incarnation: host.incarnation,
        region: Arc::clone(&host.region),
        domain: Arc::clone(&host.domain),
        callers: host.callers.parse().ok()?,
        peers: host.peers.parse().ok()?,
        leaving: host.leaving,
        suspect: false,
        epoch: 0,
    })
}

fn read_hello(hello: &Hello) -> Option<Member> {
    Some(Member {
        name: Arc::clone(&hello.name),
        incarnation: hello.incarnation,
        region: Arc::clone(&hello.region),
        domain: Arc::clone(&hello.domain),
        callers: hello.callers.parse().ok()?,
        peers: hello.peers.parse().ok()?,
        leaving: hello.leaving,
        suspect: false,
        epoch: hello.epoch,
    })
}

fn read_load(pool: &PoolLoad) -> (PoolId, Load) {
    let id = PoolId {
        service: Arc::clone(&pool.service),
        domain: Arc::clone(&pool.domain),
    };
    let load = Load {
        queued: pool.queued,
        busy: pool.busy,
        slots: pool.slots,
        wait: Duration::from_micros(pool.wait_us),
        turn: Duration::from_micros(pool.turn_us),
    };
    (id, load)
}
