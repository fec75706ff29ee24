//! An operator's apply: writes the pieces, replaces the root, and determines the outcome.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_schema::coord::{Entry, Past, Root};

use super::{
    outcome::ApplyOutcome,
    record::{self, needs_rollover, next_root},
    request::{ApplyRequest, Fault, StoreLimits},
    store_op::{PendingOp, StoreOp, StoreReply, Version, VersionedValue},
};
use crate::{
    pieces::{Diff, Hash, Pieces, Split, TreeError, diff},
    wire,
};

/// The root that the apply is based on, and its progress on that base.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Base {
    root: Option<Root>,
    /// Version that the swap expects.
    version: Option<Version>,
    /// Remaining writes, once they are known.
    plan: Option<WritePlan>,
    /// Injected fault: no piece is written again.
    skip_writes: bool,
}

/// Remaining piece writes, and the new root to swap in after them.
#[derive(Clone, Debug, PartialEq)]
struct WritePlan {
    /// Pieces to write since this version of the root was read. A sweep may have removed what was
    /// written before, so nothing is carried over from an older version.
    writes: Pieces,
    /// The new root.
    root: Arc<[u8]>,
}

impl Base {
    pub(super) fn revision(&self) -> u64 {
        self.root.as_ref().map_or(0, |root| root.now.revision)
    }

    pub(super) fn tree(&self) -> Option<Hash> {
        Hash::read(&self.root.as_ref()?.now.tree)
    }
}

/// State machine of one apply.
///
/// Its swap of the root names the version that it read, so it takes effect on that base or not at
/// all, even if it arrives late or twice. After a lost reply the root is read again. If its version
/// is the same, the same swap is retried. If it changed, the entry of the revision after the base
/// shows for certain whether this apply took effect; it cannot take effect later.
#[derive(Clone, Debug)]
pub struct Apply {
    pub(super) request: ApplyRequest,
    split: Split,
    limits: StoreLimits,
    fault: Fault,
    pub(super) base: Option<Base>,
    /// Root as last read; the outer `None` means that a read is due, the inner that there is no
    /// root.
    current: Option<Option<(Root, Version)>>,
    /// Pieces of the base and of the active configuration read so far.
    pub(super) fetched: Pieces,
    /// Pieces that the store does not have.
    pub(super) missing: Vec<Hash>,
    pending: BTreeMap<u64, StoreOp>,
    /// Id of the last operation.
    last_id: u64,
    failures: u32,
    /// Whether a swap was sent on the current base.
    swap_sent: bool,
    /// No operation is started before this time.
    wait_until: Duration,
    pub(super) outcome: Option<ApplyOutcome>,
}

impl Apply {
    /// Creates an apply of a split configuration; [`Apply::poll`] returns the first operations.
    pub fn open(request: ApplyRequest, split: Split, limits: StoreLimits) -> Self {
        Self {
            request,
            split,
            limits,
            fault: Fault::None,
            base: None,
            current: None,
            fetched: Pieces::new(),
            missing: Vec::new(),
            pending: BTreeMap::new(),
            last_id: 0,
            failures: 0,
            swap_sent: false,
            wait_until: Duration::ZERO,
            outcome: None,
        }
    }

    /// Injects a fault.
    #[doc(hidden)]
    pub fn inject_fault(mut self, fault: Fault) -> Self {
        self.fault = fault;
        self
    }

    /// Returns the request.
    pub fn request(&self) -> &ApplyRequest {
        &self.request
    }

    /// Returns the outcome once it is certain.
    pub fn outcome(&self) -> Option<&ApplyOutcome> {
        self.outcome.as_ref()
    }

    /// Returns the time of the next [`Apply::poll`], unless a reply arrives earlier.
    pub fn next_wake(&self) -> Duration {
        self.wait_until
    }

    /// Returns whether a swap was sent whose outcome is not known yet. An operator who gives up now
    /// must be told that the apply may take effect, and the id to look for.
    pub fn in_doubt(&self) -> bool {
        self.outcome.is_none() && self.swap_sent
    }

    /// Returns the operations to start now.
    pub fn poll(&mut self, now: Duration) -> Vec<PendingOp> {
        if self.outcome.is_some() || now < self.wait_until {
            return Vec::new();
        }
        let capacity = self.limits.max_in_flight.saturating_sub(self.pending.len());
        let mut out = Vec::new();
        for op in self.required_ops() {
            if out.len() == capacity || self.pending.values().any(|other| *other == op) {
                continue;
            }
            self.last_id += 1;
            self.pending.insert(self.last_id, op.clone());
            out.push(PendingOp {
                id: self.last_id,
                op,
            });
        }
        out
    }

    /// Handles the reply to an operation; returns the operations to start now.
    pub fn handle_reply(&mut self, id: u64, reply: StoreReply, now: Duration) -> Vec<PendingOp> {
        if let Some(op) = self.pending.remove(&id) {
            self.process_reply(op, reply, now);
        }
        self.poll(now)
    }

    fn process_reply(&mut self, op: StoreOp, reply: StoreReply, now: Duration) {
        if reply == StoreReply::Failed {
            self.handle_failure(&op, now);
            return;
        }
        self.failures = 0;
        self.wait_until = Duration::ZERO;
        match (op, reply) {
            (StoreOp::ReadRoot, StoreReply::Root(stored)) => self.read(stored),
            (StoreOp::ReadPiece(hash), StoreReply::Piece(bytes)) => match bytes {
                Some(bytes) if Hash::of(&bytes) == hash => {
                    self.fetched.insert(hash, bytes);
                }
                _ => self.missing.push(hash),
            },
            (StoreOp::WritePiece { hash, .. }, StoreReply::Done) => {
                if let Some(plan) = self.base.as_mut().and_then(|base| base.plan.as_mut()) {
                    plan.writes.remove(&hash);
                }
            }
            (StoreOp::SwapRoot { .. }, StoreReply::Done) => self.set_applied(Vec::new()),
            // A conflict, or a reply that does not match the operation: read the root again.
            _ => self.current = None,
        }
    }

    fn handle_failure(&mut self, op: &StoreOp, now: Duration) {
        let is_swap = matches!(op, StoreOp::SwapRoot { .. });
        match self.fault {
            Fault::LostIsFailed if is_swap => {
                let base = self.base.as_ref().map_or(0, Base::revision);
                self.outcome = Some(ApplyOutcome::Conflict {
                    base,
                    by: Vec::new(),
                    changed: None,
                });
            }
            Fault::LostIsDone if is_swap => self.set_applied(Vec::new()),
            _ => {}
        }
        let doubled = self.limits.backoff * 2_u32.pow(self.failures.min(16));
        self.wait_until = now + doubled.min(self.limits.max_backoff);
        self.failures += 1;
        if is_swap {
            self.current = None;
        }
    }

    fn set_applied(&mut self, later: Vec<Entry>) {
        let base = self.base.as_ref().map_or(0, Base::revision);
        self.outcome = Some(ApplyOutcome::Applied {
            revision: base + 1,
            later,
        });
    }

    fn read(&mut self, stored: Option<VersionedValue>) {
        let Some(stored) = stored else {
            self.current = Some(None);
            return;
        };
        match record::decode(&stored.bytes) {
            Some(root) => self.current = Some(Some((root, stored.version))),
            None => self.set_corrupt("it cannot be decoded"),
        }
    }

    fn set_corrupt(&mut self, finding: &str) {
        self.outcome = Some(ApplyOutcome::CorruptRoot {
            finding: finding.into(),
        });
    }

    /// Returns all operations that the current state requires.
    fn required_ops(&mut self) -> Vec<StoreOp> {
        let Some(current) = self.current.clone() else {
            return vec![StoreOp::ReadRoot];
        };
        let version = current.as_ref().map(|(_, version)| *version);
        let root = current.map(|(root, _)| root);
        let Some(base) = &self.base else {
            return self.start(root, version);
        };
        if base.version == version {
            return self.advance();
        }
        let revision = root.as_ref().map_or(0, |root| root.now.revision);
        match root {
            Some(root) if revision > base.revision() && self.fault != Fault::Rebase => {
                self.resolve(&root, base.revision())
            }
            None => {
                self.set_corrupt("it no longer exists");
                Vec::new()
            }
            Some(_) if revision < base.revision() => {
                self.set_corrupt("its revision decreased");
                Vec::new()
            }
            // A sweep marked the root: the same revision with a new version.
            root => self.rebase(root, version),
        }
    }

    /// Handles the first read: checks whether the root is the one that the operator saw.
    fn start(&mut self, root: Option<Root>, version: Option<Version>) -> Vec<StoreOp> {
        let revision = root.as_ref().map_or(0, |root| root.now.revision);
        if let Some(root) = &root {
            let mut listed = std::iter::once(&root.now).chain(&root.recent);
            if let Some(entry) = listed.find(|entry| entry.id == self.request.id) {
                // An earlier process of this apply succeeded and did not receive the reply.
                let applied = entry.revision;
                return self.set_found(root, applied);
            }
        }
        let expected = self.request.base.unwrap_or(revision);
        if expected > revision {
            self.set_corrupt("it is older than the base revision of the apply");
            return Vec::new();
        }
        match root {
            Some(root) if expected < revision => self.resolve(&root, expected),
            root => self.rebase(root, version),
        }
    }

    fn set_found(&mut self, root: &Root, revision: u64) -> Vec<StoreOp> {
        let listed = std::iter::once(&root.now).chain(&root.recent);
        let later = listed.filter(|entry| entry.revision > revision);
        self.outcome = Some(ApplyOutcome::Applied {
            revision,
            later: later.cloned().collect(),
        });
        Vec::new()
    }

    fn rebase(&mut self, root: Option<Root>, version: Option<Version>) -> Vec<StoreOp> {
        let skip_writes = self.fault == Fault::TrustWritten && self.base.is_some();
        // A swap that named an older version can no longer take effect.
        self.swap_sent = false;
        self.base = Some(Base {
            root,
            version,
            plan: None,
            skip_writes,
        });
        self.advance()
    }

    /// Continues on an unchanged root: compares, writes, then swaps.
    fn advance(&mut self) -> Vec<StoreOp> {
        let Some(mut base) = self.base.take() else {
            return Vec::new();
        };
        let mut reads = Vec::new();
        if base.plan.is_none() {
            match self.plan(&base) {
                Ok(plan) => base.plan = plan,
                Err(missing) => reads = missing.into_iter().map(StoreOp::ReadPiece).collect(),
            }
        }
        let ops = match &base.plan {
            Some(plan) if plan.writes.is_empty() => {
                self.swap_sent = true;
                vec![StoreOp::SwapRoot {
                    expect: base.version,
                    bytes: plan.root.clone(),
                }]
            }
            // Pending writes are among the first, so this many are enough to fill the window.
            Some(plan) => write_ops(&plan.writes, self.limits.max_in_flight * 2),
            None => reads,
        };
        self.base = Some(base);
        ops
    }

    /// Computes the writes; the error names the pieces that must be read first. Returns `None` if
    /// there is nothing to change.
    fn plan(&mut self, base: &Base) -> Result<Option<WritePlan>, BTreeSet<Hash>> {
        let new_pieces = match self.compare(base.tree(), self.split.tree) {
            Ok(diff) if diff.changed.is_empty() && base.root.is_some() => {
                let revision = base.revision();
                self.outcome = Some(ApplyOutcome::Unchanged { revision });
                return Ok(None);
            }
            Ok(diff) => diff.new_pieces,
            Err(TreeError::Missing(missing)) if !self.any_missing(&missing) => return Err(missing),
            // The active tree lacks pieces. Writing all pieces of this configuration repairs it.
            Err(_) => self.split.pieces.keys().copied().collect(),
        };
        let past = self.past(base)?;
        let next = next_root(base.root.as_ref(), past.as_ref(), self.entry());
        let mut writes = Pieces::new();
        if !base.skip_writes {
            let held = |hash: &Hash| Some((*hash, self.split.pieces.get(hash)?.clone()));
            writes.extend(new_pieces.iter().filter_map(held));
            writes.extend(next.past.map(|bytes| (Hash::of(&bytes), bytes)));
        }
        let root = record::encode(&next.root);
        Ok(Some(WritePlan { writes, root }))
    }

    fn entry(&self) -> Entry {
        Entry {
            revision: 0,
            id: self.request.id.clone(),
            by: self.request.by.clone(),
            at_ms: self.request.at_ms,
            tree: self.split.tree.to_vec(),
        }
    }

    /// Returns the past piece that the next root needs, if any; the error names the hash to be
    /// read.
    fn past(&self, base: &Base) -> Result<Option<Past>, BTreeSet<Hash>> {
        let Some(root) = base.root.as_ref().filter(|root| needs_rollover(root)) else {
            return Ok(None);
        };
        let Some(hash) = Hash::read(&root.past) else {
            return Ok(None);
        };
        match self.fetched.get(&hash) {
            Some(bytes) => Ok(wire::decode(bytes).ok()),
            None if self.missing.contains(&hash) => Ok(None),
            None => Err(BTreeSet::from([hash])),
        }
    }

    pub(super) fn any_missing(&self, hashes: &BTreeSet<Hash>) -> bool {
        hashes.iter().any(|hash| self.missing.contains(hash))
    }

    pub(super) fn compare(&self, old: Option<Hash>, new: Hash) -> Result<Diff, TreeError> {
        let get = |hash: &Hash| {
            self.fetched
                .get(hash)
                .or(self.split.pieces.get(hash))
                .cloned()
        };
        diff(old, new, &get)
    }
}

fn write_ops(pieces: &Pieces, limit: usize) -> Vec<StoreOp> {
    let write = |(hash, bytes): (&Hash, &Arc<[u8]>)| StoreOp::WritePiece {
        hash: *hash,
        bytes: bytes.clone(),
    };
    pieces.iter().take(limit).map(write).collect()
}
