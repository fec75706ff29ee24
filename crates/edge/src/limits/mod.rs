//! Limits of workspaces over all hosts: which host counts a slice, and what it gives out.
//!
//! Invariant: no two hosts give out tokens of the same slice at the same time.
//!
//! * A host that is removed from the list has stopped: it gives out only while its lease in the store
//!   has certainly not ended, and the store removes it later than that.
//! * A host that joins waits until every other one knows it, or has stopped because what it believes
//!   is too old.
//! * A host whose lease ended announces itself anew. It gives out nothing until it has heard the store's
//!   word from after that, and then takes itself for one that joined.
//! * Who takes a slice over starts a burst behind: see `dunlinrock_decide::admit::direct::TokenBucket`.

mod issuer;
mod owners;

pub(crate) use self::issuer::{GrantError, TokenIssuer, TokenRequest};
pub use self::owners::{JOIN_DELAY, LimitOwners, ListedHost, MAX_GRANT_AGE, SETTLE_DELAY};
