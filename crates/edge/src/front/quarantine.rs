//! Quarantine of requests that crash the targets that run them: what this host observes at its
//! targets, and what other hosts announce in the store.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use dunlinrock_decide::admit::{
    Quarantine, QuarantineStatus, QuarantineTtls, QuarantineUpdate, RecentSuccesses,
};

use super::{Front, connection::ExchangeError, request_log::Kind, targets::TargetHandle};
use crate::{
    control::{CONFIRMED_TTL, QuarantineChange, confirmed},
    model::{Fingerprint, Revision},
    replica::View,
};

/// Times to live of records.
const TTLS: QuarantineTtls = QuarantineTtls {
    suspect: Duration::from_secs(60),
    confirmed: CONFIRMED_TTL,
};

/// Connections to a target that must go unanswered before it counts as gone: the first packet of
/// one may be lost.
const CHECKS: u32 = 2;

/// Requests in quarantine, as this host knows them.
#[derive(Debug)]
pub(super) struct KnownQuarantine(RefCell<State>);

#[derive(Debug)]
struct State {
    records: Quarantine,
    successes: RecentSuccesses,
    /// Revisions of the store's entries that `records` includes, by fingerprint.
    listed: BTreeMap<u64, Revision>,
    /// Last change of the view that they were read from.
    change: u64,
}

impl KnownQuarantine {
    pub(super) fn open() -> KnownQuarantine {
        KnownQuarantine(RefCell::new(State {
            records: Quarantine::open_with(TTLS),
            successes: RecentSuccesses::open(),
            listed: BTreeMap::new(),
            change: 0,
        }))
    }
}

impl Front {
    /// Takes over the entries of the store. An entry that vanished has expired, or was released.
    pub(super) fn sync_quarantine(&self, view: &View) {
        let mut state = self.quarantine.0.borrow_mut();
        if std::mem::replace(&mut state.change, view.change) == view.change {
            return;
        }
        let now = self.shared.now();
        let State {
            records,
            successes,
            listed,
            ..
        } = &mut *state;
        let is_listed = |fingerprint: &u64| view.quarantined.contains_key(fingerprint);
        // What this host has announced may be listed and gone again without a request in between.
        self.shared.announced().retain(|fingerprint, revision| {
            let is_read = *revision <= view.revision;
            let is_lost = revision.era < view.revision.era && !is_listed(fingerprint);
            if is_lost && records.status(*fingerprint, now) == Some(QuarantineStatus::Convict) {
                self.shared.announce_quarantine(confirmed(*fingerprint));
            } else if is_read {
                listed.insert(*fingerprint, *revision);
            }
            !is_read
        });
        let vanished = listed.keys().filter(|f| !is_listed(f));
        vanished.for_each(|f| records.forget(*f));
        listed.retain(|fingerprint, _| is_listed(fingerprint));
        for (fingerprint, (entry, revision)) in &view.quarantined {
            if listed.insert(*fingerprint, *revision) == Some(*revision) {
                continue;
            }
            if entry.is_confirmed && successes.contains(*fingerprint, now) {
                self.shared
                    .announce_quarantine(QuarantineChange::Release(*fingerprint));
                continue;
            }
            let (status, ttl) = match entry.is_confirmed {
                true => (QuarantineStatus::Convict, TTLS.confirmed),
                false => (QuarantineStatus::Suspect, TTLS.suspect),
            };
            let update = QuarantineUpdate {
                fingerprint: *fingerprint,
                status,
                ttl,
            };
            records.apply_update(update, now);
        }
    }

    /// Returns how much longer a request is refused, if it is.
    pub(super) fn quarantined_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let (state, now) = (self.quarantine.0.borrow(), self.shared.now());
        let status = state.records.status(fingerprint.0, now)?;
        (status == QuarantineStatus::Convict).then(|| state.records.remaining(fingerprint.0, now))
    }

    /// Records that a run of a request ended with a response, so that it does not crash targets.
    pub(super) fn record_success(&self, fingerprint: Fingerprint) {
        let now = self.shared.now();
        let mut state = self.quarantine.0.borrow_mut();
        state.successes.record(fingerprint.0, now);
        state.records.clear(fingerprint.0);
        if state.records.status(fingerprint.0, now).is_some() {
            self.shared
                .announce_quarantine(QuarantineChange::Release(fingerprint.0));
        }
    }

    /// Records that a target's process is gone; the requests that it left without a response may
    /// have crashed it.
    pub(super) fn record_gone(&self, handle: &TargetHandle) {
        let now = self.shared.now();
        let (mut runs, at) = handle.take_ended(now);
        let mut state = self.quarantine.0.borrow_mut();
        runs.retain(|run| !state.successes.contains(run.fingerprint, now));
        state.records.record_crash(&runs, at);
        let updates = state.records.take_updates();
        drop(state);
        for update in updates {
            self.log_quarantine(handle, &update, runs.len());
            self.shared
                .announce_quarantine(QuarantineChange::Announce(update));
        }
    }

    /// Records that a target's process is gone if this host's own links work; returns whether they
    /// do. Over lost links every target looks gone, and what ran there has crashed none.
    pub(super) async fn confirm_gone(&self, handle: &TargetHandle) -> bool {
        let is_linked = self.shared.links.confirm().await;
        match is_linked {
            true => self.record_gone(handle),
            false => drop(handle.take_ended(self.shared.now())),
        }
        is_linked
    }

    /// Checks whether a target that ended an exchange without a response still accepts connections.
    pub(super) async fn check_target(&self, handle: &Rc<TargetHandle>) {
        let Some(_checking) = handle.start_check() else {
            return handle.check_ended().await;
        };
        self.shared.meters.count("target_checks");
        handle.record_check(false);
        for _ in 0..CHECKS {
            match self.open_connection(handle).await {
                Ok(_) => return handle.confirm_alive(self.shared.now()),
                Err(ExchangeError::Refused(_)) => {
                    handle.record_check(true);
                    break;
                }
                Err(_) => {}
            }
        }
        self.confirm_gone(handle).await;
    }

    fn log_quarantine(&self, handle: &TargetHandle, update: &QuarantineUpdate, runs: usize) {
        let (fingerprint, to) = (Fingerprint(update.fingerprint), &*handle.target.id);
        if update.status == QuarantineStatus::Convict {
            self.shared.meters.count("quarantined");
            log::info!(
                target: "belief", event = "quarantined", fingerprint:% = fingerprint, to = to,
                runs = runs; "the request crashes its targets and is refused"
            );
            return;
        }
        self.shared.meters.count("suspects");
        if self.may_log(Kind::Failure) {
            log::info!(
                target: "belief", event = "suspected", fingerprint:% = fingerprint, to = to,
                runs = runs; "the request ran on a target that is gone"
            );
        }
    }
}
