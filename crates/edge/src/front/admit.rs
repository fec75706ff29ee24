//! Admission of a request, by its caller's access, the quarantine and its workspace's rate limit.

use std::rc::Rc;

use http::Uri;

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
    pub(super) fn access_denied(&self, cause: &AccessError, uri: &Uri) -> RequestEnd {
        match cause {
            AccessError::NoConfig | AccessError::StaleKeys { .. } => {
                decline(&cause.to_string(), OTHER_HOST_RETRY_AFTER)
            }
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
            match self.admit(view, workspace, state.token.take()).await {
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
        held: Option<Token>,
    ) -> Result<Token, RequestEnd> {
        if let Some(token) = held.filter(Token::is_valid) {
            return Ok(token);
        }
        self.acquire_token(view, workspace)
            .await
            .map_err(|e| match e {
                NoToken::Exhausted(retry_after) => {
                    limited(&workspace.name, retry_after.clamp(MIN_BACKOFF, MAX_BACKOFF))
                }
                NoToken::NoOwner => {
                    let cause = format!("nobody counts the limit of {}", workspace.name);
                    decline(&cause, MIN_BACKOFF)
                }
            })
    }
}
