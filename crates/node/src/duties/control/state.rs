//! State of the control duty.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use dunlinrock_decide::{
    admit::{Grade, Word},
    steer::{Blocks, Ceilings, Goals, Peer as SharePeer, Rows, Shares},
};
use dunlinrock_schema::{
    config::{Config, Target},
    peer::{Hello, PoolLoad, Word as PeerWord},
    store::Listed,
};
use serde_json::{Value, json};

use super::{
    gossip::Peers,
    input::{Input, Reply},
    leave::{Leave, Step},
    routes::{self, Heard, Parts},
    tasks::{self, Done, Results},
};
use crate::{
    duties::{
        ledger,
        pools::{self, PoolId, PoolReport},
    },
    metrics::Count,
    shared::Shared,
    store::{HostList, Store},
    view::{Answers, Member, View},
    wire::{self, Client},
};

/// Largest answer to a heartbeat, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// State of the control duty.
pub(super) struct Control {
    shared: Arc<Shared>,
    results: Results,
    client: Client,
    list: HostList,
    peers: Peers,
    revision: u64,
    config: Arc<Config>,
    pools: BTreeMap<Arc<PoolId>, Vec<(Arc<str>, Target)>>,
    blocks: Arc<Blocks>,
    answers: Arc<Answers>,
    /// What the answers were made from: revision and members.
    answered: (u64, Vec<Member>),
    /// Who owned what when the pools duty was last told.
    owned: (u64, Vec<Arc<PoolId>>),
    reports: Vec<PoolReport>,
    words: BTreeMap<u64, (Word, Duration)>,
    shares: Shares,
    lost: BTreeSet<Arc<str>>,
    last: Duration,
    leave: Option<Leave>,
    number: u64,
}

impl Control {
    pub(super) fn open(shared: Arc<Shared>, results: Results) -> Control {
        let timeout = Duration::from_millis(shared.settings.store.timeout_ms.get());
        let list = HostList::open(address(&shared.settings.list.address), timeout);
        let store = Store::open(
            address(&shared.settings.store.address),
            &shared.settings.store.prefix,
            timeout,
        );
        let every = Duration::from_millis(shared.settings.list.poll_ms);
        tasks::poll_list(
            list.clone(),
            listed(&shared.me, false),
            every,
            results.clone(),
        );
        tasks::watch_root(store, shared.metrics.clone(), results.clone());
        let now = shared.now();
        Control {
            client: Client::open(ANSWER_BYTES),
            list,
            results,
            peers: Peers::default(),
            revision: 0,
            config: Arc::default(),
            pools: BTreeMap::new(),
            blocks: Arc::new(Blocks::builder().finish()),
            answers: Arc::default(),
            answered: (0, Vec::new()),
            owned: (0, Vec::new()),
            reports: Vec::new(),
            words: BTreeMap::new(),
            shares: Shares::open(),
            lost: BTreeSet::new(),
            last: now,
            leave: None,
            number: 0,
            shared,
        }
    }

    /// Time that the planned stop took, once it is over.
    pub(super) fn ended(&self) -> Option<Duration> {
        self.leave.as_ref()?.drain()
    }

    pub(super) fn input(&mut self, input: Input) {
        match input {
            Input::Hear {
                from: _,
                frame,
                reply,
            } => {
                let answer = match wire::unpack::<Hello>(&frame) {
                    Ok(hello) => {
                        self.hello(hello);
                        wire::pack(&self.say()).map_or(Reply::Unreadable, Reply::Frame)
                    }
                    Err(_) => Reply::Unreadable,
                };
                // The peers duty gives up after a while.
                let _ = reply.send(answer);
            }
            Input::Leave => self.leave(),
            Input::Ask(reply) => {
                let _ = reply.send(self.state());
            }
        }
    }

    pub(super) fn done(&mut self, result: Done) {
        match result {
            Done::Listing(listing) => {
                let now = self.shared.now();
                self.peers.listed(&self.shared.me, &listing.hosts, now);
            }
            Done::Root {
                revision, config, ..
            } => self.follow(revision, *config),
            Done::Pools(reports) => self.pools(reports),
            Done::Ledger(report) => {
                if let Some(leave) = &mut self.leave {
                    leave.handed |= report.stopped;
                }
            }
            Done::Withdrawn => {
                let now = self.shared.now();
                if let Some(leave) = &mut self.leave {
                    leave.end(now);
                }
            }
            Done::Answer(frame) => {
                if let Ok(hello) = wire::unpack::<Hello>(&frame) {
                    self.hello(hello);
                }
            }
        }
    }

    /// Takes a configuration into force, unless it is older than the one at hand.
    fn follow(&mut self, revision: u64, config: Config) {
        if revision <= self.revision {
            return;
        }
        log::info!(revision = revision; "configuration in force");
        self.shared.metrics.count(Count::Revisions);
        self.revision = revision;
        self.pools = routes::pools(&config);
        self.blocks = Arc::new(Blocks::open(&config));
        self.config = Arc::new(config);
        self.publish();
    }

    fn pools(&mut self, reports: Vec<PoolReport>) {
        let now = self.shared.now();
        let words: Vec<Word> = reports
            .iter()
            .flat_map(|report| report.words.clone())
            .collect();
        self.hear_words(&words, now);
        self.reports = reports;
    }

    /// Keeps words that say more than what was known, and passes them to the pools.
    fn hear_words(&mut self, words: &[Word], now: Duration) {
        let mut fresh = Vec::new();
        for word in words {
            let known = self
                .words
                .get(&word.fingerprint)
                .filter(|(_, end)| *end > now);
            if known.is_none_or(|(known, _)| known.grade < word.grade) {
                self.words
                    .insert(word.fingerprint, (*word, now + word.life));
                fresh.push(*word);
            }
        }
        if !fresh.is_empty() {
            self.shared.pools.deliver(pools::Input::Hear(fresh));
        }
    }

    fn hello(&mut self, hello: Hello) {
        let now = self.shared.now();
        let words: Vec<Word> = hello.words.iter().map(read_word).collect();
        self.hear_words(&words, now);
        if let Some(replaced) = self.peers.hello(hello, now) {
            self.shared.ledger.deliver(ledger::Input::Gone(replaced));
        }
    }

    /// One heartbeat.
    pub(super) fn tick(&mut self) {
        let now = self.shared.now();
        self.last = now;
        self.words.retain(|_, (_, end)| *end > now);
        let gone = Duration::from_millis(self.shared.timing.gone_ms);
        for incarnation in self.peers.sweep(gone, now) {
            log::warn!(incarnation = incarnation; "a host is gone");
            self.shared.ledger.deliver(ledger::Input::Gone(incarnation));
        }
        tasks::ask_pools(&self.shared.pools, self.results.clone());
        self.steer(now);
        self.publish();
        if let Ok(frame) = wire::pack(&self.say()) {
            for peer in self.peers.iter() {
                self.shared
                    .metrics
                    .add(Count::ControlOut, frame.len() as u64);
                let to = peer.member.peers;
                tasks::beat(self.client.clone(), to, frame.clone(), self.results.clone());
            }
        }
        self.shared.metrics.flush();
        self.go_on_leaving(now);
    }

    fn steer(&mut self, now: Duration) {
        if self.revision == 0 {
            return;
        }
        let rows: Vec<Option<Rows>> = self
            .peers
            .iter()
            .filter(|peer| peer.heard.is_some())
            .map(|peer| peer.hello.as_ref().map(read_rows))
            .collect();
        let peers: Vec<SharePeer<'_>> = rows
            .iter()
            .map(|rows| SharePeer {
                rows: rows.as_ref(),
            })
            .collect();
        self.shares.hear(&peers);
        let goals = Goals::open(&self.config, &self.lost);
        self.shares.steer(&goals, &Ceilings::default(), now);
    }

    /// Publishes a view of what is held now.
    fn publish(&mut self) {
        let now = self.shared.now();
        let suspect = Duration::from_millis(self.shared.timing.suspect_ms);
        let mut me = self.shared.me.clone();
        me.leaving = self.leave.is_some();
        me.epoch = self.shared.epoch.load(Ordering::Relaxed);
        let mut all = self.peers.members(suspect, now);
        all.push(me.clone());
        all.sort_by(|a, b| a.name.cmp(&b.name));
        let members: BTreeMap<Arc<str>, Arc<Member>> = all
            .iter()
            .map(|m| (Arc::clone(&m.name), Arc::new(m.clone())))
            .collect();
        self.answer(&members, all);
        let heard = self.heard(now);
        let before = self.shared.view.load_full();
        let words: Vec<Word> = self.words.values().map(|(word, _)| *word).collect();
        let parts = Parts {
            config: &self.config,
            me: &me,
            members: &members,
            pools: &self.pools,
            heard: &heard,
            before: &before.pools,
            now,
        };
        let routes = parts.routes();
        let services = parts.services(&routes);
        let plans = parts.plans(&routes, &words);
        let owned = (
            self.revision,
            plans.iter().map(|plan| Arc::clone(&plan.id)).collect(),
        );
        if owned != self.owned {
            self.owned = owned;
            self.shared.pools.deliver(pools::Input::Own(plans));
        }
        self.number += 1;
        self.shared.view.store(Arc::new(View {
            number: self.number,
            revision: self.revision,
            config: Arc::clone(&self.config),
            ready: self.revision > 0 && self.shares.ready(),
            leaving: self.leave.is_some(),
            incarnations: members
                .values()
                .map(|m| (m.incarnation, Arc::clone(m)))
                .collect(),
            members,
            pools: routes,
            services,
            answers: Arc::clone(&self.answers),
            shares: Arc::new(self.shares.clone()),
            blocks: Arc::clone(&self.blocks),
            words: Arc::new(words),
        }));
        self.shared.published.send_replace(self.number);
    }

    /// Composes the answers to look-ups again where what they were made from has changed.
    fn answer(&mut self, members: &BTreeMap<Arc<str>, Arc<Member>>, all: Vec<Member>) {
        let from = (self.revision, all);
        if from != self.answered {
            let ttl = self.shared.timing.answer_ttl_ms;
            self.answers = Arc::new(Answers::open(&self.config, self.revision, ttl, members));
            self.answered = from;
        }
    }

    fn heard(&self, now: Duration) -> BTreeMap<Arc<PoolId>, Heard> {
        let mut heard = self.peers.loads();
        for report in self.reports.iter().filter(|report| !report.released) {
            heard.insert(
                Arc::clone(&report.id),
                Heard {
                    load: report.load,
                    at: now,
                },
            );
        }
        heard
    }

    fn say(&self) -> Hello {
        let me = &self.shared.me;
        let own = self.reports.iter().filter(|report| !report.released);
        Hello {
            name: Arc::clone(&me.name),
            incarnation: me.incarnation,
            region: Arc::clone(&me.region),
            domain: Arc::clone(&me.domain),
            callers: me.callers.to_string().into(),
            peers: me.peers.to_string().into(),
            leaving: self.leave.is_some(),
            ready: self.shares.ready(),
            epoch: self.shared.epoch.load(Ordering::Relaxed),
            revision: self.revision,
            pools: own.map(write_load).collect(),
            shares: self.shares.rows(),
            words: self
                .words
                .values()
                .map(|(word, _)| write_word(word))
                .collect(),
        }
    }

    fn leave(&mut self) {
        if self.leave.is_some() {
            return;
        }
        log::info!(host = &*self.shared.me.name; "leaving");
        self.leave = Some(Leave::open(self.shared.now()));
        tasks::announce(self.list.clone(), listed(&self.shared.me, true));
        self.tick();
    }

    fn go_on_leaving(&mut self, now: Duration) {
        let busy = self
            .reports
            .iter()
            .any(|report| report.load.busy + report.load.queued > 0);
        let Some(leave) = &mut self.leave else { return };
        match leave.step(&self.shared.timing, busy, now) {
            Step::Wait => {}
            Step::HandOver(time) => {
                let peers = self.peers.iter().filter(|peer| peer.heard.is_some());
                let peers = peers.map(|peer| peer.member.incarnation).collect();
                self.shared
                    .ledger
                    .deliver(ledger::Input::HandOver { peers, time });
            }
            Step::AskLedger => tasks::ask_ledger(&self.shared.ledger, self.results.clone()),
            Step::Withdraw => {
                let name = Arc::clone(&self.shared.me.name);
                tasks::withdraw(self.list.clone(), name, self.results.clone());
            }
        }
    }

    fn state(&self) -> Value {
        json!({
            "revision": self.revision,
            "peers": self.peers.iter().map(|peer| json!({
                "name": peer.member.name,
                "incarnation": peer.member.incarnation,
                "heard": peer.heard.is_some(),
                "revision": peer.hello.as_ref().map(|hello| hello.revision),
            })).collect::<Vec<_>>(),
        })
    }
}

fn address(text: &str) -> SocketAddr {
    // Checked when the settings were read.
    text.parse()
        .unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn listed(me: &Member, leaving: bool) -> Listed {
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

fn read_rows(hello: &Hello) -> Rows {
    hello.shares.clone()
}

fn read_word(word: &PeerWord) -> Word {
    Word {
        fingerprint: word.fingerprint,
        grade: if word.convict {
            Grade::Convict
        } else {
            Grade::Suspect
        },
        life: Duration::from_millis(word.life_ms),
    }
}

fn write_word(word: &Word) -> PeerWord {
    PeerWord {
        fingerprint: word.fingerprint,
        convict: word.grade == Grade::Convict,
        life_ms: u64::try_from(word.life.as_millis()).unwrap_or(u64::MAX),
    }
}

fn write_load(report: &PoolReport) -> PoolLoad {
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    PoolLoad {
        service: Arc::clone(&report.id.service),
        domain: Arc::clone(&report.id.domain),
        queued: report.load.queued,
        busy: report.load.busy,
        slots: report.load.slots,
        wait_us: micros(report.load.wait),
        turn_us: micros(report.load.turn),
    }
}
