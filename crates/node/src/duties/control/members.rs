//! The membership: its settings, its messages, and the members as other workers see them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use dunlinrock_coord::{
    member::{Host, HostState, LocalMember, Membership, Timings},
    once::estimate_epoch,
};
use dunlinrock_schema::{
    coord::{Message, SyncAsk},
    settings::TimingSettings,
};

use crate::{host::INCARNATION_BITS, view::Member};

/// Returns the timings of the membership from the settings, and the defaults of the coordination
/// crate for the others.
pub(super) fn timings(timing: &TimingSettings) -> Timings {
    Timings {
        heartbeat: Duration::from_millis(timing.heartbeat_ms),
        suspect_after: Duration::from_millis(timing.suspect_ms),
        gone_after: Duration::from_millis(timing.gone_ms),
        ..Timings::default()
    }
}

/// Returns this host as a member.
pub(super) fn introduce(me: &Member) -> LocalMember {
    LocalMember {
        name: Arc::clone(&me.name),
        incarnation: me.incarnation,
        region: Arc::clone(&me.region),
        domain: Arc::clone(&me.domain),
        callers: me.callers.to_string().into(),
        peers: me.peers.to_string().into(),
    }
}

/// Returns all hosts that are alive or suspect, by name, as other workers see them.
pub(super) fn members(
    membership: &Membership,
    me: &Member,
    epoch_ms: u64,
) -> BTreeMap<Arc<str>, Arc<Member>> {
    let mut members = BTreeMap::new();
    for (name, host) in membership.hosts() {
        if *name == me.name {
            continue;
        }
        let state = membership.state_of(name);
        let usable = matches!(
            state,
            HostState::Serving | HostState::Suspect | HostState::Leaving
        );
        if let Some(mut member) = to_member(name, host)
            && usable
        {
            member.leaving = state == HostState::Leaving;
            member.suspect =
                state == HostState::Suspect || membership.is_domain_silent(&member.domain);
            member.epoch = epoch(member.incarnation, epoch_ms);
            members.insert(Arc::clone(name), Arc::new(member));
        }
    }
    members.insert(Arc::clone(&me.name), Arc::new(me.clone()));
    members
}

/// Returns the regions with at least one responsive host, including hosts that are still starting.
///
/// A leaving host owns no targets any more. If it is the last of its region, traffic moves away
/// from its notice on; callers would otherwise use up their attempts until it is gone. The host
/// itself, `me`, sends its callers to other hosts instead.
pub(super) fn present_regions(membership: &Membership, me: &str) -> BTreeSet<Arc<str>> {
    let hosts = membership.hosts().iter().filter(|(name, host)| {
        let alive = match membership.state_of(name) {
            HostState::Suspect | HostState::Gone => false,
            HostState::Leaving => ***name == *me,
            _ => true,
        };
        alive && !host.region.is_empty() && !membership.is_domain_silent(&host.domain)
    });
    hosts.map(|(_, host)| Arc::clone(&host.region)).collect()
}

fn to_member(name: &Arc<str>, host: &Host) -> Option<Member> {
    Some(Member {
        name: Arc::clone(name),
        incarnation: host.incarnation,
        region: Arc::clone(&host.region),
        domain: Arc::clone(&host.domain),
        callers: host.callers.parse().ok()?,
        peers: host.peers.parse().ok()?,
        leaving: false,
        suspect: false,
        epoch: 0,
    })
}

/// Estimates the current epoch of another host's ledger, for the bindings of keys. The start time
/// of an incarnation is contained in its number, so no message has to carry epochs.
pub(super) fn epoch(incarnation: u64, epoch_ms: u64) -> u64 {
    let started = Duration::from_millis(incarnation >> INCARNATION_BITS);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    estimate_epoch(started, now, Duration::from_millis(epoch_ms))
}

/// Returns the name of the host that claims to have sent a message.
pub(super) fn sender(message: &Message) -> &Arc<str> {
    match message {
        Message::Beat(m) => &m.name,
        Message::Report(m) => &m.name,
        Message::Digest(m) => &m.by,
        Message::Far(m) => &m.name,
        Message::Rumors(m) => &m.name,
        Message::SyncAsk(m) => &m.name,
        Message::RootAsk(m) => &m.name,
        Message::RootGive(m) => &m.name,
        Message::PieceAsk(m) => &m.name,
        Message::PieceGive(m) => &m.name,
    }
}

/// Returns whether a message from this address may come from the host that it names.
///
/// A host that is not known yet introduces itself with its address, which must be the one that it
/// sends from. This rejects hosts of another deployment and outdated addresses; it is no protection
/// against an attacker who can send from a host's address.
pub(super) fn admits(membership: &Membership, message: &Message, from: IpAddr) -> bool {
    let address = |text: &str| text.parse::<SocketAddr>().map(|address| address.ip()).ok();
    if let Message::SyncAsk(SyncAsk { peers, .. }) = message {
        return address(peers) == Some(from);
    }
    let host = membership.hosts().get(sender(message));
    host.is_some_and(|host| address(&host.peers) == Some(from))
}
