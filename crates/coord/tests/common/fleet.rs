//! A fleet of hosts driven in virtual time: messages with delays, counted in bytes.
//!
//! Contains none of the behaviour under test; faults are set by fields.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_coord::{
    follow::{self, Follower, Source},
    member::{self, HostState, LocalMember, Membership},
    relay,
    root::{self, StoreOp, StoreReply},
    wire,
};
use dunlinrock_schema::{
    coord::{Message, PieceAsk, PieceGive, RootAsk},
    store::{Listed, Listing},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::store::Store;

/// Time between two ticks of a host.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Time after which a pending watch is repeated.
const WATCH: Duration = Duration::from_secs(10);

/// One host.
pub(crate) struct Node {
    pub(crate) member: Membership,
    pub(crate) follower: Follower,
    pub(crate) dead: bool,
    /// Neither ticks nor reads; messages to it are queued.
    pub(crate) paused: bool,
    inbox: Vec<Message>,
    /// Actions that its membership reported.
    pub(crate) log: Vec<(Duration, member::Action)>,
    /// Revisions that became active, with their times.
    pub(crate) updates: Vec<(Duration, u64)>,
    role: Option<relay::RelayRole>,
    watch_due: Duration,
    watched_version: u64,
    pub(crate) sent: u64,
    pub(crate) received: u64,
    /// Bytes sent and received by kind of message.
    pub(crate) kinds: BTreeMap<&'static str, (u64, u64)>,
}

enum Event {
    Message {
        to: Arc<str>,
        message: Message,
    },
    Pieces {
        to: Arc<str>,
        pieces: Vec<Arc<[u8]>>,
    },
    Root {
        to: Arc<str>,
        root: Box<dunlinrock_schema::coord::Root>,
    },
}

/// The hosts, the network between them, and the store.
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) nodes: BTreeMap<Arc<str>, Node>,
    pub(crate) listing: Listing,
    pub(crate) store: Store,
    pub(crate) store_down: bool,
    /// Time until the store replies.
    pub(crate) store_delay: Duration,
    pub(crate) store_calls: u64,
    /// Domains that are partitioned from all others; nothing passes between the two sides.
    pub(crate) partitioned: BTreeSet<Arc<str>>,
    /// Fraction of the messages that are lost, from 0 to 1.
    pub(crate) loss: f64,
    /// Number and bytes of messages by kind.
    pub(crate) counts: BTreeMap<&'static str, (u64, u64)>,
    timings: member::Timings,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    rng: StdRng,
}

pub(crate) fn kind(message: &Message) -> &'static str {
    match message {
        Message::Beat(_) => "beat",
        Message::Report(_) => "report",
        Message::Digest(_) => "digest",
        Message::Far(_) => "far",
        Message::Rumors(_) => "rumors",
        Message::SyncAsk(_) => "sync_ask",
        Message::RootAsk(_) => "root_ask",
        Message::RootGive(_) => "root_give",
        Message::PieceAsk(_) => "piece_ask",
        Message::PieceGive(_) => "piece_give",
    }
}

pub(crate) fn name(domain: usize, host: usize) -> Arc<str> {
    format!("host-{domain:02}-{host:02}").into()
}

impl Fleet {
    /// Starts hosts in domains, two domains per region; all are listed at once.
    pub(crate) fn open(domains: usize, hosts: usize, seed: u64) -> Self {
        Self::open_with(domains, hosts, seed, member::Timings::default())
    }

    pub(crate) fn open_with(
        domains: usize,
        hosts: usize,
        seed: u64,
        timings: member::Timings,
    ) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1000),
            nodes: BTreeMap::new(),
            listing: Listing { hosts: Vec::new() },
            store: Store::default(),
            store_down: false,
            store_delay: Duration::from_millis(3),
            store_calls: 0,
            partitioned: BTreeSet::new(),
            loss: 0.0,
            counts: BTreeMap::new(),
            timings,
            events: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for (domain, host) in (0..domains).flat_map(|d| (0..hosts).map(move |h| (d, h))) {
            fleet.start(domain, host, 1);
            fleet.list(domain, host, 1);
        }
        fleet.send_listing();
        fleet
    }

    pub(crate) fn me(domain: usize, host: usize, incarnation: u64) -> LocalMember {
        LocalMember {
            name: name(domain, host),
            incarnation,
            region: format!("region-{:02}", domain / 2).into(),
            domain: format!("domain-{domain:02}").into(),
            callers: format!("10.{domain}.{host}.1:80").into(),
            peers: format!("10.{domain}.{host}.1:81").into(),
        }
    }

    /// Starts a host, or replaces the process under its name.
    pub(crate) fn start(&mut self, domain: usize, host: usize, incarnation: u64) {
        let me = Self::me(domain, host, incarnation);
        let name = me.name.clone();
        let mut member = Membership::open(me, self.timings, self.now);
        let mut log = Vec::new();
        for action in member.set_state(self.now, HostState::Serving) {
            log.push((self.now, action));
        }
        let node = Node {
            member,
            follower: Follower::open(follow::Timings::default()),
            dead: false,
            paused: false,
            inbox: Vec::new(),
            log,
            updates: Vec::new(),
            role: None,
            watch_due: self.now,
            watched_version: 0,
            sent: 0,
            received: 0,
            kinds: BTreeMap::new(),
        };
        self.nodes.insert(name, node);
    }

    /// Puts a host on the platform's list.
    pub(crate) fn list(&mut self, domain: usize, host: usize, incarnation: u64) {
        let me = Self::me(domain, host, incarnation);
        self.listing.hosts.retain(|one| one.name != me.name);
        self.listing.hosts.push(Listed {
            name: me.name,
            incarnation,
            region: me.region,
            domain: me.domain,
            callers: me.callers,
            peers: me.peers,
            leaving: false,
        });
    }

    /// Passes the platform's list to every running host.
    pub(crate) fn send_listing(&mut self) {
        let (now, listing) = (self.now, self.listing.clone());
        for name in self.running() {
            let actions = self.node(&name).member.handle_listing(now, &listing);
            self.perform(&name, actions);
        }
    }

    /// Returns whether a host reaches the store, which is outside of the partitioned domains.
    fn reaches_store(&self, name: &str) -> bool {
        let domain = &self.nodes[name].member.me().domain;
        !self.store_down && !self.partitioned.contains(domain)
    }

    fn running(&self) -> Vec<Arc<str>> {
        let runs = self
            .nodes
            .iter()
            .filter(|(_, node)| !node.dead && !node.paused);
        runs.map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn node(&mut self, name: &str) -> &mut Node {
        self.nodes.get_mut(name).expect("a known host")
    }

    /// Calls one host's membership and performs the resulting actions.
    pub(crate) fn act(
        &mut self,
        name: &str,
        act: impl FnOnce(&mut Membership, Duration) -> Vec<member::Action>,
    ) {
        let now = self.now;
        let actions = act(&mut self.node(name).member, now);
        self.perform(&Arc::from(name), actions);
    }

    /// Resumes a paused host: it ticks, then reads the queued messages.
    pub(crate) fn resume(&mut self, name: &str) {
        let node = self.node(name);
        node.paused = false;
        let inbox = std::mem::take(&mut node.inbox);
        // The tick comes first: a message must not make a host act on its old view.
        self.tick_host(&Arc::from(name));
        for message in inbox {
            self.deliver(&Arc::from(name), &message);
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next = self.now + TICK;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > next {
                    break;
                }
                self.now = entry.key().0.max(self.now);
                let event = entry.remove();
                self.handle_event(event);
            }
            self.now = next;
            for name in self.running() {
                self.tick_host(&name);
            }
        }
    }

    fn tick_host(&mut self, name: &Arc<str>) {
        let now = self.now;
        let actions = self.node(name).member.tick(now);
        self.perform(name, actions);
        let node = self.node(name);
        let changed = node.role.is_none() || node.log.last().is_some_and(|(at, _)| *at == now);
        if changed {
            let role = relay::role(name, &node.member.members());
            node.follower.set_upstreams(role.upstreams.clone());
            node.role = Some(role);
        }
        let revision = node.follower.revision();
        node.member.set_revision(revision);
        let actions = node.follower.tick(now);
        self.follow(name, actions);
        self.watch(name);
    }

    /// A blocking watch of the root: it returns at once on a change, otherwise it waits.
    fn watch(&mut self, name: &Arc<str>) {
        let (now, down) = (self.now, !self.reaches_store(name));
        let version = self.store.root.as_ref().map_or(0, |(_, version)| *version);
        let node = self.node(name);
        if !node.role.as_ref().is_some_and(|role| role.watches_store) {
            return;
        }
        let fires = version > node.watched_version && !down;
        if !fires && now < node.watch_due {
            return;
        }
        node.watch_due = now + WATCH;
        if fires {
            node.watched_version = version;
        }
        self.store_calls += 1;
        if let Some(root) = self.store.read().filter(|_| fires) {
            let to = name.clone();
            let root = Box::new(root);
            self.schedule(self.store_delay, Event::Root { to, root });
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Message { to, message } => {
                let Some(node) = self.nodes.get_mut(&to).filter(|node| !node.dead) else {
                    return;
                };
                let bytes = wire::encode(&message).len() as u64;
                node.received += bytes;
                node.kinds.entry(kind(&message)).or_default().1 += bytes;
                if node.paused {
                    node.inbox.push(message);
                } else {
                    self.deliver(&to, &message);
                }
            }
            Event::Pieces { to, pieces } => {
                let actions = self
                    .node(&to)
                    .follower
                    .handle_pieces(now, &Source::Store, pieces);
                self.follow(&to, actions);
            }
            Event::Root { to, root } => {
                let actions = self
                    .node(&to)
                    .follower
                    .handle_root(now, Source::Store, *root);
                self.follow(&to, actions);
            }
        }
    }

    fn deliver(&mut self, to: &Arc<str>, message: &Message) {
        let now = self.now;
        let node = self.node(to);
        let actions = node.member.handle_message(now, message);
        let follower = &mut node.follower;
        let peer = |name: &Arc<str>| Source::Peer(name.clone());
        let (reply, follow_actions) = match message {
            Message::RootAsk(ask) => {
                let give = follower.root_since(to, ask.revision).map(Message::RootGive);
                (give.map(|give| (ask.name.clone(), give)), Vec::new())
            }
            Message::RootGive(give) => {
                let from = peer(&give.name);
                (None, follower.handle_root_give(now, from, give.clone()))
            }
            Message::PieceAsk(ask) => {
                let pieces = follower.pieces_for(ask);
                let name = to.clone();
                let give = Message::PieceGive(PieceGive { name, pieces });
                (Some((ask.name.clone(), give)), Vec::new())
            }
            Message::PieceGive(give) => {
                let pieces = give.pieces.iter().map(|bytes| bytes.as_slice().into());
                let pieces = pieces.collect();
                (None, follower.handle_pieces(now, &peer(&give.name), pieces))
            }
            _ => (None, Vec::new()),
        };
        self.perform(to, actions);
        self.follow(to, follow_actions);
        if let Some((asker, message)) = reply {
            self.send(to, &asker, message);
        }
    }

    fn perform(&mut self, name: &Arc<str>, actions: Vec<member::Action>) {
        let now = self.now;
        for action in actions {
            match action {
                member::Action::Send { to, message } => self.send(name, &to, message),
                other => {
                    if let member::Action::PeerRevision { peer, revision } = &other {
                        self.node(name)
                            .follower
                            .handle_peer_revision(now, peer, *revision);
                    } else {
                        self.node(name).log.push((now, other));
                    }
                }
            }
        }
    }

    fn follow(&mut self, name: &Arc<str>, actions: Vec<follow::Action>) {
        let now = self.now;
        for action in actions {
            match action {
                follow::Action::FetchRoot {
                    from: Source::Store,
                    ..
                } => {
                    self.store_calls += 1;
                    if let Some(root) = self.store.read().filter(|_| self.reaches_store(name)) {
                        let (to, root) = (name.clone(), Box::new(root));
                        self.schedule(self.store_delay, Event::Root { to, root });
                    }
                }
                follow::Action::FetchRoot {
                    from: Source::Peer(peer),
                    revision,
                } => {
                    let own_name = name.clone();
                    let ask = RootAsk {
                        name: own_name,
                        revision,
                    };
                    self.send(name, &peer, Message::RootAsk(ask));
                }
                follow::Action::FetchPieces {
                    from: Source::Store,
                    hashes,
                } => {
                    self.store_calls += hashes.len() as u64;
                    if self.reaches_store(name) {
                        let get = |hash| match self.store.run(&StoreOp::ReadPiece(hash)) {
                            StoreReply::Piece(bytes) => bytes,
                            _ => None,
                        };
                        let pieces = hashes.into_iter().filter_map(get).collect();
                        let to = name.clone();
                        self.schedule(self.store_delay, Event::Pieces { to, pieces });
                    }
                }
                follow::Action::FetchPieces {
                    from: Source::Peer(peer),
                    hashes,
                } => {
                    let hashes = hashes.iter().map(|hash| hash.to_vec()).collect();
                    let ask = PieceAsk {
                        name: name.clone(),
                        hashes,
                    };
                    self.send(name, &peer, Message::PieceAsk(ask));
                }
                follow::Action::Update(update) => {
                    let node = self.node(name);
                    node.updates.push((now, update.entry.revision));
                    let children = node
                        .role
                        .clone()
                        .map_or_else(Vec::new, |role| role.children);
                    let give = node.follower.root_since(name, update.old_revision);
                    let Some(give) = give.filter(|_| update.old_revision > 0) else {
                        continue;
                    };
                    for child in children {
                        self.send(name, &child, Message::RootGive(give.clone()));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: &Arc<str>, to: &Arc<str>, message: Message) {
        let bytes = wire::encode(&message).len() as u64;
        let count = self.counts.entry(kind(&message)).or_default();
        *count = (count.0 + 1, count.1 + bytes);
        let sender = self.node(from);
        sender.sent += bytes;
        sender.kinds.entry(kind(&message)).or_default().0 += bytes;
        let Some(target) = self.nodes.get(to) else {
            return;
        };
        let there = target.member.me().clone();
        let here = self.nodes[from].member.me();
        let separated =
            self.partitioned.contains(&here.domain) != self.partitioned.contains(&there.domain);
        let delay = if here.domain == there.domain {
            Duration::from_micros(300)
        } else if here.region == there.region {
            Duration::from_micros(1500)
        } else {
            Duration::from_millis(35)
        };
        if separated || (self.loss > 0.0 && self.rng.random_bool(self.loss)) {
            return;
        }
        let to = to.clone();
        self.schedule(delay, Event::Message { to, message });
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Applies a configuration to the store at once.
    pub(crate) fn apply(&mut self, id: &str, split: dunlinrock_coord::pieces::Split) {
        let request = root::ApplyRequest {
            id: id.into(),
            by: "op".into(),
            at_ms: 0,
            base: None,
        };
        let mut apply = root::Apply::open(request, split, root::StoreLimits::default());
        let mut ops = apply.poll(self.now);
        while let Some(pending) = ops.pop() {
            let answer = self.store.run(&pending.op);
            ops.extend(apply.handle_reply(pending.id, answer, self.now));
        }
        assert!(apply.outcome().is_some());
    }

    /// Resets all counters.
    pub(crate) fn reset_counts(&mut self) {
        self.counts.clear();
        self.store_calls = 0;
        for node in self.nodes.values_mut() {
            (node.sent, node.received) = (0, 0);
            node.kinds.clear();
        }
    }

    /// Returns the states in which running hosts see a host.
    pub(crate) fn observed_states(&self, name: &str) -> BTreeSet<HostState> {
        let others = self
            .nodes
            .iter()
            .filter(|(other, node)| ***other != *name && !node.dead && !node.paused);
        others.map(|(_, node)| node.member.state_of(name)).collect()
    }

    /// Runs until a condition holds; returns the time that took, or `None` after `limit`.
    pub(crate) fn until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + limit {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(TICK);
        }
        holds(self).then(|| self.now - start)
    }
}
