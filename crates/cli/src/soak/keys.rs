//! API keys and rate limits of a soak, and the checks that hosts enforce them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use dunlinrock_platform::standin::{RunLog, WorkspaceDraft};
use rand::{Rng, rngs::StdRng};

use super::callers::lock;

/// Time after which a revoked key must be refused, as in the hosts' settings.
pub(super) const REVOKE_DELAY: Duration = Duration::from_secs(5);

/// Number of requests by which a window may exceed a limit, as in the hosts' settings.
pub(super) const LIMIT_SLACK: u32 = 20;

/// Window, and fraction by which it may exceed a limit: the defaults of the hosts' settings.
const WINDOW: Duration = Duration::from_secs(5);
const MAX_OVERSHOOT: f64 = 0.1;

/// Rate limit per second of the limited workspace, and its burst: a third of what it sends.
const RATE: u32 = 30;

/// Workspaces: one with a fixed key, one with a rate limit, one whose key changes with each
/// version.
const STEADY: &str = "steady";
const BUSY: &str = "busy";
const CHANGING: &str = "changing";

/// An API key and its workspace.
#[derive(Clone, Debug)]
pub(super) struct Key {
    pub(super) text: String,
    pub(super) workspace: &'static str,
}

impl Key {
    /// Returns whether a host may not know the key: changed keys reach hosts with a delay.
    pub(super) fn may_be_unknown(&self) -> bool {
        self.workspace == CHANGING
    }
}

/// The changing API key, and the key of each request.
#[derive(Debug, Default)]
pub(super) struct Keys {
    changing: Mutex<Changing>,
    sent: Mutex<BTreeMap<String, (Key, Instant)>>,
}

#[derive(Debug, Default)]
struct Changing {
    now: String,
    /// Revoked keys, and when the store had confirmed the change.
    revoked: BTreeMap<String, Instant>,
}

impl Keys {
    /// Returns the workspaces of a version. Call [`Keys::mark_active`] after the store has accepted
    /// the version.
    pub(super) fn workspaces(version: u64) -> [WorkspaceDraft<'static>; 3] {
        let holder = |name, key: String, rate| WorkspaceDraft {
            name,
            keys: vec![key],
            rate,
        };
        [
            holder(STEADY, STEADY.to_owned(), 0),
            holder(BUSY, BUSY.to_owned(), RATE),
            holder(CHANGING, Keys::text(version), 0),
        ]
    }

    /// Returns the key of a version; keys sort in the order of versions.
    fn text(version: u64) -> String {
        format!("key-{version:08}")
    }

    /// Records that the store has accepted a version, which revokes the previous key.
    pub(super) fn mark_active(&self, version: u64) {
        let mut changing = lock(&self.changing);
        let old = std::mem::replace(&mut changing.now, Keys::text(version));
        changing.revoked.insert(old, Instant::now());
    }

    /// Selects a random key for a request that is about to be sent.
    pub(super) fn draw(&self, id: &str, rng: &mut StdRng) -> Key {
        let changing = lock(&self.changing);
        let last = changing.revoked.keys().next_back();
        let (text, workspace) = match rng.random_range(0..8) {
            0 => (changing.now.clone(), CHANGING),
            1 => (last.unwrap_or(&changing.now).clone(), CHANGING),
            2 | 3 => (BUSY.to_owned(), BUSY),
            _ => (STEADY.to_owned(), STEADY),
        };
        drop(changing);
        let key = Key { text, workspace };
        let sent = (key.clone(), Instant::now());
        lock(&self.sent).insert(id.to_owned(), sent);
        key
    }

    /// Returns the runs that violate keys, workspaces or the rate limit.
    pub(super) fn violations(&self, ledger: &RunLog) -> Vec<String> {
        let (sent, changing) = (lock(&self.sent), lock(&self.changing));
        let mut found = Vec::new();
        let mut busy = Vec::new();
        for (id, runs) in ledger.all() {
            let Some((key, at)) = sent.get(&id) else {
                continue;
            };
            let late = changing
                .revoked
                .get(&key.text)
                .filter(|revoked| **revoked + REVOKE_DELAY < *at);
            if let Some(revoked) = late {
                let late = at.duration_since(*revoked);
                found.push(format!(
                    "{id} ran under a key that was revoked {late:?} before"
                ));
            }
            for run in &runs {
                if run.saw_credentials || run.workspace.as_deref() != Some(key.workspace) {
                    found.push(format!("{id} of {} ran as {run:?}", key.workspace));
                }
            }
            if key.workspace == BUSY {
                busy.extend(runs.first().map(|run| (*at, run.at)));
            }
        }
        found.extend(limit_violation(busy));
        found
    }
}

/// Returns the window with the most requests sent and run in it, if it exceeds the limit.
fn limit_violation(mut runs: Vec<(Instant, Instant)>) -> Option<String> {
    let rate = f64::from(RATE);
    let allowed =
        (rate * WINDOW.as_secs_f64() + rate) * (1.0 + MAX_OVERSHOOT) + f64::from(LIMIT_SLACK);
    runs.sort();
    let within = |from: Instant| {
        let runs = runs
            .iter()
            .filter(|(sent, ran)| *sent >= from && *ran < from + WINDOW);
        runs.count()
    };
    let worst = runs.iter().map(|(sent, _)| within(*sent)).max()?;
    let is_beyond = worst as f64 > allowed;
    is_beyond
        .then(|| format!("{worst} requests of {BUSY} ran in {WINDOW:?}; the limit is {allowed}"))
}

/// Shared handle to the keys.
pub(super) type SharedKeys = Arc<Keys>;
