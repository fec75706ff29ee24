//! Operations on the store and their replies.

use std::sync::Arc;

use crate::pieces::Hash;

/// The store's version of a value.
///
/// Versions increase over the whole store and are never reused, not even for a key that was removed
/// and written again: otherwise a paused [sweep](super::Sweep) would remove a piece that an apply
/// has just rewritten.
pub type Version = u64;

/// An operation on the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreOp {
    /// Read the root.
    ReadRoot,
    /// Read a piece.
    ReadPiece(Hash),
    /// Write a piece, even if it exists: the write assigns a new version, which prevents a sweep
    /// that saw the old version from removing the piece.
    WritePiece {
        /// Hash of the piece.
        hash: Hash,
        /// Content of the piece.
        bytes: Arc<[u8]>,
    },
    /// Replace the root if its version is still this one (`None`: if there is no root).
    SwapRoot {
        /// The version that the root must have.
        expect: Option<Version>,
        /// The new root.
        bytes: Arc<[u8]>,
    },
    /// List the pieces with their versions.
    ListPieces,
    /// Remove a piece if its version is still this one.
    RemovePiece {
        /// Hash of the piece.
        hash: Hash,
        /// The version that the piece must have.
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

/// The store's reply to an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The root; `None` if there is none.
    Root(Option<VersionedValue>),
    /// A piece; `None` if there is none.
    Piece(Option<Arc<[u8]>>),
    /// The write, swap or removal took effect.
    Done,
    /// The value had another version; nothing was changed.
    Conflict,
    /// The pieces with their versions.
    Listed(Vec<(Hash, Version)>),
    /// No reply, or not in time. The operation may have taken effect, or may still do so.
    Failed,
}

/// An operation with the id under which its reply is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOp {
    /// Id of the operation; only its first reply is handled.
    pub id: u64,
    /// The operation.
    pub op: StoreOp,
}
