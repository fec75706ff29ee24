//! State of the control worker and the data flow between its components.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use dunlinrock_coord::{
    follow::{self, Follower, Source},
    member::{self, HostState, Membership},
    pieces::Hash,
    relay, wire as coord_wire,
};
use dunlinrock_decide::admit::QuarantineUpdate;
use dunlinrock_schema::{
    coord::{Facts, Message, PieceGive, RootAsk},
    peer::SteerAsk,
    store::Listed,
};
use serde_json::{Value, json};
use tokio::sync::{oneshot, watch};

use super::{
    active_config::ActiveConfig,
    input::{Input, Reply},
    members,
    publish::Publisher,
    quarantine,
    shutdown::{Shutdown, Step},
    steering::Steering,
    tasks::{RemoteCalls, ResultSender, TaskResult},
};
use crate::{
    duties::{
        ledger,
        pools::{self, PoolReport},
    },
    metrics::Counter,
    shared::Shared,
    store::{HostList, Store},
    view::Member,
    wire::Client,
};

/// Maximum size of a response to a control message, in bytes: requested pieces are the largest.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// State of the control worker.
pub(super) struct Control {
    shared: Arc<Shared>,
    remote: RemoteCalls,
    membership: Membership,
    follower: Follower,
    role: relay::RelayRole,
    watching: watch::Sender<bool>,
    /// This host's entry on the platform's list; `None` once it has ended.
    registration: watch::Sender<Option<Listed>>,
    active: ActiveConfig,
    steering: Steering,
    publisher: Publisher,
    members: BTreeMap<Arc<str>, Arc<Member>>,
    reports: Vec<PoolReport>,
    /// Quarantined requests, which crash their targets, with the time at which the quarantine
    /// expires.
    quarantines: BTreeMap<u64, (QuarantineUpdate, Duration)>,
    /// Requests of hosts for shares and grants, answered at the next tick.
    waiting: Vec<(SteerAsk, oneshot::Sender<Reply>)>,
    shutdown: Option<Shutdown>,
}

impl Control {
    pub(super) fn open(shared: Arc<Shared>, results: ResultSender) -> Control {
        let now = shared.now();
        let timeout = Duration::from_millis(shared.settings.store.timeout_ms.get());
        let store = &shared.settings.store;
        let remote = RemoteCalls {
            name: Arc::clone(&shared.me.name),
            client: Client::open_from(Some(shared.me.peers.ip()), MAX_ANSWER_BYTES),
            store: Store::open(address(&store.address), &store.prefix, timeout),
            list: HostList::open(address(&shared.settings.list.address), timeout),
            metrics: shared.metrics.clone(),
            results,
        };
        let every = Duration::from_millis(shared.settings.list.poll_ms);
        let (registration, me) = watch::channel(Some(list_entry(&shared.me, false)));
        remote.keep_registered(me, every);
        let (watching, on) = watch::channel(false);
        remote.watch_root(on);
        let me = members::introduce(&shared.me);
        Control {
            remote,
            membership: Membership::open(me, members::timings(&shared.timing), now),
            follower: Follower::open(follow::Timings::default()),
            role: relay::role(&shared.me.name, &BTreeMap::new()),
            watching,
            registration,
            active: ActiveConfig::open(),
            steering: Steering::open(&shared.me, Arc::clone(&shared.grantee), now),
            publisher: Publisher::open(),
            members: BTreeMap::new(),
            reports: Vec::new(),
            quarantines: BTreeMap::new(),
            waiting: Vec::new(),
            shutdown: None,
            shared,
        }
    }

    /// Returns the duration of the graceful shutdown, once it has ended.
    pub(super) fn ended(&self) -> Option<Duration> {
        self.shutdown.as_ref()?.drain_time()
    }

    pub(super) fn input(&mut self, input: Input) {
        match input {
            Input::Message { from, frame, reply } => {
                // The sender may have stopped waiting.
                let _ = reply.send(self.on_message(from, &frame));
            }
            Input::Steer { from, frame, reply } => self.hold_steer_ask(from, &frame, reply),
            Input::Shutdown => self.begin_shutdown(),
            Input::GetState(reply) => {
                let _ = reply.send(self.state());
            }
        }
    }

    pub(super) fn on_result(&mut self, result: TaskResult) {
        let now = self.shared.now();
        match result {
            TaskResult::Listing(listing) => {
                let actions = self.membership.handle_listing(now, &listing);
                self.act(actions);
            }
            TaskResult::Root(root) => {
                let actions = self.follower.handle_root(now, Source::Store, root);
                self.follow(actions);
            }
            TaskResult::Pieces(from, pieces) => {
                let actions = self.follower.handle_pieces(now, &from, pieces);
                self.follow(actions);
            }
            TaskResult::Failed(from) => {
                let actions = self.follower.handle_failure(now, &from);
                self.follow(actions);
            }
            TaskResult::Answer(from, frame) => self.on_answer(&from, &frame),
            TaskResult::Steer(from, give) => self.steering.apply_answer(&from, give, now),
            TaskResult::Pools(reports) => self.pools(reports),
            TaskResult::Ledger(report) => {
                if let Some(shutdown) = &mut self.shutdown {
                    shutdown.handed_over |= report.stopped;
                }
            }
            TaskResult::Deregistered => {
                if let Some(shutdown) = &mut self.shutdown {
                    shutdown.end(now);
                }
            }
        }
    }

    /// Runs one heartbeat.
    pub(super) fn tick(&mut self) {
        let now = self.shared.now();
        // Changes during a pause of this process are processed before the fence opens again.
        let actions = self.membership.tick(now);
        self.act(actions);
        self.shared.fence.renew(now);
        self.quarantines.retain(|_, (_, end)| *end > now);
        let actions = self.follower.tick(now);
        self.follow(actions);
        self.remote.ask_pools(&self.shared.pools);
        self.steer(now);
        self.serve(now);
        self.refresh_members();
        self.publish(now);
        self.shared.metrics.flush();
        self.advance_shutdown(now);
    }

    /// Processes a control message and replies if it is a request.
    fn on_message(&mut self, from: IpAddr, frame: &Bytes) -> Reply {
        let Ok(message) = coord_wire::decode::<Message>(frame) else {
            return Reply::Unreadable;
        };
        if !members::admits(&self.membership, &message, from) {
            return Reply::NotMember;
        }
        match &message {
            Message::RootAsk(ask) => {
                let give = self.follower.root_since(&self.shared.me.name, ask.revision);
                give.map_or(Reply::Accepted, |give| encoded(&Message::RootGive(give)))
            }
            Message::PieceAsk(ask) => {
                let name = Arc::clone(&self.shared.me.name);
                let pieces = self.follower.pieces_for(ask);
                encoded(&Message::PieceGive(PieceGive { name, pieces }))
            }
            _ => {
                self.on_decoded(message);
                Reply::Accepted
            }
        }
    }

    fn on_answer(&mut self, from: &Arc<str>, frame: &Bytes) {
        match coord_wire::decode::<Message>(frame) {
            Ok(message) => self.on_decoded(message),
            Err(e) => log::warn!(from = &**from, error:% = e; "the response cannot be decoded"),
        }
    }

    fn on_decoded(&mut self, message: Message) {
        let now = self.shared.now();
        match message {
            Message::RootGive(give) => {
                let from = Source::Peer(Arc::clone(&give.name));
                let actions = self.follower.handle_root_give(now, from, give);
                self.follow(actions);
            }
            Message::PieceGive(give) => {
                let pieces = give.pieces.into_iter().map(Arc::from).collect();
                let actions = self
                    .follower
                    .handle_pieces(now, &Source::Peer(give.name), pieces);
                self.follow(actions);
            }
            message => {
                let actions = self.membership.handle_message(now, &message);
                self.act(actions);
            }
        }
    }

    /// Executes the actions of the membership.
    fn act(&mut self, actions: Vec<member::Action>) {
        let now = self.shared.now();
        let mut changed = false;
        for action in actions {
            match action {
                member::Action::Send { to, message } => self.send(&to, &message),
                member::Action::HostChanged {
                    name,
                    incarnation,
                    state,
                } => {
                    changed = true;
                    log::info!(host = &*name, incarnation = incarnation, state:% = state; "host state changed");
                    if state == HostState::Gone {
                        self.shared
                            .ledger
                            .send_retrying(ledger::Input::Gone(incarnation));
                    }
                }
                member::Action::DomainSilent { domain, silent } => {
                    changed = true;
                    log::warn!(domain = &*domain, silent = silent; "domain silence changed");
                }
                member::Action::Quarantined(quarantine) => {
                    if let Some(update) = quarantine::read(&quarantine) {
                        self.apply_quarantines(&[update], now);
                    }
                }
                member::Action::PeerRevision { peer, revision } => {
                    self.follower.handle_peer_revision(now, &peer, revision);
                }
                member::Action::CaughtUp(caught_up) => {
                    changed = true;
                    if !caught_up {
                        log::warn!(
                            "this process was paused; it takes no pools over before it has caught up"
                        );
                        self.steering.restart();
                    }
                }
                member::Action::HigherIncarnation { incarnation } => {
                    log::warn!(
                        incarnation = self.shared.me.incarnation, earlier = incarnation;
                        "an earlier process of this host has the higher incarnation, by its clock; starting again"
                    );
                    self.shared
                        .higher_incarnation
                        .send_replace(Some(incarnation));
                }
                member::Action::Superseded { incarnation } => {
                    log::error!(incarnation = incarnation; "another process has this host's name");
                    self.begin_shutdown();
                }
            }
        }
        if changed {
            self.refresh_members();
            self.update_role();
            self.steer(now);
            self.publish(now);
        }
    }

    fn send(&self, to: &Arc<str>, message: &Message) {
        let host = self.membership.hosts().get(to);
        let Some(peers) = host.and_then(|host| host.peers.parse::<SocketAddr>().ok()) else {
            return;
        };
        self.remote.send(to, peers, message);
    }

    /// Executes the actions of the follower.
    fn follow(&mut self, actions: Vec<follow::Action>) {
        for action in actions {
            match action {
                follow::Action::FetchRoot {
                    from: Source::Store,
                    ..
                } => self.remote.read_root(),
                follow::Action::FetchRoot {
                    from: Source::Peer(to),
                    revision,
                } => {
                    let name = Arc::clone(&self.shared.me.name);
                    self.send(&to, &Message::RootAsk(RootAsk { name, revision }));
                }
                follow::Action::FetchPieces {
                    from: Source::Store,
                    hashes,
                } => {
                    self.remote.read_pieces(hashes);
                }
                follow::Action::FetchPieces {
                    from: Source::Peer(to),
                    hashes,
                } => {
                    let name = Arc::clone(&self.shared.me.name);
                    let hashes = hashes.into_iter().map(Hash::to_vec).collect();
                    let ask = dunlinrock_schema::coord::PieceAsk { name, hashes };
                    self.send(&to, &Message::PieceAsk(ask));
                }
                follow::Action::Update(switch) => self.switch(&switch),
            }
        }
    }

    /// Activates a newer configuration and forwards it to the relay's children.
    fn switch(&mut self, switch: &follow::Update) {
        let Some(snapshot) = self.follower.snapshot() else {
            return;
        };
        let next = match self.active.next(switch, snapshot) {
            Ok(next) => next,
            Err(e) => {
                let revision = switch.entry.revision;
                log::error!(revision = revision, error:% = e; "the configuration cannot be used");
                return;
            }
        };
        log::info!(
            revision = next.revision, apply = &*switch.entry.id, by = &*switch.entry.by;
            "configuration activated"
        );
        self.shared.metrics.increment(Counter::Revisions);
        self.membership.set_revision(next.revision);
        self.active = next;
        self.steering.set_limits(&self.active.config);
        if let Some(give) = self
            .follower
            .root_since(&self.shared.me.name, switch.old_revision)
        {
            let message = Message::RootGive(give);
            for child in self.role.children.clone() {
                self.send(&child, &message);
            }
        }
        let now = self.shared.now();
        self.publish(now);
    }

    /// Recomputes this host's relay role: whether it watches the store, its upstreams and its
    /// children.
    fn update_role(&mut self) {
        let role = relay::role(&self.shared.me.name, &self.membership.members());
        if role != self.role {
            self.role = role;
            self.follower.set_upstreams(self.role.upstreams.clone());
        }
        let watch = self.role.watches_store && self.shutdown.is_none();
        self.watching
            .send_if_modified(|on| std::mem::replace(on, watch) != watch);
    }

    fn pools(&mut self, reports: Vec<PoolReport>) {
        let now = self.shared.now();
        let quarantines: Vec<QuarantineUpdate> = reports
            .iter()
            .flat_map(|report| report.quarantines.clone())
            .collect();
        self.reports = reports;
        for update in self.apply_quarantines(&quarantines, now) {
            let actions = self.membership.broadcast(now, quarantine::write(&update));
            self.act(actions);
        }
    }

    /// Stores updates that raise the known status of a request, passes them to the pools, and
    /// returns them.
    fn apply_quarantines(
        &mut self,
        quarantines: &[QuarantineUpdate],
        now: Duration,
    ) -> Vec<QuarantineUpdate> {
        let mut new = Vec::new();
        for update in quarantines {
            let known = self
                .quarantines
                .get(&update.fingerprint)
                .filter(|(_, end)| *end > now);
            if known.is_none_or(|(known, _)| known.status < update.status) {
                self.quarantines
                    .insert(update.fingerprint, (*update, now + update.ttl));
                new.push(*update);
            }
        }
        if !new.is_empty() {
            self.shared
                .pools
                .send_retrying(pools::Input::Quarantines(new.clone()));
        }
        new
    }

    fn steer(&mut self, now: Duration) {
        if self.active.revision == 0 || !self.membership.caught_up() {
            return;
        }
        let config = Arc::clone(&self.active.config);
        self.steering
            .measure(&config, &self.shared.traffic, &self.reports, now);
        let present = members::present_regions(&self.membership, &self.shared.me.name);
        self.steering.step(&config, &self.members, present, now);
        for outgoing in self.steering.due_asks(&self.members, now) {
            self.remote.steer(outgoing.to, &outgoing.ask);
        }
        let mut grants = self.steering.grants(now);
        for (ask, reply) in std::mem::take(&mut self.waiting) {
            let lent = grants.remove(&ask.name).unwrap_or_default();
            let give = self.steering.answer(&ask, lent);
            // The requester may have stopped waiting.
            let _ = reply.send(Reply::Frame(coord_wire::encode(&give)));
        }
    }

    /// Holds a request until the next tick, when the headroom is divided among all requesters.
    fn hold_steer_ask(&mut self, from: IpAddr, frame: &Bytes, reply: oneshot::Sender<Reply>) {
        let Ok(ask) = coord_wire::decode::<SteerAsk>(frame) else {
            let _ = reply.send(Reply::Unreadable);
            return;
        };
        let known = self
            .members
            .get(&ask.name)
            .is_some_and(|m| m.peers.ip() == from)
            || self.membership.hosts().get(&ask.name).is_some_and(|host| {
                host.peers
                    .parse::<SocketAddr>()
                    .is_ok_and(|peers| peers.ip() == from)
            });
        if !known {
            let _ = reply.send(Reply::NotMember);
            return;
        }
        self.steering.record_ask(&ask, self.shared.now());
        self.waiting.push((ask, reply));
    }

    /// Changes the state of this host to serving once all conditions are met.
    fn serve(&mut self, now: Duration) {
        let state = match (&self.shutdown, self.is_ready()) {
            (Some(_), _) => HostState::Leaving,
            (None, true) => HostState::Serving,
            (None, false) => return,
        };
        if self.membership.state() != state {
            let actions = self.membership.set_state(now, state);
            self.act(actions);
        }
        self.membership.set_facts(Facts {
            revision: self.active.revision,
            pools: Vec::new(),
            grants: Vec::new(),
            shares: Vec::new(),
            leaving: Vec::new(),
        });
    }

    fn is_ready(&self) -> bool {
        self.active.revision > 0 && self.steering.shares().ready() && self.membership.caught_up()
    }

    fn refresh_members(&mut self) {
        let mut me = self.shared.me.clone();
        me.leaving = self.shutdown.is_some();
        me.epoch = self.shared.epoch.load(Ordering::Relaxed);
        let epoch_ms = self.shared.timing.epoch_ms;
        self.members = members::members(&self.membership, &me, epoch_ms);
    }

    fn publish(&mut self, now: Duration) {
        let ready = self.is_ready();
        self.publisher.publish(
            &self.shared,
            super::publish::ViewInputs {
                active: &self.active,
                members: &self.members,
                steering: &self.steering,
                reports: &self.reports,
                quarantines: self
                    .quarantines
                    .values()
                    .map(|(update, _)| *update)
                    .collect(),
                ready,
                caught_up: self.membership.caught_up_at(now),
                leaving: self.shutdown.is_some(),
                now,
            },
        );
    }

    fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        log::info!(host = &*self.shared.me.name; "shutdown begins");
        let now = self.shared.now();
        self.shutdown = Some(Shutdown::open(now));
        self.registration
            .send_replace(Some(list_entry(&self.shared.me, true)));
        let actions = self.membership.set_state(now, HostState::Leaving);
        self.act(actions);
        self.tick();
    }

    fn advance_shutdown(&mut self, now: Duration) {
        let busy = self
            .reports
            .iter()
            .any(|report| report.load.busy + report.load.queued > 0);
        let Some(shutdown) = &mut self.shutdown else {
            return;
        };
        match shutdown.step(&self.shared.timing, busy, now) {
            Step::Wait => {}
            Step::HandOver(time) => {
                let others = self
                    .members
                    .values()
                    .filter(|m| m.name != self.shared.me.name);
                let peers = others.map(|member| member.incarnation).collect();
                self.shared
                    .ledger
                    .send_retrying(ledger::Input::HandOver { peers, time });
            }
            Step::AskLedger => self.remote.ask_ledger(&self.shared.ledger),
            Step::Deregister => {
                // The final announcement of this host. The hosts that would have to agree on its
                // silence may differ in what they know: a host that just started in its place has
                // not seen it on any list.
                let actions = self.membership.set_state(now, HostState::Gone);
                self.act(actions);
                self.registration.send_replace(None);
            }
        }
    }

    /// Returns revisions and ids of the applies that the local root lists, newest first.
    fn applies(&self) -> Vec<Value> {
        let root = self.follower.snapshot().map(|snapshot| &snapshot.root);
        let entries = root
            .into_iter()
            .flat_map(|root| std::iter::once(&root.now).chain(&root.recent));
        entries
            .map(|entry| json!({ "revision": entry.revision, "id": entry.id }))
            .collect()
    }

    fn state(&self) -> Value {
        json!({
            "revision": self.active.revision,
            "applies": self.applies(),
            "caught_up": self.membership.caught_up(),
            "state": self.membership.state().to_string(),
            "watches_store": self.role.watches_store,
            "tells": self.role.children,
            "lost_regions": self.steering.lost_regions(),
            "hosts": self.membership.hosts().iter().map(|(name, host)| json!({
                "name": name,
                "incarnation": host.incarnation,
                "domain": host.domain,
                "state": self.membership.state_of(name).to_string(),
                "revision": host.revision,
            })).collect::<Vec<_>>(),
        })
    }
}

fn encoded(message: &Message) -> Reply {
    Reply::Frame(coord_wire::encode(message))
}

fn address(text: &str) -> SocketAddr {
    // Checked when the settings were read.
    text.parse()
        .unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn list_entry(me: &Member, leaving: bool) -> Listed {
    Listed {
        name: Arc::clone(&me.name),
        incarnation: me.incarnation,
        region: Arc::clone(&me.region),
        domain: Arc::clone(&me.domain),
        callers: me.callers.to_string().into(),
        peers: me.peers.to_string().into(),
        leaving,
    }
}
