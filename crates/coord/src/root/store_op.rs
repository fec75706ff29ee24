//! What is asked of the store, and what it may answer.

use std::sync::Arc;

use crate::pieces::Hash;

/// The store's version of a value.
///
/// Versions grow over the whole store and are never used twice, also for a key that was removed
/// and written again: a [sweep](super::Sweep) that was paused would otherwise remove a piece that
/// an apply has just written anew.
pub type Version = u64;

/// An operation on the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreOp {
    /// Read the root.
    ReadRoot,
    /// Read a piece.
    ReadPiece(Hash),
    /// Write a piece, also where it is there already: the write gives it a new version, which
    /// keeps a sweep that saw the old one from removing it.
    WritePiece {
        /// Where to.
        hash: Hash,
        /// What.
        bytes: Arc<[u8]>,
    },
    /// Replace the root if its version is still this one (`None`: if there is no root).
    SwapRoot {
        /// The version it must have.
        expect: Option<Version>,
        /// The new root.
        bytes: Arc<[u8]>,
    },
    /// List the pieces with their versions.
    ListPieces,
    /// Remove a piece if its version is still this one.
    RemovePiece {
        /// Which.
        hash: Hash,
        /// The version it must have.
        version: Version,
    },
}

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The value.
    pub bytes: Arc<[u8]>,
    /// Its version.
    pub version: Version,
}

/// The store's answer to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The root, or that there is none.
    Root(Option<VersionedValue>),
    /// A piece, or that there is none.
    Piece(Option<Arc<[u8]>>),
    /// The write, move or removal took effect.
    Done,
    /// The version was another one; nothing was changed.
    Conflict,
    /// The pieces with their versions.
    Listed(Vec<(Hash, Version)>),
    /// No answer, in time or at all. The operation may have taken effect, or may still do so.
    Failed,
}

/// An operation with the number under which its answer is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOp {
    /// Number of the operation; each is answered once, later answers are ignored.
    pub id: u64,
    /// The operation.
    pub op: StoreOp,
}
