//! Whether a request may run: by its caller's rights, and by its workspace's limit.

use std::rc::Rc;

use http::Uri;

use super::{
    Front,
    access::NoRights,
    request::{LEAST_RETRY, MOST_RETRY, OTHER_HOST},
    response::{End, limited, no_route, refuse, unauthorized},
    tokens::{NoToken, Token},
};
use crate::{model::Workspace, replica::View};

impl Front {
    /// The answer to a request without rights: it has not run.
    pub(super) fn turn_away(&self, cause: &NoRights, uri: &Uri) -> End {
        match cause {
            NoRights::Unconfigured | NoRights::Outdated { .. } => {
                refuse(&cause.to_string(), OTHER_HOST)
            }
            NoRights::Routeless => no_route(uri),
            NoRights::Keyless | NoRights::Unreadable | NoRights::Unknown { .. } => {
                unauthorized(cause, self.shared.dialect.challenge)
            }
        }
    }

    /// Whether callers with keys are refused, as what is known of keys is too old: they are better off
    /// at another host.
    pub(super) fn is_outdated(&self) -> bool {
        let view = self.shared.view.load();
        let config = view.config.as_ref();
        let guarded = config.is_some_and(|c| !c.workspaces.is_empty());
        guarded && !self.shared.keys_are_fresh()
    }

    /// Gets a token for a request of a workspace with a limit, unless the one that it holds is still good.
    pub(super) async fn admit(
        self: &Rc<Front>,
        view: &View,
        workspace: &Workspace,
        held: Option<Token>,
    ) -> Result<Token, End> {
        if let Some(token) = held.filter(Token::is_alive) {
            return Ok(token);
        }
        self.token(view, workspace).await.map_err(|e| match e {
            NoToken::Spent(due) => limited(&workspace.name, due.clamp(LEAST_RETRY, MOST_RETRY)),
            NoToken::Uncounted => {
                let cause = format!("nobody counts the limit of {}", workspace.name);
                refuse(&cause, LEAST_RETRY)
            }
        })
    }
}
