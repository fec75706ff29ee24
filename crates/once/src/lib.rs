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
//! use dunlinrock_once::{Action, PriorAttempts, Key, Ledger, Limits, Outcome, Request};
//!
//! let now = Duration::ZERO;
//! let mut owner = Ledger::open(11, Limits::default(), now);
//! let mut witness = Ledger::open(22, Limits::default(), now);
//! let key = Key::bind(owner.seat(now), witness.seat(now), "nonce-1").unwrap();
//!
//! // A caller's request makes the owner ask the witness for the claim.
//! let request = Request { key: key.clone(), caller: 7, attempts: PriorAttempts::NONE, ticket: 1 };
//! let Action::SendMessage { to: 22, message } = owner.request(request, now).remove(0) else { panic!() };
//! let Action::SendMessage { to: 11, message } = witness.hear(11, message, now).remove(0) else { panic!() };
//!
//! // The witness grants it: the request may go to a target, once.
//! let actions = owner.hear(22, message, now);
//! assert_eq!(actions, [Action::Dispatch { key: key.clone(), ticket: 1 }]);
//!
//! // Its answer goes to the caller, and to every retry with the same key.
//! let actions = owner.finished(&key, Outcome::Answered(b"seat 4".as_slice().into()), now);
//! assert!(matches!(&actions[..], [Action::Answer { ticket: 1, .. }]));
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
    key::{Key, KeyError, NONCE_MAX, Participant},
    ledger::{Ledger, LedgerStats, estimate_epoch},
    limits::{Faults, Limits},
};
