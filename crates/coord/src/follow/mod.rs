//! A host's copy of the configuration: the highest revision it has seen, whole, never an older one.
//!
//! Roots and pieces come from the store or from peers, late, doubled and out of order. A root that
//! is newer than the copy becomes the goal; the pieces that the copy lacks are fetched, and only
//! with all of them at hand does the copy switch. An older root is ignored, whoever sends it: a
//! host that went back would steer by a drain or a cap that the operators have already replaced.
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
//! let asks = follower.handle_root(Duration::ZERO, peer.clone(), root);
//! assert!(matches!(asks[0], Action::FetchPieces { .. }));
//! let switch = follower.handle_pieces(Duration::ZERO, &peer, split.pieces.into_values().collect());
//! assert!(matches!(switch[0], Action::Update(_)));
//! assert_eq!(follower.revision(), 7);
//! ```

mod pending;
mod snapshot;

use std::{sync::Arc, time::Duration};

use dunlinrock_schema::coord::{Entry, PieceAsk, Root, RootGive};

use self::pending::{NextStep, PendingSnapshot};
pub use self::snapshot::Snapshot;
use crate::pieces::{Diff, Hash};

/// Pieces asked for at once: under 230 KB in an answer, at most 1.8 KB each.
pub const ASK_PIECES: usize = 128;

/// Where roots and pieces come from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another host, by name.
    Peer(Arc<str>),
}

/// Times of a follower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timings {
    /// Wait for an answer before another source is asked.
    pub retry: Duration,
    /// Wait after word of a newer revision before it is asked for: it is most likely on its way
    /// down the [spread tree](crate::relay).
    pub hint_delay: Duration,
    /// Time between two looks at a source when nothing is heard.
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

/// What the caller does for a follower.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the root, or ask a peer for a newer one than `revision`.
    FetchRoot {
        /// Whom.
        from: Source,
        /// Revision that is held; 0 for none.
        revision: u64,
    },
    /// Read pieces, or ask a peer for them.
    FetchPieces {
        /// Whom.
        from: Source,
        /// Which.
        hashes: Vec<Hash>,
    },
    /// A newer configuration is whole; put it in force.
    Update(Update),
}

/// A step from one revision to a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Revision held before; 0 for none.
    pub old_revision: u64,
    /// The apply now in force.
    pub entry: Entry,
    /// What changed; its leaves can be read from [`Update::removed`] and [`Follower::snapshot`].
    pub diff: Diff,
    /// The pieces that the copy dropped, for [`patch`](crate::pieces::patch).
    pub removed: crate::pieces::Pieces,
}

/// A host's copy and its way to the next.
#[derive(Clone, Debug)]
pub struct Follower {
    timings: Timings,
    /// Whole, and never replaced by an older one.
    snapshot: Option<Snapshot>,
    pending: Option<PendingSnapshot>,
    /// Whom to ask for a root, best first.
    upstreams: Vec<Source>,
    /// Index of the upstream to ask next.
    next_upstream: usize,
    /// Word of a newer revision, with the time at which it is asked for.
    peer_hint: Option<(u64, Source, Duration)>,
    /// Time of the next look at an upstream.
    next_poll: Duration,
}

impl Follower {
    /// Begins without a copy: the host is not ready until it has one.
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

    /// Whether there is a copy to steer by.
    pub fn ready(&self) -> bool {
        self.snapshot.is_some()
    }

    /// Revision of the copy; 0 for none.
    pub fn revision(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.root.now.revision)
    }

    /// The copy.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Sets whom to ask for a root, best first, as [`relay::role`](crate::relay::role) gives them.
    pub fn set_upstreams(&mut self, upstreams: Vec<Source>) {
        if self.upstreams != upstreams {
            self.upstreams = upstreams;
            self.next_upstream = 0;
        }
    }

    /// Takes a root.
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

    /// Takes a root with pieces that came along.
    pub fn handle_root_give(&mut self, now: Duration, from: Source, give: RootGive) -> Vec<Action> {
        if give.root.now.revision <= self.revision() {
            return Vec::new();
        }
        let pieces = give.pieces.into_iter().map(Arc::from).collect();
        let mut pending = self.pending.take();
        match &mut pending {
            Some(old) if old.root.now.revision >= give.root.now.revision => {
                old.store_pieces(pieces)
            }
            other => {
                let fetched = other.take().map(|old| old.fetched).unwrap_or_default();
                let mut new = PendingSnapshot::open(give.root.clone(), from.clone(), fetched);
                new.store_pieces(pieces);
                *other = Some(new);
            }
        }
        self.pending = pending;
        self.handle_root(now, from, give.root)
    }

    /// Takes the answer to an ask for pieces; what the source does not hold is left out.
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

    /// Notes that a source did not answer.
    pub fn handle_failure(&mut self, now: Duration, from: &Source) -> Vec<Action> {
        if let Some(pending) = &mut self.pending {
            pending.handle_failure(from);
        }
        self.advance(now)
    }

    /// Takes word, from a heartbeat or a digest, that a peer holds a revision.
    pub fn handle_peer_revision(&mut self, now: Duration, peer: &Arc<str>, revision: u64) {
        let known = self.peer_hint.as_ref().map_or(0, |(known, ..)| *known);
        if revision > self.revision().max(known) {
            let due = now + self.timings.hint_delay;
            self.peer_hint = Some((revision, Source::Peer(peer.clone()), due));
        }
    }

    /// Lets time pass: asks again where answers are missing, looks at upstreams now and then.
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
                // Asked again at the same pace until it is held: the peer may be gone by now.
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

    /// What to give to a host that holds `revision`: nothing where it is not behind.
    pub fn root_since(&self, me: &Arc<str>, revision: u64) -> Option<RootGive> {
        self.snapshot.as_ref()?.root_since(me, revision)
    }

    /// The pieces of an ask that are held.
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
