//! Admission of a request, by its caller's access and its workspace's rate limit.

use std::rc::Rc;

use http::Uri;

use super::{
    Front,
    access::AccessError,
    request::{MAX_BACKOFF, MIN_BACKOFF, OTHER_HOST_RETRY_AFTER},
    response::{RequestEnd, limited, no_route, refuse, unauthorized},
    tokens::{NoToken, Token},
};
use crate::{model::Workspace, replica::View};

impl Front {
    /// Returns the response to a request that is denied access. The request has not run.
    pub(super) fn access_denied(&self, cause: &AccessError, uri: &Uri) -> RequestEnd {
        match cause {
            AccessError::NoConfig | AccessError::StaleKeys { .. } => {
                refuse(&cause.to_string(), OTHER_HOST_RETRY_AFTER)
            }
            AccessError::NoRoute => no_route(uri),
            AccessError::MissingKey
            | AccessError::MalformedKey
            | AccessError::UnknownKey { .. } => unauthorized(cause, self.shared.dialect.challenge),
        }
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
                    refuse(&cause, MIN_BACKOFF)
                }
            })
    }
}
