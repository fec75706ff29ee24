//! A host's snapshot of the configuration: complete, and never replaced by an older revision.
//!
//! Roots and pieces come from the store or from peers; they may be late, duplicated or out of
//! order. A root newer than the snapshot becomes pending and its missing pieces are fetched; the
//! snapshot is replaced only when all of them are present. An older root is ignored, whichever
//! source sends it: a host that went back would apply a drain or a cap that the operators have
//! already replaced.
//!
//! ```
//! use std::time::Duration;
//!
//! use dunlinrock_coord::{follow::{Action, Follower, Source, Timings}, pieces};
//! use dunlinrock_schema::{config::Config, coord::{Entry, Root}};
//!
//! let split = pieces::split(&Config::default());
//! let tree = split.tree.to_vec();
//! let now = Entry { revision: 7, id: "a".into(), by: "ana".into(), at_ms: 0, tree };
//! let root = Root { now, recent: vec![], past: vec![], sweep: 0 };
//!
//! let mut follower = Follower::open(Timings::default());
//! assert!(!follower.ready());
//! let peer = Source::Peer("h2".into());
//! let actions = follower.handle_root(Duration::ZERO, peer.clone(), root);
//! assert!(matches!(actions[0], Action::FetchPieces { .. }));
//! let actions = follower.handle_pieces(Duration::ZERO, &peer, split.pieces.into_values().collect());
//! assert!(matches!(actions[0], Action::Update(_)));
//! assert_eq!(follower.revision(), 7);
//! ```

mod pending;
mod snapshot;

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::coord::{Entry, PieceAsk, Root, RootGive};

use self::pending::{NextStep, PendingSnapshot};
pub use self::snapshot::Snapshot;
use crate::pieces::{Diff, Hash};

/// Maximum number of pieces in one request: at most 1.8 KB each, so the response is under 230 KB.
pub const ASK_PIECES: usize = 128;

/// Source of roots and pieces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another host, by name.
    Peer(Arc<str>),
}

/// Timings of a follower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timings {
    /// Time without a response after which another source is asked.
    pub retry: Duration,
    /// Delay before a newer revision of a peer is fetched: it is most likely on its way down the
    /// [distribution tree](crate::relay).
    pub hint_delay: Duration,
    /// Interval at which an upstream is asked for a newer root.
    pub poll: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            retry: Duration::from_secs(1),
            hint_delay: Duration::from_millis(500),
            poll: Duration::from_secs(10),
        }
    }
}

/// Action for the caller of a follower.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the root, or ask a peer for a root newer than `revision`.
    FetchRoot {
        /// Source to read from.
        from: Source,
        /// Revision of the snapshot; 0 if there is none.
        revision: u64,
    },
    /// Read pieces, or ask a peer for them.
    FetchPieces {
        /// Source to read from.
        from: Source,
        /// Hashes of the pieces.
        hashes: Vec<Hash>,
    },
    /// A newer configuration is complete; apply it.
    Update(Update),
}

/// A step from one revision to a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Revision of the previous snapshot; 0 if there was none.
    pub old_revision: u64,
    /// Entry of the apply that is now active.
    pub entry: Entry,
    /// Changed leaves; their content is in [`Update::removed`] and [`Follower::snapshot`].
    pub diff: Diff,
    /// Pieces that the snapshot no longer contains, for [`patch`](crate::pieces::patch).
    pub removed: crate::pieces::Pieces,
}

/// State machine that keeps a host's snapshot up to date.
#[derive(Clone, Debug)]
pub struct Follower {
    timings: Timings,
    /// Complete, and never replaced by an older one.
    snapshot: Option<Snapshot>,
    pending: Option<PendingSnapshot>,
    /// Sources to ask for a root, preferred first.
    upstreams: Vec<Source>,
    /// Round-robin index of the upstream to ask next.
    next_upstream: usize,
    /// Newer revision of a peer, with the time at which it is fetched.
    peer_hint: Option<(u64, Source, Duration)>,
    /// Time of the next request to an upstream.
    next_poll: Duration,
}

impl Follower {
    /// Creates a follower without a snapshot: the host is not ready until it has one.
    pub fn open(timings: Timings) -> Self {
        Self {
            timings,
            snapshot: None,
            pending: None,
            upstreams: Vec::new(),
            next_upstream: 0,
            peer_hint: None,
            next_poll: Duration::ZERO,
        }
    }

    /// Returns whether there is a snapshot.
    pub fn ready(&self) -> bool {
        self.snapshot.is_some()
    }

    /// Returns the revision of the snapshot; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.root.now.revision)
    }

    /// Returns the snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Sets the sources to ask for a root, preferred first, as computed by
    /// [`relay::role`](crate::relay::role).
    pub fn set_upstreams(&mut self, upstreams: Vec<Source>) {
        if self.upstreams != upstreams {
            self.upstreams = upstreams;
            self.next_upstream = 0;
        }
    }

    /// Handles a root from a source.
    pub fn handle_root(&mut self, now: Duration, from: Source, root: Root) -> Vec<Action> {
        let revision = root.now.revision;
        if revision <= self.revision() {
            return Vec::new();
        }
        match &mut self.pending {
            Some(pending) if pending.root.now.revision > revision => return Vec::new(),
            Some(pending) if pending.root.now.revision == revision => pending.add_source(from),
            pending => {
                let fetched = pending.take().map(|old| old.fetched).unwrap_or_default();
                *pending = Some(PendingSnapshot::open(root, from, fetched));
            }
        }
        self.advance(now)
    }

    /// Handles a root that comes with pieces.
    pub fn handle_root_give(&mut self, now: Duration, from: Source, give: RootGive) -> Vec<Action> {
        if give.root.now.revision <= self.revision() {
            return Vec::new();
        }
        let pieces = give.pieces.into_iter().map(Arc::from).collect();
        let mut pending = self.pending.take();
        match &mut pending {
            Some(old) if old.root.now.revision >= give.root.now.revision => old.insert(pieces),
            other => {
                let fetched = other.take().map(|old| old.fetched).unwrap_or_default();
                let mut new = PendingSnapshot::open(give.root.clone(), from.clone(), fetched);
                new.insert(pieces);
                *other = Some(new);
            }
        }
        self.pending = pending;
        self.handle_root(now, from, give.root)
    }

    /// Handles the response to a request for pieces; it omits pieces that the source does not have.
    pub fn handle_pieces(
        &mut self,
        now: Duration,
        from: &Source,
        pieces: Vec<Arc<[u8]>>,
    ) -> Vec<Action> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        pending.handle_pieces(from, pieces);
        self.advance(now)
    }

    /// Handles a source's failure to respond.
    pub fn handle_failure(&mut self, now: Duration, from: &Source) -> Vec<Action> {
        if let Some(pending) = &mut self.pending {
            pending.handle_failure(from);
        }
        self.advance(now)
    }

    /// Handles the revision that a peer reported in a heartbeat or a digest.
    pub fn handle_peer_revision(&mut self, now: Duration, peer: &Arc<str>, revision: u64) {
        let known = self.peer_hint.as_ref().map_or(0, |(known, ..)| *known);
        if revision > self.revision().max(known) {
            let due = now + self.timings.hint_delay;
            self.peer_hint = Some((revision, Source::Peer(peer.clone()), due));
        }
    }

    /// Advances the time: retries requests without a response and polls the upstreams.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        if self
            .pending
            .as_mut()
            .is_some_and(|pending| pending.is_overdue(now))
        {
            out.extend(self.advance(now));
        }
        if let Some((revision, from, due)) = self.peer_hint.clone() {
            if revision <= self.revision() {
                self.peer_hint = None;
            } else if now >= due {
                // Retried at a fixed interval until the revision is reached; the peer may be gone
                // by now.
                self.peer_hint = Some((revision, from.clone(), now + self.timings.retry));
                out.push(self.fetch_root(from));
            }
        }
        if now >= self.next_poll && !self.upstreams.is_empty() {
            let from = self.upstreams[self.next_upstream % self.upstreams.len()].clone();
            self.next_upstream += 1;
            let wait = if self.ready() {
                self.timings.poll
            } else {
                self.timings.retry
            };
            self.next_poll = now + wait;
            out.push(self.fetch_root(from));
        }
        out
    }

    fn fetch_root(&self, from: Source) -> Action {
        let revision = self.revision();
        Action::FetchRoot { from, revision }
    }

    fn advance(&mut self, now: Duration) -> Vec<Action> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        match pending.next_step(self.snapshot.as_ref(), now, self.timings.retry) {
            NextStep::Wait => Vec::new(),
            NextStep::Fetch(from, hashes) => vec![Action::FetchPieces { from, hashes }],
            NextStep::Discard => {
                self.pending = None;
                Vec::new()
            }
            NextStep::Complete(diff) => self.apply_update(diff),
        }
    }

    fn apply_update(&mut self, diff: Diff) -> Vec<Action> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        let old_revision = self.revision();
        let entry = pending.root.now.clone();
        let snapshot = self.snapshot.get_or_insert_with(Snapshot::default);
        let removed = snapshot.advance_to(pending.root, pending.fetched, &diff);
        vec![Action::Update(Update {
            old_revision,
            entry,
            diff,
            removed,
        })]
    }

    /// Returns the root with recent pieces for a host at `revision`; `None` if it is not behind.
    pub fn root_since(&self, me: &Arc<str>, revision: u64) -> Option<RootGive> {
        self.snapshot.as_ref()?.root_since(me, revision)
    }

    /// Returns the requested pieces that the snapshot contains.
    pub fn pieces_for(&self, ask: &PieceAsk) -> Vec<Vec<u8>> {
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        ask.hashes
            .iter()
            .take(ASK_PIECES)
            .filter_map(|hash| snapshot.pieces.get(&Hash::read(hash)?))
            .map(|bytes| bytes.to_vec())
            .collect()
    }
}
