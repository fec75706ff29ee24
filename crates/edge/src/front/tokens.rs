//! Tokens for requests of workspaces with a rate limit.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use dunlinrock_decide::admit::direct::{RateLimitConfig, TokenCache, TokenGrant};
use dunlinrock_node::clock::{millis, since_boot};
use tokio::sync::oneshot;

use super::{Front, request_log::Kind};
use crate::{
    control::ask_tokens,
    limits::TokenRequest,
    model::{HostEntry, Workspace},
    replica::View,
};

/// Timeout for a host of this region: a round trip of a few milliseconds, and the wait for its
/// share of a processor.
const REGION_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout for a host of another region.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(250);

/// Backoff after a host that did not answer.
const PEER_BACKOFF: Duration = Duration::from_millis(400);

/// Backoff after a host that answered that it grants nothing: it has just started, or the hosts'
/// lists differ for a moment.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// Minimum and maximum time for which no tokens of an exhausted limit share are requested: other
/// hosts ask for its next token as well.
const MIN_EXHAUSTED_TIME: Duration = Duration::from_millis(150);
const MAX_EXHAUSTED_TIME: Duration = Duration::from_secs(1);

/// How long after a limit share was exhausted tokens are requested one by one.
const SCARCE_TIME: Duration = Duration::from_secs(1);

/// Why there is no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoToken {
    /// The limit is exhausted; the time until there may be a token.
    Exhausted(Duration),
    /// No owner of a limit share was reached.
    NoOwner,
}

/// Tokens of this host, and its requests to other hosts for more.
#[derive(Debug, Default)]
pub(super) struct Tokens {
    workspaces: BTreeMap<Arc<str>, WorkspaceTokens>,
    owners: BTreeMap<SocketAddr, TokenOwner>,
}

/// This host's state of its token requests to one owner of limit shares. One call is in flight at a
/// time and carries all tokens wanted by then, so a slow host is asked less often instead of more.
#[derive(Debug, Default)]
struct TokenOwner {
    in_flight: bool,
    /// Until when the host is not asked, after a failure.
    backoff_until: Duration,
    pending: TokenRequest,
    waiters: Vec<oneshot::Sender<()>>,
    /// The last grants by workspace, kept until the waiting requests have read them.
    grants: Rc<BTreeMap<Arc<str>, TokenGrant>>,
}

/// Tokens of one workspace.
#[derive(Debug, Default)]
struct WorkspaceTokens {
    cache: TokenCache,
    /// Until when the owners' limit shares are exhausted.
    exhausted: BTreeMap<SocketAddr, Duration>,
}

impl WorkspaceTokens {
    /// Whether a limit share was exhausted lately.
    fn is_scarce(&self, now: Duration) -> bool {
        self.exhausted
            .values()
            .any(|exhausted_until| now < *exhausted_until + SCARCE_TIME)
    }
}

/// A token for one request. It is returned when dropped, unless it is consumed.
#[derive(Debug)]
pub(super) struct Token {
    front: Rc<Front>,
    workspace: Arc<str>,
    /// When it expires, as time since the machine's start.
    expires_at: Duration,
    /// Whether the token is consumed, since its request may run.
    spent: Cell<bool>,
}

impl Token {
    /// Whether it has not expired.
    pub(super) fn is_valid(&self) -> bool {
        since_boot() < self.expires_at
    }

    /// Records that the request may run, or that it certainly has not.
    pub(super) fn set_spent(&self, is_spent: bool) {
        self.spent.set(is_spent);
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if !self.spent.get() {
            let mut tokens = self.front.tokens.borrow_mut();
            if let Some(cached) = tokens.workspaces.get_mut(&self.workspace) {
                cached.cache.return_token(self.expires_at);
            }
        }
    }
}

impl Front {
    /// Takes a token for a request, and asks the owners of the limit shares if none is cached.
    pub(super) async fn acquire_token(
        self: &Rc<Front>,
        view: &View,
        workspace: &Workspace,
    ) -> Result<Token, NoToken> {
        let rules = self.shared.reloadable.load().limit;
        let name = &workspace.name;
        self.with_workspace(name, |cached| cached.cache.record_demand(since_boot()));
        if let Some(token) = self.cached_token(name) {
            return Ok(token);
        }
        let mut retry_after: Option<Duration> = None;
        for share in self.share_order(view) {
            let Some(grant) = self.ask_owner(view, name, share, &rules).await else {
                continue;
            };
            if let Some(token) = self.cached_token(name) {
                return Ok(token);
            }
            // None, or fewer than there are waiting requests.
            let time = grant.retry_after.max(MIN_EXHAUSTED_TIME);
            retry_after = Some(retry_after.map_or(time, |retry_after| retry_after.min(time)));
        }
        Err(retry_after.map_or(NoToken::NoOwner, NoToken::Exhausted))
    }

    /// Returns the limit shares in the order in which they are asked: this host's own first, then
    /// the others in an order specific to this host, so that not all hosts exhaust the same one.
    fn share_order<'a>(&self, view: &'a View) -> Vec<&'a Arc<str>> {
        let own = [&self.shared.settings.region, &self.shared.settings.domain];
        let mut all: Vec<_> = view.limit_owners.shares().collect();
        let turn = (self.name_hash % all.len().max(1) as u64) as usize;
        all.rotate_left(turn);
        all.sort_by_key(|share| !own.contains(share));
        all
    }

    /// Asks the owner of a limit share; returns `None` without an answer.
    async fn ask_owner(
        self: &Rc<Front>,
        view: &View,
        name: &Arc<str>,
        share: &Arc<str>,
        rules: &RateLimitConfig,
    ) -> Option<TokenGrant> {
        let now = since_boot();
        let host = view.limit_owners.owner(share, name, now)?;
        let exhausted_until =
            self.with_workspace(name, |cached| cached.exhausted.get(&host.peers).copied());
        if let Some(exhausted_until) =
            exhausted_until.filter(|exhausted_until| now < *exhausted_until)
        {
            return Some(TokenGrant {
                count: 0,
                retry_after: exhausted_until - now,
            });
        }
        let want = self.with_workspace(name, |cached| {
            cached.cache.refill_size(rules, cached.is_scarce(now), now)
        });
        self.request_grant(host, name, want).await
    }

    /// Returns a host's grant for a workspace; `None` if it does not answer or is not the owner.
    async fn request_grant(
        self: &Rc<Front>,
        host: &Arc<HostEntry>,
        name: &Arc<str>,
        want: u32,
    ) -> Option<TokenGrant> {
        let (notify, notified) = oneshot::channel();
        let is_idle = {
            let mut tokens = self.tokens.borrow_mut();
            let owner = tokens.owners.entry(host.peers).or_default();
            if since_boot() < owner.backoff_until {
                return None;
            }
            let pending = owner.pending.wants.entry(Arc::clone(name)).or_default();
            *pending = (*pending + 1).max(want);
            owner.waiters.push(notify);
            !std::mem::replace(&mut owner.in_flight, true)
        };
        if is_idle {
            let (front, host) = (Rc::clone(self), Arc::clone(host));
            tokio::task::spawn_local(async move { front.run_requests(&host).await });
        }
        notified.await.ok()?;
        let tokens = self.tokens.borrow();
        tokens.owners.get(&host.peers)?.grants.get(name).copied()
    }

    /// Sends requests to a host until no more tokens are wanted from it.
    async fn run_requests(&self, host: &HostEntry) {
        loop {
            let (request, waiters) = {
                let mut tokens = self.tokens.borrow_mut();
                let owner = tokens.owners.entry(host.peers).or_default();
                if owner.pending.wants.is_empty() {
                    owner.in_flight = false;
                    return;
                }
                (
                    std::mem::take(&mut owner.pending),
                    std::mem::take(&mut owner.waiters),
                )
            };
            let sent = since_boot();
            let grants = self.call_owner(host, &request).await;
            self.record_grants(host, grants, sent);
            for waiter in waiters {
                // A request whose caller disconnected no longer waits.
                let _ = waiter.send(());
            }
        }
    }

    async fn call_owner(
        &self,
        host: &HostEntry,
        request: &TokenRequest,
    ) -> Result<BTreeMap<Arc<str>, TokenGrant>, Duration> {
        if host.name == self.shared.settings.name {
            return self
                .shared
                .grant_tokens(request)
                .map_err(|_| REFUSAL_BACKOFF);
        }
        let now = since_boot();
        let live = self.shared.reloadable.load();
        let is_near = live.domains.get(&host.domain) == Some(&self.shared.settings.region);
        let time = if is_near {
            REGION_TIMEOUT
        } else {
            REMOTE_TIMEOUT
        };
        self.shared.meters.count("tokens_asked");
        let answer = ask_tokens(&self.client, host.peers, request, time).await;
        answer.map_err(|e| {
            self.shared.meters.count("tokens_failed");
            if self.may_log(Kind::Failure) {
                log::info!(
                    target: "limits", event = "uncounted", workspaces = request.wants.len(), host = &*host.name,
                    error:% = e, took_ms = millis(since_boot().saturating_sub(now)); "asking the owner of another share"
                );
            }
            if e.is_refusal() { REFUSAL_BACKOFF } else { PEER_BACKOFF }
        })
    }

    /// Records a host's grants, or the backoff after a failure.
    fn record_grants(
        &self,
        host: &HostEntry,
        grants: Result<BTreeMap<Arc<str>, TokenGrant>, Duration>,
        sent: Duration,
    ) {
        let rules = self.shared.reloadable.load().limit;
        let mut tokens = self.tokens.borrow_mut();
        let Tokens { workspaces, owners } = &mut *tokens;
        let owner = owners.entry(host.peers).or_default();
        let grants = grants.unwrap_or_else(|time| {
            owner.backoff_until = since_boot() + time;
            BTreeMap::new()
        });
        for (name, grant) in &grants {
            let cached = workspaces.entry(Arc::clone(name)).or_default();
            cached.cache.add(grant.count, sent, &rules);
            if grant.count == 0 {
                let exhausted_time = grant
                    .retry_after
                    .clamp(MIN_EXHAUSTED_TIME, MAX_EXHAUSTED_TIME);
                cached
                    .exhausted
                    .insert(host.peers, since_boot() + exhausted_time);
            }
        }
        owner.grants = Rc::new(grants);
    }

    fn cached_token(self: &Rc<Front>, name: &Arc<str>) -> Option<Token> {
        let expires_at = self.with_workspace(name, |cached| cached.cache.take(since_boot()))?;
        Some(Token {
            front: Rc::clone(self),
            workspace: Arc::clone(name),
            expires_at,
            spent: Cell::new(false),
        })
    }

    fn with_workspace<T>(
        &self,
        name: &Arc<str>,
        change: impl FnOnce(&mut WorkspaceTokens) -> T,
    ) -> T {
        let mut tokens = self.tokens.borrow_mut();
        change(tokens.workspaces.entry(Arc::clone(name)).or_default())
    }

    /// Removes workspaces and hosts that no longer exist.
    pub(super) fn prune_tokens(&self, view: &View) {
        let Some(config) = &view.config else {
            return;
        };
        if self.pruned_version.replace(config.version) == config.version {
            return;
        }
        let mut tokens = self.tokens.borrow_mut();
        let Tokens { workspaces, owners } = &mut *tokens;
        workspaces.retain(|name, _| config.workspace(name).is_some());
        let hosts: BTreeSet<_> = view.hosts.values().map(|host| host.peers).collect();
        owners.retain(|host, owner| owner.in_flight || hosts.contains(host));
    }
}
