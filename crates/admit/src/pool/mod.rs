//! The pool: one service's targets in one failure domain.

mod offer;
mod rules;
mod state;

use std::time::Duration;

pub use self::{
    offer::{Action, Cancelled, Ending, Offer, Outcome, Refusal, Report, Verdict},
    rules::{PoolRules, TargetSpec},
    state::{Load, PoolState, TargetState},
};
use crate::Word;

/// The targets of one service in one failure domain, with the requests that wait and run.
#[derive(Debug)]
pub struct Pool {}

impl Pool {
    /// Opens a pool. Its targets are warm unless their spec says that they are cold.
    pub fn open(_rules: PoolRules, _targets: &[TargetSpec], _now: Duration) -> Self {
        todo!()
    }

    /// Takes new rules and targets. Requests that run or wait stay; a target that is no longer
    /// listed finishes its runs and gets nothing new; a target that is new starts cold.
    pub fn reconfigure(&mut self, _rules: PoolRules, _targets: &[TargetSpec], _now: Duration) {
        todo!()
    }

    /// Decides at once what becomes of a request. Follow it with [`Pool::poll`].
    pub fn offer(&mut self, _offer: Offer, _now: Duration) -> Verdict {
        todo!()
    }

    /// The caller is gone or has given up.
    pub fn cancel(&mut self, _ticket: u64, _now: Duration) -> Cancelled {
        todo!()
    }

    /// A run at a target has ended, which frees its slot. Follow it with [`Pool::poll`].
    pub fn finish(
        &mut self,
        _ticket: u64,
        _target: &str,
        _outcome: Outcome,
        _now: Duration,
    ) -> Ending {
        todo!()
    }

    /// Takes a target's report about itself.
    pub fn report(&mut self, _target: &str, _report: Report, _now: Duration) {
        todo!()
    }

    /// Takes a peer's word about a request that kills its targets.
    pub fn hear(&mut self, _word: Word, _now: Duration) {
        todo!()
    }

    /// Words for the peers since the last call.
    pub fn words(&mut self) -> Vec<Word> {
        todo!()
    }

    /// All that is due: starts, refusals, hedges, aborts.
    pub fn poll(&mut self, _now: Duration) -> Vec<Action> {
        todo!()
    }

    /// When `poll` has to be called next if nothing else happens before.
    pub fn next_wake(&self) -> Option<Duration> {
        todo!()
    }

    /// Summary for the hosts that hand requests over.
    pub fn load(&self, _now: Duration) -> Load {
        todo!()
    }

    /// Snapshot for a dump.
    pub fn state(&self, _now: Duration) -> PoolState {
        todo!()
    }
}
