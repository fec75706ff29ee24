//! Who is let in when not all can be: which requests may use a target's queue while it is short of
//! room.
//!
//! The order is the request's [`Urgency`], and among requests alike in it whether their workspace
//! has had more than its fair share of the room. No decision depends on chance.

mod decaying;
mod gate;
mod shares;

pub(super) use self::{decaying::Decaying, gate::FLOOR};
pub use self::{
    gate::{EntryGate, Place, Urgency},
    shares::FairShares,
};
