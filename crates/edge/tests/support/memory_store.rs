//! A feed in memory.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use dunlinrock_edge::model::{
    Batch, Entry, Item, LeaseId, PlatformStore, PlatformStoreError, Snapshot,
};
use futures::FutureExt;
use tokio::sync::watch;

#[derive(Default)]
struct State {
    at: u64,
    items: BTreeMap<Arc<str>, Item>,
    is_down: bool,
}

/// What the store holds. Clones share it.
#[derive(Clone)]
pub struct Board {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    /// Revision up to which the host has asked for changes.
    read: Arc<watch::Sender<u64>>,
}

impl Board {
    pub fn open() -> Board {
        Board {
            state: Arc::default(),
            changed: watch::channel(0).0,
            read: Arc::new(watch::channel(0).0),
        }
    }

    pub fn put(&self, key: &str, entry: Entry) {
        self.change(key, Some(entry));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Whether calls fail from now on.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
    }

    pub fn at(&self) -> u64 {
        self.state.lock().unwrap().at
    }

    /// Waits until the host has taken in a revision: it asks for what comes after it.
    pub fn until_read(&self, at: u64) {
        while *self.read.borrow() < at {
            std::thread::yield_now();
        }
    }

    fn change(&self, key: &str, entry: Option<Entry>) {
        let mut state = self.state.lock().unwrap();
        state.at += 1;
        let before = state.items.get(key).filter(|i| i.entry.is_some());
        let created = before.map_or(state.at, |item| item.created);
        let item = Item {
            key: key.into(),
            rev: state.at,
            created: if entry.is_some() { created } else { 0 },
            entry,
        };
        state.items.insert(key.into(), item);
        self.changed.send_replace(state.at);
    }

    fn after(&self, after: u64) -> Result<Batch, PlatformStoreError> {
        let state = self.state.lock().unwrap();
        if state.is_down {
            return Err(PlatformStoreError::Unavailable("switched off".into()));
        }
        let mut items: Vec<_> = state
            .items
            .values()
            .filter(|i| i.rev > after)
            .cloned()
            .collect();
        items.sort_by_key(|i| i.rev);
        Ok(Batch {
            revision: state.at,
            items,
        })
    }

    /// The board as a host's feed.
    pub fn feed(&self) -> PlatformStore {
        let (read, wait, announce) = (self.clone(), self.clone(), self.clone());
        PlatformStore {
            list: Arc::new(move |()| {
                let batch = read.after(0);
                let live = |b: Batch| {
                    let items = b.items.into_iter().filter(|i| i.entry.is_some());
                    Snapshot {
                        revision: b.revision,
                        items: items.collect(),
                    }
                };
                async move { batch.map(live) }.boxed()
            }),
            watch: Arc::new(move |(after, time)| wait.clone().wait(after, time).boxed()),
            announce: Arc::new(move |(host, _)| {
                announce.put("host", Entry::Host(host));
                async { Ok(LeaseId(1)) }.boxed()
            }),
            renew: Arc::new(|_| async { Ok(()) }.boxed()),
            withdraw: Arc::new(|_| async { Ok(()) }.boxed()),
        }
    }

    /// The same for a host that lists itself nowhere: hosts are listed as the test puts them.
    pub fn feed_unlisted(&self) -> PlatformStore {
        PlatformStore {
            announce: Arc::new(|_| async { Ok(LeaseId(1)) }.boxed()),
            ..self.feed()
        }
    }

    async fn wait(self, after: u64, time: Duration) -> Result<Batch, PlatformStoreError> {
        self.read.send_modify(|read| *read = (*read).max(after));
        let mut changed = self.changed.subscribe();
        let newer = changed.wait_for(|at| *at > after);
        let _ = tokio::time::timeout(time, newer).await;
        self.after(after)
    }
}
