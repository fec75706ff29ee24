//! Tokens for requests of workspaces whose number is bounded.

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

/// Time in which a host of this region answers: a round trip of a few milliseconds, and its share of a
/// processor.
const REGION_TIMEOUT: Duration = Duration::from_millis(120);

/// The same for one of another region.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a host that gave no answer is not asked.
const PEER_BACKOFF: Duration = Duration::from_millis(400);

/// The same for one that answered that it gives out nothing: it has only just started, or hosts do not
/// know the same list for a moment.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// How long a slice that is used up is not asked, at least and at most: others ask for its next token
/// as well.
const MIN_EXHAUSTED_TIME: Duration = Duration::from_millis(150);
const MAX_EXHAUSTED_TIME: Duration = Duration::from_secs(1);

/// How long after a slice was used up tokens are asked for one by one.
const SCARCE_TIME: Duration = Duration::from_secs(1);

/// Why there is no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoToken {
    /// The limit is used up; the time until there may be a token.
    Exhausted(Duration),
    /// No host that counts was reached.
    NoOwner,
}

/// Tokens of this host, and what it asks others for.
#[derive(Debug, Default)]
pub(super) struct Tokens {
    workspaces: BTreeMap<Arc<str>, WorkspaceTokens>,
    owners: BTreeMap<SocketAddr, TokenOwner>,
}

/// A host that counts, as this host asks it. One call is under way at a time and takes along all that is
/// wanted by then: a host that is slow is asked less often instead of more.
#[derive(Debug, Default)]
struct TokenOwner {
    in_flight: bool,
    /// Until when it is not asked, as it gave no answer.
    backoff_until: Duration,
    pending: TokenRequest,
    waiters: Vec<oneshot::Sender<()>>,
    /// What it last gave of each workspace, until those that waited have seen it.
    grant: Rc<BTreeMap<Arc<str>, TokenGrant>>,
}

/// Tokens of one workspace.
#[derive(Debug, Default)]
struct WorkspaceTokens {
    cache: TokenCache,
    /// Until when the slices of hosts that count are used up.
    exhausted: BTreeMap<SocketAddr, Duration>,
}

impl WorkspaceTokens {
    /// Whether a slice was used up lately.
    fn is_scarce(&self, now: Duration) -> bool {
        self.exhausted
            .values()
            .any(|exhausted_until| now < *exhausted_until + SCARCE_TIME)
    }
}

/// A token for one request. It goes back when dropped, unless it is spent.
#[derive(Debug)]
pub(super) struct Token {
    front: Rc<Front>,
    workspace: Arc<str>,
    /// When it ends, as time since the machine's start.
    expires_at: Duration,
    /// Whether its request may run.
    spent: Cell<bool>,
}

impl Token {
    /// Whether it may still be used.
    pub(super) fn is_valid(&self) -> bool {
        since_boot() < self.expires_at
    }

    /// Notes whether its request may run, or certainly has not.
    pub(super) fn set_spent(&self, is_spent: bool) {
        self.spent.set(is_spent);
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if !self.spent.get() {
            let mut tokens = self.front.tokens.borrow_mut();
            if let Some(held) = tokens.workspaces.get_mut(&self.workspace) {
                held.cache.return_token(self.expires_at);
            }
        }
    }
}

impl Front {
    /// Takes a token for a request, asking the hosts that count where none is held.
    pub(super) async fn acquire_token(
        self: &Rc<Front>,
        view: &View,
        workspace: &Workspace,
    ) -> Result<Token, NoToken> {
        let rules = self.shared.reloadable.load().limit;
        let name = &workspace.name;
        self.with_workspace(name, |held| held.cache.record_demand(since_boot()));
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
            // None, or fewer than there are requests that wait for one.
            let time = grant.retry_after.max(MIN_EXHAUSTED_TIME);
            retry_after = Some(retry_after.map_or(time, |retry_after| retry_after.min(time)));
        }
        Err(retry_after.map_or(NoToken::NoOwner, NoToken::Exhausted))
    }

    /// The slices in the order in which they are asked: this host's own first, then the others in an
    /// order of its own, so that not all hosts use up the same one.
    fn share_order<'a>(&self, view: &'a View) -> Vec<&'a Arc<str>> {
        let own = [&self.shared.settings.region, &self.shared.settings.domain];
        let mut all: Vec<_> = view.limit_owners.shares().collect();
        let turn = (self.name_hash % all.len().max(1) as u64) as usize;
        all.rotate_left(turn);
        all.sort_by_key(|share| !own.contains(share));
        all
    }

    /// Asks who counts a slice; `None` where nobody answers.
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
            self.with_workspace(name, |held| held.exhausted.get(&host.peers).copied());
        if let Some(exhausted_until) =
            exhausted_until.filter(|exhausted_until| now < *exhausted_until)
        {
            return Some(TokenGrant {
                count: 0,
                retry_after: exhausted_until - now,
            });
        }
        let want = self.with_workspace(name, |held| {
            held.cache.refill_size(rules, held.is_scarce(now), now)
        });
        self.grant(host, name, want).await
    }

    /// What a host gives of a workspace; `None` where it gives no answer, or does not count.
    async fn grant(
        self: &Rc<Front>,
        host: &Arc<HostEntry>,
        name: &Arc<str>,
        want: u32,
    ) -> Option<TokenGrant> {
        let (tell, told) = oneshot::channel();
        let is_idle = {
            let mut tokens = self.tokens.borrow_mut();
            let owner = tokens.owners.entry(host.peers).or_default();
            if since_boot() < owner.backoff_until {
                return None;
            }
            let pending = owner.pending.wants.entry(Arc::clone(name)).or_default();
            *pending = (*pending + 1).max(want);
            owner.waiters.push(tell);
            !std::mem::replace(&mut owner.in_flight, true)
        };
        if is_idle {
            let (front, host) = (Rc::clone(self), Arc::clone(host));
            tokio::task::spawn_local(async move { front.run_requests(&host).await });
        }
        told.await.ok()?;
        let tokens = self.tokens.borrow();
        tokens.owners.get(&host.peers)?.grant.get(name).copied()
    }

    /// Asks a host until nothing more is wanted of it.
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
            let grant = self.call_owner(host, &request).await;
            self.record_grants(host, grant, sent);
            for tell in waiters {
                // A request whose caller has left waits no more.
                let _ = tell.send(());
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
                    error:% = e, took_ms = millis(since_boot().saturating_sub(now)); "another slice is asked"
                );
            }
            if e.is_refusal() { REFUSAL_BACKOFF } else { PEER_BACKOFF }
        })
    }

    /// Takes in what a host gave, or for how long it is not asked.
    fn record_grants(
        &self,
        host: &HostEntry,
        grant: Result<BTreeMap<Arc<str>, TokenGrant>, Duration>,
        sent: Duration,
    ) {
        let rules = self.shared.reloadable.load().limit;
        let mut tokens = self.tokens.borrow_mut();
        let Tokens { workspaces, owners } = &mut *tokens;
        let owner = owners.entry(host.peers).or_default();
        let grant = grant.unwrap_or_else(|time| {
            owner.backoff_until = since_boot() + time;
            BTreeMap::new()
        });
        for (name, grant) in &grant {
            let held = workspaces.entry(Arc::clone(name)).or_default();
            held.cache.add(grant.count, sent, &rules);
            if grant.count == 0 {
                let pause = grant
                    .retry_after
                    .clamp(MIN_EXHAUSTED_TIME, MAX_EXHAUSTED_TIME);
                held.exhausted.insert(host.peers, since_boot() + pause);
            }
        }
        owner.grant = Rc::new(grant);
    }

    fn cached_token(self: &Rc<Front>, name: &Arc<str>) -> Option<Token> {
        let expires_at = self.with_workspace(name, |held| held.cache.take(since_boot()))?;
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

    /// Forgets workspaces and hosts that are gone.
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
