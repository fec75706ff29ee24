//! One entry host that sends straight to targets.
//!
//! Where a platform has a store that announces targets and hosts, no host owns a target's slots:
//! each chooses by itself, and the choices agree because all hash alike. A [`Host`](host::Host)
//! follows the store ([`control`]), keeps what it believes ([`world`]), and serves callers
//! ([`front`], [`lookup`]). An adapter gives it the platform's [`Feed`](model::Feed) and
//! [`Dialect`](model::Dialect).

pub mod control;
pub mod front;
pub mod host;
pub mod lookup;
pub mod meters;
pub mod model;
pub mod settings;
pub mod trace;
pub mod world;
