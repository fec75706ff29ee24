//! Serves callers through other hosts while this host's links to the targets are lost.

use std::{sync::Arc, time::Duration};

use super::{
    Front,
    access::Access,
    attempt::OutboundRequest,
    connection::BufferedResponse,
    forward::{ForwardResult, Forwarded, LeavingTarget},
    request::{MIN_BACKOFF, RetryState},
    response::{RequestEnd, forwarded, late, lost},
};
use crate::{model::HostEntry, replica::View, trace::Outcome};

/// Maximum number of hosts to which a request is forwarded, one after the other.
const MAX_FORWARDS: u32 = 3;

/// Fraction of the callers' idle timeout for which a connection to another host is reused.
const PEER_IDLE_FRACTION: f64 = 0.8;

impl Front {
    /// Follows a change of this host's links. Connections over lost links may hang; targets that
    /// were not reached meanwhile need no backoff once the links are restored.
    pub(super) fn sync_links(&self) {
        let is_lost = self.shared.links.is_lost();
        match (self.was_lost.replace(is_lost), is_lost) {
            (false, true) => self.targets.close_idle(),
            (true, false) => {
                for id in self.targets.forget_unreachable() {
                    self.ramp_recovered(&id, self.shared.now());
                }
                self.forwarder.clear();
            }
            _ => {}
        }
    }

    /// Forwards a request to a host that reaches targets; returns `None` if another attempt may
    /// follow.
    pub(super) async fn forward(
        &self,
        view: &View,
        access: &Access,
        outbound: &OutboundRequest,
        state: &mut RetryState,
    ) -> Option<RequestEnd> {
        let cause = "this host's links to the targets are lost";
        if outbound.forwarded.is_some() || state.forwards >= MAX_FORWARDS {
            return Some(state.give_to_others(cause));
        }
        let Some(host) = self.choose_helper(access) else {
            return Some(state.give_to_others(cause));
        };
        state.forwards += 1;
        state.tried.insert(Arc::clone(&host.name));
        self.log_forwarded(access, &host, outbound, state.delivered);
        let forwarded = Forwarded {
            region: Arc::clone(&self.shared.settings.region),
            delivered: state.delivered,
            in_budget: state.in_budget,
        };
        let idle_time = view
            .config
            .as_ref()
            .map_or(Duration::ZERO, |c| c.limits.idle);
        let sent = self.forwarder.send(
            &host,
            || {
                let mut request = self.with_time_left(outbound);
                forwarded.insert(request.headers_mut());
                request
            },
            idle_time.mul_f64(PEER_IDLE_FRACTION),
            self.shared.now(),
        );
        let cause = match tokio::time::timeout_at(outbound.deadline, sent).await {
            Err(_) => return Some(late()),
            Ok(ForwardResult::Answered(response)) => {
                return Some(self.after_forward(response, state));
            }
            Ok(ForwardResult::NotRun(cause)) => cause,
            Ok(ForwardResult::Lost(cause)) => {
                state.delivered += 1;
                state.may_have_run = true;
                cause
            }
        };
        self.shared.meters.count("forward_failed");
        self.log_failed_attempt(outbound, &cause, state.delivered);
        let ends = self.ends_after_failure(&access.route, outbound, state);
        ends.then(|| state.give_up(&cause, MIN_BACKOFF))
    }

    /// Returns the result of a request that another host has answered. Its refusal promises that the
    /// request has not run, but it may have run before.
    fn after_forward(&self, response: BufferedResponse, state: &RetryState) -> RequestEnd {
        if let Some(leaving) = LeavingTarget::read(&response.headers) {
            self.record_leaving(leaving.into_process());
        }
        let is_signed = response
            .headers
            .contains_key(&self.shared.dialect.signature);
        let end = forwarded(response, is_signed);
        let is_refused = matches!(end.outcome, Outcome::Refused | Outcome::Limited);
        match is_refused && state.may_have_run {
            true => lost(end.cause),
            false => end,
        }
    }

    /// Draws a host that reaches targets, in a region where the request may run.
    fn choose_helper(&self, access: &Access) -> Option<Arc<HostEntry>> {
        let live = self.shared.reloadable.load();
        let mut helpers = self.shared.links.helpers();
        helpers.retain(|helper| {
            let region = live.domains.get(&helper.host.domain);
            region.is_some_and(|region| access.allows(region))
        });
        self.forwarder.choose(helpers, self.shared.now())
    }

    /// Whether targets were tried in vain because this host's own links are lost.
    pub(super) async fn finds_loss(&self, state: &RetryState) -> bool {
        !state.tried.is_empty() && !self.shared.links.confirm().await
    }
}
