//! At-most-once execution of requests without persistent storage, as sans-I/O state machines.
//!
//! An idempotency key names the two participants that may run its request: an owner, which callers
//! try first, and a witness, which either grants the owner the right to run the request or runs it
//! itself. Each participant is an incarnation of a host. A host has one [`Ledger`], which is the
//! owner of some keys and the witness of others. A ledger takes inputs with the current time and
//! returns [`Action`]s, which the user of the crate performs.
//!
//! ```
//! use std::time::Duration;
//!
//! use dunlinrock_once::{Action, Key, Ledger, Limits, Outcome, PriorAttempts, Request};
//!
//! let now = Duration::ZERO;
//! let mut owner = Ledger::open(11, Limits::default(), now);
//! let mut witness = Ledger::open(22, Limits::default(), now);
//! let key = Key::bind(owner.participant(now), witness.participant(now), "nonce-1").unwrap();
//!
//! // On a caller's request, the owner asks the witness for the claim.
//! let attempts = PriorAttempts::NONE;
//! let request = Request { key: key.clone(), fingerprint: 7, attempts, attempt_id: 1 };
//! let mut actions = owner.handle_request(request, now);
//! let Action::SendMessage { to: 22, message } = actions.remove(0) else { panic!() };
//! let mut actions = witness.handle_message(11, message, now);
//! let Action::SendMessage { to: 11, message } = actions.remove(0) else { panic!() };
//!
//! // The witness grants the claim: the request may be sent to a target, once.
//! let actions = owner.handle_message(22, message, now);
//! assert_eq!(actions, [Action::Dispatch { key: key.clone(), attempt_id: 1 }]);
//!
//! // The answer goes to the caller, and to every retry with the same key.
//! let outcome = Outcome::Answered(b"seat 4".as_slice().into());
//! let actions = owner.handle_outcome(&key, outcome, now);
//! assert!(matches!(&actions[..], [Action::Answer { attempt_id: 1, .. }]));
//! ```

mod action;
mod attempts;
mod key;
mod ledger;
mod limits;
mod record;

pub use {
    action::{Action, Outcome, RefusalReason, Request, RunStatus},
    attempts::{AttemptsError, PriorAttempts},
    dunlinrock_schema::once::Message,
    key::{Key, KeyError, MAX_NONCE_BYTES, Participant},
    ledger::{Ledger, LedgerStats, estimate_epoch},
    limits::{Faults, Limits},
};
