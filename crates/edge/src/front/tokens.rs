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
    limits::Asked,
    model::{HostEntry, Workspace},
    replica::View,
};

/// Time in which a host of this region answers: a round trip of a few milliseconds, and its share of a
/// processor.
const NEAR_TIME: Duration = Duration::from_millis(120);

/// The same for one of another region.
const FAR_TIME: Duration = Duration::from_millis(250);

/// How long a host that gave no answer is not asked.
const SILENT_TIME: Duration = Duration::from_millis(400);

/// The same for one that answered that it gives out nothing: it has only just started, or hosts do not
/// know the same list for a moment.
const IDLE_TIME: Duration = Duration::from_millis(100);

/// How long a slice that is used up is not asked, at least and at most: others ask for its next token
/// as well.
const LEAST_PAUSE: Duration = Duration::from_millis(150);
const MOST_PAUSE: Duration = Duration::from_secs(1);

/// How long after a slice was used up tokens are asked for one by one.
const SCARCE_TIME: Duration = Duration::from_secs(1);

/// Why there is no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoToken {
    /// The limit is used up; the time until there may be a token.
    Spent(Duration),
    /// No host that counts was reached.
    Uncounted,
}

/// Tokens of this host, and what it asks others for.
#[derive(Debug, Default)]
pub(super) struct Tokens {
    held: BTreeMap<Arc<str>, Held>,
    sources: BTreeMap<SocketAddr, Source>,
}

/// A host that counts, as this host asks it. One call is under way at a time and takes along all that is
/// wanted by then: a host that is slow is asked less often instead of more.
#[derive(Debug, Default)]
struct Source {
    is_asked: bool,
    /// Until when it is not asked, as it gave no answer.
    silent: Duration,
    wanted: Asked,
    waiting: Vec<oneshot::Sender<()>>,
    /// What it last gave of each workspace, until those that waited have seen it.
    given: Rc<BTreeMap<Arc<str>, TokenGrant>>,
}

/// Tokens of one workspace.
#[derive(Debug, Default)]
struct Held {
    cache: TokenCache,
    /// Until when the slices of hosts that count are used up.
    exhausted: BTreeMap<SocketAddr, Duration>,
}

impl Held {
    /// Whether a slice was used up lately.
    fn is_scarce(&self, now: Duration) -> bool {
        self.exhausted
            .values()
            .any(|until| now < *until + SCARCE_TIME)
    }
}

/// A token for one request. It goes back when dropped, unless it is spent.
#[derive(Debug)]
pub(super) struct Token {
    front: Rc<Front>,
    workspace: Arc<str>,
    /// When it ends, as time since the machine's start.
    end: Duration,
    /// Whether its request may run.
    spent: Cell<bool>,
}

impl Token {
    /// Whether it may still be used.
    pub(super) fn is_alive(&self) -> bool {
        since_boot() < self.end
    }

    /// Notes whether its request may run, or certainly has not.
    pub(super) fn spend(&self, is_spent: bool) {
        self.spent.set(is_spent);
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        if !self.spent.get() {
            let mut tokens = self.front.tokens.borrow_mut();
            if let Some(held) = tokens.held.get_mut(&self.workspace) {
                held.cache.return_token(self.end);
            }
        }
    }
}

impl Front {
    /// Takes a token for a request, asking the hosts that count where none is held.
    pub(super) async fn token(
        self: &Rc<Front>,
        view: &View,
        workspace: &Workspace,
    ) -> Result<Token, NoToken> {
        let rules = self.shared.reloadable.load().limit;
        let name = &workspace.name;
        self.with_held(name, |held| held.cache.record_demand(since_boot()));
        if let Some(token) = self.held_token(name) {
            return Ok(token);
        }
        let mut due: Option<Duration> = None;
        for slice in self.slices(view) {
            let Some(given) = self.ask(view, name, slice, &rules).await else {
                continue;
            };
            if let Some(token) = self.held_token(name) {
                return Ok(token);
            }
            // None, or fewer than there are requests that wait for one.
            let time = given.retry_after.max(LEAST_PAUSE);
            due = Some(due.map_or(time, |due| due.min(time)));
        }
        Err(due.map_or(NoToken::Uncounted, NoToken::Spent))
    }

    /// The slices in the order in which they are asked: this host's own first, then the others in an
    /// order of its own, so that not all hosts use up the same one.
    fn slices<'a>(&self, view: &'a View) -> Vec<&'a Arc<str>> {
        let own = [&self.shared.settings.region, &self.shared.settings.domain];
        let mut all: Vec<_> = view.limit_owners.shares().collect();
        let turn = (self.seed % all.len().max(1) as u64) as usize;
        all.rotate_left(turn);
        all.sort_by_key(|slice| !own.contains(slice));
        all
    }

    /// Asks who counts a slice; `None` where nobody answers.
    async fn ask(
        self: &Rc<Front>,
        view: &View,
        name: &Arc<str>,
        slice: &Arc<str>,
        rules: &RateLimitConfig,
    ) -> Option<TokenGrant> {
        let now = since_boot();
        let host = view.limit_owners.owner(slice, name, now)?;
        let until = self.with_held(name, |held| held.exhausted.get(&host.peers).copied());
        if let Some(until) = until.filter(|until| now < *until) {
            return Some(TokenGrant {
                count: 0,
                retry_after: until - now,
            });
        }
        let want = self.with_held(name, |held| {
            held.cache.refill_size(rules, held.is_scarce(now), now)
        });
        self.given(host, name, want).await
    }

    /// What a host gives of a workspace; `None` where it gives no answer, or does not count.
    async fn given(
        self: &Rc<Front>,
        host: &Arc<HostEntry>,
        name: &Arc<str>,
        want: u32,
    ) -> Option<TokenGrant> {
        let (tell, told) = oneshot::channel();
        let is_idle = {
            let mut tokens = self.tokens.borrow_mut();
            let source = tokens.sources.entry(host.peers).or_default();
            if since_boot() < source.silent {
                return None;
            }
            let wanted = source.wanted.wants.entry(Arc::clone(name)).or_default();
            *wanted = (*wanted + 1).max(want);
            source.waiting.push(tell);
            !std::mem::replace(&mut source.is_asked, true)
        };
        if is_idle {
            let (front, host) = (Rc::clone(self), Arc::clone(host));
            tokio::task::spawn_local(async move { front.ask_all(&host).await });
        }
        told.await.ok()?;
        let tokens = self.tokens.borrow();
        tokens.sources.get(&host.peers)?.given.get(name).copied()
    }

    /// Asks a host until nothing more is wanted of it.
    async fn ask_all(&self, host: &HostEntry) {
        loop {
            let (asked, waiting) = {
                let mut tokens = self.tokens.borrow_mut();
                let source = tokens.sources.entry(host.peers).or_default();
                if source.wanted.wants.is_empty() {
                    source.is_asked = false;
                    return;
                }
                (
                    std::mem::take(&mut source.wanted),
                    std::mem::take(&mut source.waiting),
                )
            };
            let sent = since_boot();
            let given = self.call(host, &asked).await;
            self.take_in(host, given, sent);
            for tell in waiting {
                // A request whose caller has left waits no more.
                let _ = tell.send(());
            }
        }
    }

    async fn call(
        &self,
        host: &HostEntry,
        asked: &Asked,
    ) -> Result<BTreeMap<Arc<str>, TokenGrant>, Duration> {
        if host.name == self.shared.settings.name {
            return self.shared.grant_tokens(asked).map_err(|_| IDLE_TIME);
        }
        let now = since_boot();
        let live = self.shared.reloadable.load();
        let is_near = live.domains.get(&host.domain) == Some(&self.shared.settings.region);
        let time = if is_near { NEAR_TIME } else { FAR_TIME };
        self.shared.meters.count("tokens_asked");
        let answer = ask_tokens(&self.client, host.peers, asked, time).await;
        answer.map_err(|e| {
            self.shared.meters.count("tokens_failed");
            if self.may_say(Kind::Failure) {
                log::info!(
                    target: "limits", event = "uncounted", workspaces = asked.wants.len(), host = &*host.name,
                    error:% = e, took_ms = millis(since_boot().saturating_sub(now)); "another slice is asked"
                );
            }
            if e.is_refusal() { IDLE_TIME } else { SILENT_TIME }
        })
    }

    /// Takes in what a host gave, or for how long it is not asked.
    fn take_in(
        &self,
        host: &HostEntry,
        given: Result<BTreeMap<Arc<str>, TokenGrant>, Duration>,
        sent: Duration,
    ) {
        let rules = self.shared.reloadable.load().limit;
        let mut tokens = self.tokens.borrow_mut();
        let Tokens { held, sources } = &mut *tokens;
        let source = sources.entry(host.peers).or_default();
        let given = given.unwrap_or_else(|time| {
            source.silent = since_boot() + time;
            BTreeMap::new()
        });
        for (name, given) in &given {
            let held = held.entry(Arc::clone(name)).or_default();
            held.cache.add(given.count, sent, &rules);
            if given.count == 0 {
                let pause = given.retry_after.clamp(LEAST_PAUSE, MOST_PAUSE);
                held.exhausted.insert(host.peers, since_boot() + pause);
            }
        }
        source.given = Rc::new(given);
    }

    fn held_token(self: &Rc<Front>, name: &Arc<str>) -> Option<Token> {
        let end = self.with_held(name, |held| held.cache.take(since_boot()))?;
        Some(Token {
            front: Rc::clone(self),
            workspace: Arc::clone(name),
            end,
            spent: Cell::new(false),
        })
    }

    fn with_held<T>(&self, name: &Arc<str>, change: impl FnOnce(&mut Held) -> T) -> T {
        let mut tokens = self.tokens.borrow_mut();
        change(tokens.held.entry(Arc::clone(name)).or_default())
    }

    /// Forgets workspaces and hosts that are gone.
    pub(super) fn prune_tokens(&self, view: &View) {
        let Some(config) = &view.config else {
            return;
        };
        if self.limits_of.replace(config.version) == config.version {
            return;
        }
        let mut tokens = self.tokens.borrow_mut();
        let Tokens { held, sources } = &mut *tokens;
        held.retain(|name, _| config.workspace(name).is_some());
        let hosts: BTreeSet<_> = view.hosts.values().map(|host| host.peers).collect();
        sources.retain(|host, source| source.is_asked || hosts.contains(host));
    }
}
