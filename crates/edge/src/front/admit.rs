//! Admission of a request, by its caller's access, the quarantine and its workspace's rate limit.

use std::rc::Rc;

use http::{HeaderMap, Uri};

use super::{
    Front,
    access::{Access, AccessError},
    attempt::OutboundRequest,
    request::{MAX_BACKOFF, MIN_BACKOFF, OTHER_HOST_RETRY_AFTER, RetryState},
    response::{RequestEnd, decline, limited, no_route, unauthorized},
    tokens::{NoToken, Token},
};
use crate::{model::Workspace, replica::View};

impl Front {
    /// Returns the response to a request that is denied access. The request has not run.
    pub(super) fn access_denied(
        &self,
        cause: &AccessError,
        headers: &HeaderMap,
        uri: &Uri,
    ) -> RequestEnd {
        match cause {
            // All hosts may have started together.
            AccessError::NoConfig => {
                let left = self.caller_time(headers).unwrap_or(MAX_BACKOFF);
                decline(&cause.to_string(), self.unconfigured_return(left))
            }
            AccessError::StaleKeys { .. } => decline(&cause.to_string(), OTHER_HOST_RETRY_AFTER),
            AccessError::NoRoute => no_route(uri),
            AccessError::MissingKey
            | AccessError::MalformedKey
            | AccessError::UnknownKey { .. } => unauthorized(cause, self.shared.dialect.challenge),
        }
    }

    /// Makes one attempt, unless the request is in quarantine, and if the workspace's rate limit
    /// admits it. A request that may have run was admitted before, and one that is forwarded is
    /// admitted by the other host.
    pub(super) async fn attempt_if_admitted(
        self: &Rc<Front>,
        view: &View,
        access: &Access,
        outbound: &OutboundRequest,
        state: &mut RetryState,
    ) -> Option<RequestEnd> {
        self.sync_quarantine(view);
        if let Some(remaining) = self.quarantined_for(outbound.fingerprint) {
            self.shared.meters.count("quarantine_refused");
            let cause = format!(
                "{} is in quarantine: it crashes targets",
                outbound.fingerprint
            );
            return Some(state.give_up(&cause, remaining));
        }
        if self.shared.links.is_lost() {
            state.token = None;
            return self.forward(view, access, outbound, state).await;
        }
        let workspace = access.workspace.as_ref().filter(|w| w.is_limited());
        if let Some(workspace) = workspace.filter(|_| !state.may_have_run) {
            let held = state.token.take();
            match self.admit(view, workspace, (access, outbound), held).await {
                Ok(token) => state.token = Some(token),
                Err(end) => return Some(end),
            }
        }
        self.step(view, access, outbound, state).await
    }

    /// Whether callers with keys are refused because the known keys are stale; another host may
    /// serve them.
    pub(super) fn keys_are_stale(&self) -> bool {
        let view = self.shared.view.load();
        let config = view.config.as_ref();
        let requires_key = config.is_some_and(|c| !c.workspaces.is_empty());
        requires_key && !self.shared.keys_are_fresh()
    }

    /// Returns a token for a request of a workspace with a rate limit: `held` if it is still valid,
    /// else a new one.
    pub(super) async fn admit(
        self: &Rc<Front>,
        view: &View,
        workspace: &Workspace,
        (access, outbound): (&Access, &OutboundRequest),
        held: Option<Token>,
    ) -> Result<Token, RequestEnd> {
        if let Some(token) = held.filter(Token::is_valid) {
            return Ok(token);
        }
        let acquired = self.acquire_token(view, workspace).await;
        acquired.map_err(|e| {
            let earliest = match e {
                NoToken::Exhausted(time) => time.clamp(MIN_BACKOFF, MAX_BACKOFF),
                NoToken::NoOwner => MIN_BACKOFF,
            };
            let retry = self.return_without_token(outbound, access.priority(), earliest);
            match e {
                NoToken::Exhausted(_) => limited(&workspace.name, retry),
                NoToken::NoOwner => {
                    let cause = format!("nobody counts the limit of {}", workspace.name);
                    decline(&cause, retry)
                }
            }
        })
    }
}
