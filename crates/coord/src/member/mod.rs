//! Who is there: the platform's lagging list, corrected by heartbeats between hosts.
//!
//! Answers the load of a fleet that cannot hear from all: at 2,400 hosts a heartbeat from each to
//! each would cost megabytes a second. Each host is watched by [`WATCHERS`] others of its domain;
//! what changes (a host that leaves, falls silent, or is heard again; a request that kills
//! targets) travels as a *word* that reaches all hosts in three hops. Inside a domain hosts report
//! their facts to each other; between domains two speakers send a digest.
//!
//! * A restart is another incarnation; a higher one supersedes the lower.
//! * A doubt names the last beat that was heard. A later beat refutes it, so a host that was only
//!   slow is back at once, and late words do no harm.
//! * Two watchers must agree that a host is gone. Leaving is said by the host itself and needs no
//!   silence, so it spreads in three hops instead of after a timeout.
//! * A host whose own ticks have a gap was paused: it may have been superseded, and its view is
//!   old. [`Membership::caught_up`] is `false` until another host has answered it, and it doubts
//!   nobody for a silence that was its own.
//!
//! ```
//! use std::time::Duration;
//!
//! use dunlinrock_coord::member::{HostState, LocalMember, Membership, Timings};
//! use dunlinrock_schema::store::Listing;
//!
//! let me = LocalMember {
//!     name: "h1".into(), incarnation: 1, region: "north".into(), domain: "n1".into(),
//!     callers: "127.0.0.1:1".into(), peers: "127.0.0.1:2".into(),
//! };
//! let mut member = Membership::open(me, Timings::default(), Duration::ZERO);
//! member.handle_listing(Duration::ZERO, &Listing { hosts: vec![] });
//! assert!(member.caught_up());
//! member.set_state(Duration::ZERO, HostState::Serving);
//! assert_eq!(member.serving().len(), 1);
//! ```

mod changes;
mod config;
mod dissemination;
mod hosts;
mod receive;
mod rumors;
mod tick;
mod topology;
mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::{
    coord::{Digest, Facts, Message, Quarantine, Report},
    store::Listing,
};

pub use dunlinrock_schema::coord::HostState;

pub use self::{
    config::{LocalMember, Timings},
    hosts::Host,
    topology::{GATEWAYS, WATCHERS},
};
use self::{hosts::HostTable, rumors::RumorStore, topology::Topology};

/// What the caller does for a membership, or learns from it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a host, at the address in [`Membership::hosts`].
    Send {
        /// Whom.
        to: Arc<str>,
        /// What.
        message: Message,
    },
    /// A host's state or incarnation is another one.
    HostChanged {
        /// Which host.
        name: Arc<str>,
        /// Its incarnation.
        incarnation: u64,
        /// Its state.
        state: HostState,
    },
    /// Nothing is heard from a failure domain, or something again.
    DomainSilent {
        /// Which.
        domain: Arc<str>,
        /// Whether it is silent.
        silent: bool,
    },
    /// A request or target that every host refuses or avoids for a time.
    Quarantined(Quarantine),
    /// A host holds this configuration revision; for [`follow`](crate::follow).
    PeerRevision {
        /// Which host.
        peer: Arc<str>,
        /// The revision.
        revision: u64,
    },
    /// [`Membership::caught_up`] changed.
    CaughtUp(bool),
    /// A later incarnation of this host is there; this process must stop.
    Superseded {
        /// The later incarnation.
        incarnation: u64,
    },
    /// An earlier process of this name had a higher incarnation; this one must begin anew above it.
    HigherIncarnation {
        /// The earlier process's.
        incarnation: u64,
    },
}

/// A membership of one host.
#[derive(Clone, Debug)]
pub struct Membership {
    me: LocalMember,
    timings: Timings,
    state: HostState,
    /// Counts up with each heartbeat and each refuted doubt.
    heartbeat: u64,
    /// Beat with which the last doubt was refuted; doubts of earlier ones need no answer.
    refuted: u64,
    revision: u64,
    /// Whether the next heartbeat goes to the whole domain, as the revision is another one.
    announce_revision: bool,
    table: HostTable,
    rumors: RumorStore,
    /// Hosts that are not gone, by domain; the topology follows from them.
    domains: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Hosts of this domain that are gone and not forgotten.
    gone: BTreeSet<Arc<str>>,
    topology: Topology,
    /// Since when each watched host is waited for.
    watched_since: BTreeMap<Arc<str>, Duration>,
    /// Watched hosts that this host doubts.
    suspected: BTreeSet<Arc<str>>,
    /// When each domain that speaks to this host was last heard, or first waited for.
    last_direct: BTreeMap<Arc<str>, Duration>,
    /// Which hosts of this domain do not hear another domain, with the number of their word.
    silence_reports: BTreeMap<Arc<str>, SilenceReports>,
    facts: Facts,
    /// Counts up with each change of the facts.
    facts_stamp: u64,
    /// Stamp of the last report sent, and reports since the last that was sent without a change.
    reported_stamp: u64,
    unchanged_rounds: u32,
    /// Hosts that have not had a report yet.
    newcomers: BTreeSet<Arc<str>>,
    reports: BTreeMap<Arc<str>, (Report, Duration)>,
    digests: BTreeMap<Arc<str>, (Digest, Duration)>,
    /// Digests heard directly and not passed on yet.
    pending_digests: BTreeMap<Arc<str>, Digest>,
    /// Lowest revision of each domain as last passed on within this one.
    relayed_lowest: BTreeMap<Arc<str>, u64>,
    digest_stamp: u64,
    /// Since when the words of each host that was heard differ from this host's.
    mismatch_since: BTreeMap<Arc<str>, Duration>,
    due: Due,
    last_tick: Duration,
    /// Since when other hosts are asked; `None` once one has answered.
    catching_up_since: Option<Duration>,
    /// Whether this host has ever caught up.
    joined: bool,
    /// Counts up with each ask, to ask others in turn; begins at a place of the host's own, as hosts
    /// started together would all ask the same one.
    next_peer: usize,
    listed: bool,
    superseded: Option<u64>,
    /// States as last told to the caller.
    reported_states: BTreeMap<Arc<str>, (u64, HostState)>,
    /// Hosts of each domain that are not gone, as last told.
    live_counts: BTreeMap<Arc<str>, usize>,
    silent_domains: BTreeSet<Arc<str>>,
}

/// What hosts said of a domain's silence.
type SilenceReports = BTreeMap<Arc<str>, SilenceReport>;

/// What one host last said of a domain's silence; it lapses unless it is said again.
#[derive(Clone, Copy, Debug, Default)]
struct SilenceReport {
    /// Number of its word.
    beat: u64,
    silent: bool,
    reported_at: Duration,
}

/// When things are next done.
#[derive(Clone, Copy, Debug, Default)]
struct Due {
    heartbeat: Duration,
    report: Duration,
    digest: Duration,
    relay: Duration,
    sync: Duration,
    renew: Duration,
}

impl Membership {
    /// Begins as a starting host that knows nobody. Each host's rounds begin at a place of their
    /// own, so that hosts started together do not send together.
    pub fn open(me: LocalMember, timings: Timings, now: Duration) -> Self {
        let offset = rapidhash::v3::rapidhash_v3(me.name.as_bytes()) % 1000;
        let phase = |time: Duration| now + time * offset as u32 / 1000;
        let mut member = Self {
            due: Due {
                heartbeat: now,
                report: phase(timings.report),
                digest: phase(timings.digest),
                relay: phase(timings.relay_interval),
                sync: now,
                renew: now,
            },
            me,
            timings,
            state: HostState::Starting,
            heartbeat: 0,
            refuted: 0,
            revision: 0,
            announce_revision: false,
            table: HostTable::default(),
            rumors: RumorStore::default(),
            domains: BTreeMap::new(),
            gone: BTreeSet::new(),
            topology: Topology::default(),
            watched_since: BTreeMap::new(),
            suspected: BTreeSet::new(),
            last_direct: BTreeMap::new(),
            silence_reports: BTreeMap::new(),
            facts: Facts {
                revision: 0,
                pools: Vec::new(),
                grants: Vec::new(),
                shares: Vec::new(),
                leaving: Vec::new(),
            },
            facts_stamp: 0,
            reported_stamp: 0,
            unchanged_rounds: 0,
            newcomers: BTreeSet::new(),
            reports: BTreeMap::new(),
            digests: BTreeMap::new(),
            pending_digests: BTreeMap::new(),
            relayed_lowest: BTreeMap::new(),
            digest_stamp: 0,
            mismatch_since: BTreeMap::new(),
            last_tick: now,
            catching_up_since: Some(now),
            joined: false,
            next_peer: offset as usize,
            listed: false,
            superseded: None,
            reported_states: BTreeMap::new(),
            live_counts: BTreeMap::new(),
            silent_domains: BTreeSet::new(),
        };
        member.update_own_entry(now);
        member
    }

    /// Sets what this host reports to its domain; sent with the next round where it changed. The
    /// revision in it is that of [`Membership::set_revision`].
    pub fn set_facts(&mut self, facts: Facts) {
        if facts != self.facts {
            self.facts = facts;
            self.facts_stamp += 1;
        }
    }

    /// Sets the configuration revision in force here; the next heartbeat tells the whole domain.
    pub fn set_revision(&mut self, revision: u64) {
        if self.revision != revision {
            self.revision = revision;
            self.announce_revision = true;
            // The heartbeat may be lost; the next report names it too.
            self.facts_stamp += 1;
        }
    }

    /// Takes the platform's list.
    pub fn handle_listing(&mut self, now: Duration, listing: &Listing) -> Vec<Action> {
        let mut out = Vec::new();
        self.notice_pause(now, &mut out);
        let (own, others): (Vec<_>, Vec<_>) = listing
            .hosts
            .iter()
            .cloned()
            .partition(|host| host.name == self.me.name);
        for host in own {
            self.check_own_incarnation(host.incarnation, &mut out);
        }
        self.table.apply_listing(&others, &self.me.domain, now);
        self.update_own_entry(now);
        self.listed = true;
        if self.table.hosts.len() == 1 {
            self.mark_caught_up(&mut out);
        }
        self.refresh(now, &mut out);
        out
    }

    /// Changes this host's own state, and says so to all.
    pub fn set_state(&mut self, now: Duration, state: HostState) -> Vec<Action> {
        let mut out = Vec::new();
        if self.state != state {
            self.state = state;
            self.broadcast_own_state(now, &mut out);
            self.update_own_entry(now);
            self.refresh(now, &mut out);
        }
        out
    }

    fn update_own_entry(&mut self, now: Duration) {
        let me = dunlinrock_schema::coord::SyncAsk {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            region: self.me.region.clone(),
            domain: self.me.domain.clone(),
            callers: self.me.callers.clone(),
            peers: self.me.peers.clone(),
            have: Vec::new(),
        };
        self.table.introduce(&me, &self.me.domain, now);
        if let Some(host) = self.table.hosts.get_mut(&self.me.name) {
            host.reported_state = self.state;
            host.listed = true;
        }
    }

    /// How many hosts there are to watch a host; two are enough to decide.
    fn watcher_count(&self, host: &Host) -> usize {
        let live = self
            .live_counts
            .get(&host.domain)
            .copied()
            .unwrap_or_default();
        live.saturating_sub(1).min(WATCHERS)
    }

    /// Notes another process under this host's name.
    ///
    /// Incarnations come from the time of day. Where it was set back, or stood ahead when the earlier
    /// process started, the later one has the lower number: all others take it for the old one, tell it to
    /// stop, and the host is out of service until the clock is past the earlier start. A process that has
    /// not joined yet has only just started, so what is known of its name is of an earlier one. One that
    /// was paused and replaced had joined before.
    fn check_own_incarnation(&mut self, incarnation: u64, out: &mut Vec<Action>) {
        if incarnation <= self.superseded.unwrap_or(self.me.incarnation) {
            return;
        }
        self.superseded = Some(incarnation);
        out.push(match self.joined {
            true => Action::Superseded { incarnation },
            false => Action::HigherIncarnation { incarnation },
        });
        out.push(Action::CaughtUp(false));
    }

    fn mark_caught_up(&mut self, out: &mut Vec<Action>) {
        if self.catching_up_since.take().is_some() && self.superseded.is_none() {
            self.joined = true;
            out.push(Action::CaughtUp(true));
        }
    }
}
