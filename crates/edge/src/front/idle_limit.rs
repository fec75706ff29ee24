//! Limits how long kept connections to targets may rest, by what happens on them.

use std::{rc::Rc, time::Duration};

use dunlinrock_decide::admit::direct::IdleLimitChange;

use super::{Front, connection::TargetConnection, targets::TargetHandle};

impl Front {
    /// Takes a kept connection that may carry a request, and closes those that have rested too long
    /// for it.
    pub(super) fn take_kept(
        &self,
        handle: &TargetHandle,
        is_repeatable: bool,
    ) -> Option<TargetConnection> {
        let (service, target) = (&handle.target.service, handle.id_hash);
        let now = self.shared.now();
        handle.take_idle(|rest| {
            let mut limits = self.idle_limits.borrow_mut();
            let is_allowed = limits.allows(service, target, rest, is_repeatable, now);
            if !is_allowed {
                self.shared.meters.count("idle_limited");
            }
            is_allowed
        })
    }

    /// Records the response to a request that was sent at `sent`, on a connection that had rested for
    /// `rest`.
    pub(super) fn record_rest(&self, handle: &TargetHandle, rest: Duration, sent: Duration) {
        let (service, now) = (&handle.target.service, self.shared.now());
        let mut limits = self.idle_limits.borrow_mut();
        let change = limits.record_answer(service, handle.id_hash, rest, sent, now);
        drop(limits);
        self.log_idle_limit(service, change);
    }

    /// Records that a connection broke before any byte of a response, unless the target's process
    /// has ended: that breaks all its connections.
    pub(super) async fn examine_break(self: &Rc<Front>, handle: &Rc<TargetHandle>, rest: Duration) {
        self.check_target(handle).await;
        if handle.is_refused() {
            return;
        }
        if !rest.is_zero() {
            self.shared.meters.count("idle_breaks");
        }
        let (service, now) = (&handle.target.service, self.shared.now());
        let mut limits = self.idle_limits.borrow_mut();
        let change = limits.record_break(service, handle.id_hash, rest, now);
        drop(limits);
        self.log_idle_limit(service, change);
    }

    fn log_idle_limit(&self, service: &str, change: Option<IdleLimitChange>) {
        let Some(IdleLimitChange { from, to }) = change else {
            return;
        };
        let ms = |limit: Option<Duration>| limit.map(|limit| limit.as_millis() as u64);
        log::info!(
            target: "belief", event = "idle_limit", service = service, from_ms:? = ms(from),
            to_ms:? = ms(to); "targets forget connections that rest longer, or no longer do"
        );
    }
}
