//! Keys and limits of a soak: what callers use, and what must not run.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use dunlinrock_platform::standin::{Holder, Ledger};
use rand::{Rng, rngs::StdRng};

use super::callers::lock;

/// Time after which a key that was taken away serves no more, as in the hosts' settings.
pub(super) const REVOKE_DELAY: Duration = Duration::from_secs(5);

/// Requests beyond a limit in a window, as in the hosts' settings.
pub(super) const LIMIT_SLACK: u32 = 20;

/// Window, and share beyond a limit; what hosts take where their settings do not say.
const WINDOW: Duration = Duration::from_secs(5);
const MAX_OVERSHOOT: f64 = 0.1;

/// Requests a second of the workspace with a limit, and as many at once: a third of what it sends.
const RATE: u32 = 30;

/// Workspaces: one whose key stays, one with a limit, one whose key changes with each version.
const STEADY: &str = "steady";
const BUSY: &str = "busy";
const CHANGING: &str = "changing";

/// A caller's key.
#[derive(Clone, Debug)]
pub(super) struct Key {
    pub(super) text: String,
    pub(super) workspace: &'static str,
}

impl Key {
    /// Whether a host may not know it: it was changed, and hosts learn of that in time.
    pub(super) fn may_be_unknown(&self) -> bool {
        self.workspace == CHANGING
    }
}

/// Keys that were changed, and who sent which.
#[derive(Debug, Default)]
pub(super) struct Keys {
    changing: Mutex<Changing>,
    sent: Mutex<BTreeMap<String, (Key, Instant)>>,
}

#[derive(Debug, Default)]
struct Changing {
    now: String,
    /// Keys that were taken away, and when the store had confirmed it.
    revoked: BTreeMap<String, Instant>,
}

impl Keys {
    /// The workspaces of a version. Once the store holds it, [`Keys::confirm`] is to be called.
    pub(super) fn workspaces(version: u64) -> [Holder<'static>; 3] {
        let holder = |name, key: String, rate| Holder {
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

    /// Sorts as its version does.
    fn text(version: u64) -> String {
        format!("key-{version:08}")
    }

    /// The store holds a version.
    pub(super) fn mark_active(&self, version: u64) {
        let mut changing = lock(&self.changing);
        let old = std::mem::replace(&mut changing.now, Keys::text(version));
        changing.revoked.insert(old, Instant::now());
    }

    /// Draws the key of a request that is about to be sent.
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

    /// What ran and must not have.
    pub(super) fn violations(&self, ledger: &Ledger) -> Vec<String> {
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
                    "{id} ran under a key that was taken away {late:?} before"
                ));
            }
            for run in &runs {
                if run.is_shown || run.workspace.as_deref() != Some(key.workspace) {
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

/// The worst window of a limit, if it was broken: requests that were sent and ran in it.
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
    is_beyond.then(|| format!("{worst} requests of {BUSY} ran in {WINDOW:?}; {allowed} may"))
}

/// Clones share the keys.
pub(super) type SharedKeys = Arc<Keys>;
