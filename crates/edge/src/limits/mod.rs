//! Rate limits of workspaces over all hosts: which host owns a limit share, and what it grants.
//!
//! Invariant: no two hosts grant tokens of the same limit share at the same time.
//!
//! * A host that is removed from the list has stopped: it grants only while its lease in the store
//!   has certainly not expired, and the store removes it later than that.
//! * A host that joins waits until every other host knows it, or has stopped because its replica is
//!   too old.
//! * A host whose lease expired announces itself again. It grants nothing until the store has
//!   confirmed its replica after that, and then counts as a host that joined.
//! * A host that takes over a limit share starts one burst behind: see
//!   `dunlinrock_decide::admit::direct::TokenBucket`.

mod issuer;
mod owners;

pub(crate) use self::issuer::{GrantError, TokenIssuer, TokenRequest};
pub use self::owners::{JOIN_DELAY, LimitOwners, ListedHost, MAX_GRANT_AGE, SETTLE_DELAY};
