//! Membership of hosts: the platform's lagging list, corrected by heartbeats between hosts.
//!
//! At 2,400 hosts a heartbeat from each host to each other would cost megabytes a second. So each
//! host is watched by only [`WATCHERS`] others of its domain. A change (a host leaves, is silent,
//! or is heard again; a request kills targets) is broadcast as a *rumor* that reaches all hosts in
//! three hops. Within a domain hosts report their facts to each other; between domains two gateways
//! send a digest.
//!
//! * A restarted process has a new incarnation; a higher incarnation supersedes a lower one.
//! * A suspicion names the last heartbeat that was received. A later heartbeat refutes it, so a
//!   host that was only slow recovers at once and late rumors do no harm.
//! * Two watchers must agree that a host is gone. A host announces by itself that it leaves, so
//!   this takes three hops instead of a timeout.
//! * A gap between a host's own ticks means that its process was paused: it may have been
//!   superseded and its view is outdated. [`Membership::caught_up`] is `false` until another host
//!   has replied, and the host suspects no other host for the time of its own pause.
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

/// Action for the caller, or a change to report to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a host, at the address in [`Membership::hosts`].
    Send {
        /// Name of the receiving host.
        to: Arc<str>,
        /// The message.
        message: Message,
    },
    /// The state or the incarnation of a host changed.
    HostChanged {
        /// Name of the host.
        name: Arc<str>,
        /// Incarnation of the host.
        incarnation: u64,
        /// State of the host.
        state: HostState,
    },
    /// A failure domain became silent, or is heard again.
    DomainSilent {
        /// Name of the domain.
        domain: Arc<str>,
        /// Whether it is silent.
        silent: bool,
    },
    /// A request or target that every host refuses or avoids for a time.
    Quarantined(Quarantine),
    /// A host has this configuration revision; input for [`follow`](crate::follow).
    PeerRevision {
        /// Name of the host.
        peer: Arc<str>,
        /// The revision.
        revision: u64,
    },
    /// [`Membership::caught_up`] changed.
    CaughtUp(bool),
    /// A later incarnation of this host exists; this process must stop.
    Superseded {
        /// The later incarnation.
        incarnation: u64,
    },
    /// An earlier process of this name had a higher incarnation; this one must restart with a
    /// higher one.
    HigherIncarnation {
        /// Incarnation of the earlier process.
        incarnation: u64,
    },
}

/// The view that one host has of all hosts.
#[derive(Clone, Debug)]
pub struct Membership {
    me: LocalMember,
    timings: Timings,
    state: HostState,
    /// Number of the last heartbeat; also increases with each refuted suspicion.
    heartbeat: u64,
    /// Heartbeat number with which the last suspicion was refuted; suspicions about earlier numbers
    /// need no answer.
    refuted: u64,
    revision: u64,
    /// Whether the next heartbeat goes to the whole domain because the revision changed.
    announce_revision: bool,
    table: HostTable,
    rumors: RumorStore,
    /// Hosts that are not gone, by domain; the topology is derived from them.
    domains: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Hosts of this domain that are gone and still in the table.
    gone: BTreeSet<Arc<str>>,
    topology: Topology,
    /// Time since when a heartbeat of each watched host is expected.
    watched_since: BTreeMap<Arc<str>, Duration>,
    /// Watched hosts that this host suspects.
    suspected: BTreeSet<Arc<str>>,
    /// Time of the last message from each domain that sends to this host, or since when one is
    /// expected.
    last_direct: BTreeMap<Arc<str>, Duration>,
    /// Reports of the hosts of this domain that receive nothing from another domain, by that
    /// domain.
    silence_reports: BTreeMap<Arc<str>, SilenceReports>,
    facts: Facts,
    /// Increases with each change of the facts.
    facts_stamp: u64,
    /// Stamp of the last report sent, and rounds since the last report.
    reported_stamp: u64,
    unchanged_rounds: u32,
    /// Hosts that have not received a report yet.
    newcomers: BTreeSet<Arc<str>>,
    reports: BTreeMap<Arc<str>, (Report, Duration)>,
    digests: BTreeMap<Arc<str>, (Digest, Duration)>,
    /// Digests received directly and not relayed yet.
    pending_digests: BTreeMap<Arc<str>, Digest>,
    /// Lowest revision of each domain as last relayed within this one.
    relayed_lowest: BTreeMap<Arc<str>, u64>,
    digest_stamp: u64,
    /// Time since when the rumors of another host differ from those of this host.
    mismatch_since: BTreeMap<Arc<str>, Duration>,
    due: Due,
    last_tick: Duration,
    /// Time since when this host is catching up; `None` once another host has replied.
    catching_up_since: Option<Duration>,
    /// Whether this host has ever caught up.
    joined: bool,
    /// Round-robin index of the host to ask next; starts at an offset by name, as hosts that start
    /// together would otherwise all ask the same host.
    next_peer: usize,
    listed: bool,
    superseded: Option<u64>,
    /// States as last reported to the caller.
    reported_states: BTreeMap<Arc<str>, (u64, HostState)>,
    /// Number of hosts of each domain that are not gone, as last reported.
    live_counts: BTreeMap<Arc<str>, usize>,
    silent_domains: BTreeSet<Arc<str>>,
}

/// Reports on the silence of one domain, by the reporting host.
type SilenceReports = BTreeMap<Arc<str>, SilenceReport>;

/// Last report of one host on the silence of a domain; expires unless it is renewed.
#[derive(Clone, Copy, Debug, Default)]
struct SilenceReport {
    /// Heartbeat number of the report.
    beat: u64,
    silent: bool,
    reported_at: Duration,
}

/// Times at which the periodic actions are due.
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
    /// Creates the membership of a starting host that knows no other host. The periodic actions
    /// start at an offset by name, so that hosts that start together do not send together.
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

    /// Sets the facts that this host reports to its domain; sent in the next round if they changed.
    /// Their revision is replaced by that of [`Membership::set_revision`].
    pub fn set_facts(&mut self, facts: Facts) {
        if facts != self.facts {
            self.facts = facts;
            self.facts_stamp += 1;
        }
    }

    /// Sets the active configuration revision; the next heartbeat sends it to the whole domain.
    pub fn set_revision(&mut self, revision: u64) {
        if self.revision != revision {
            self.revision = revision;
            self.announce_revision = true;
            // The heartbeat may be lost; the next report contains the revision too.
            self.facts_stamp += 1;
        }
    }

    /// Handles the platform's list of hosts.
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

    /// Changes this host's own state and broadcasts it.
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

    /// Returns the number of live watchers of a host, at most [`WATCHERS`]; two are enough to
    /// decide.
    fn watcher_count(&self, host: &Host) -> usize {
        let live = self
            .live_counts
            .get(&host.domain)
            .copied()
            .unwrap_or_default();
        live.saturating_sub(1).min(WATCHERS)
    }

    /// Handles the incarnation of another process under this host's name.
    ///
    /// Incarnations are derived from the wall clock. If the clock was set back, or was ahead when
    /// the earlier process started, the later process has the lower number: all other hosts take it
    /// for the old one and tell it to stop, and the host is out of service until the clock passes
    /// the earlier start. A process that has not joined yet has only just started, so a higher
    /// number belongs to an earlier process. A process that was paused and replaced had joined
    /// before.
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
