//! At-most-once execution without storage, as state machines without I/O.
//!
//! A key names the two incarnations that may run its request: an owner, which callers turn to
//! first, and a witness, which grants the owner the right to run it or runs it itself. Each host
//! holds one [`Ledger`], which plays the owner for some keys and the witness for others. Inputs and
//! a time come in, [`Action`]s come out; the user of the crate performs them.
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
//! // A caller's request makes the owner ask the witness for the claim.
//! let attempts = PriorAttempts::NONE;
//! let request = Request { key: key.clone(), fingerprint: 7, attempts, attempt_id: 1 };
//! let mut actions = owner.handle_request(request, now);
//! let Action::SendMessage { to: 22, message } = actions.remove(0) else { panic!() };
//! let mut actions = witness.handle_message(11, message, now);
//! let Action::SendMessage { to: 11, message } = actions.remove(0) else { panic!() };
//!
//! // The witness grants it: the request may go to a target, once.
//! let actions = owner.handle_message(22, message, now);
//! assert_eq!(actions, [Action::Dispatch { key: key.clone(), attempt_id: 1 }]);
//!
//! // Its answer goes to the caller, and to every retry with the same key.
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
