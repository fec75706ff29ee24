//! An in-memory implementation of the platform's store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use dunlinrock_edge::model::{
    Announcement, Answer, Batch, Entry, Item, Lease, PlatformStore, PlatformStoreError, Revision,
    Snapshot,
};
use futures::{FutureExt, future::BoxFuture};
use tokio::sync::watch;

/// The announcement of every host: their leases never end.
const ANNOUNCEMENT: Announcement = Announcement {
    lease: Lease { era: 0, number: 1 },
    revision: Revision::NONE,
};

/// Returns a revision of a store that tells no era.
pub fn rev(number: u64) -> Revision {
    Revision::new(0, number)
}

fn answer<T>(result: Result<T, PlatformStoreError>) -> Answer<T> {
    Answer { era: None, result }
}

fn answered<T: Send + 'static>(
    result: Result<T, PlatformStoreError>,
) -> BoxFuture<'static, Answer<T>> {
    async { answer(result) }.boxed()
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<Arc<str>, Item>,
    is_unavailable: bool,
}

/// An in-memory store. Clones share its items.
#[derive(Clone)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    /// Revision after which the host has asked for changes.
    requested: Arc<watch::Sender<u64>>,
}

impl MemoryStore {
    pub fn open() -> MemoryStore {
        MemoryStore {
            state: Arc::default(),
            changed: watch::channel(0).0,
            requested: Arc::new(watch::channel(0).0),
        }
    }

    pub fn put(&self, key: &str, entry: Entry) {
        self.change(key, Some(entry));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.state.lock().unwrap().is_unavailable = is_unavailable;
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().revision
    }

    /// Waits until the host has applied a revision, which shows in its request for later changes.
    pub fn wait_until_read(&self, revision: u64) {
        while *self.requested.borrow() < revision {
            std::thread::yield_now();
        }
    }

    fn change(&self, key: &str, entry: Option<Entry>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let current = state.items.get(key).filter(|i| i.entry.is_some());
        let created = current.map_or(rev(state.revision), |item| item.created);
        let item = Item {
            key: key.into(),
            rev: rev(state.revision),
            created: if entry.is_some() {
                created
            } else {
                Revision::NONE
            },
            entry,
        };
        state.items.insert(key.into(), item);
        self.changed.send_replace(state.revision);
    }

    fn changes_after(&self, after: u64) -> Result<Batch, PlatformStoreError> {
        let state = self.state.lock().unwrap();
        if state.is_unavailable {
            return Err(PlatformStoreError::Unavailable(
                "made unavailable by the test".into(),
            ));
        }
        let mut items: Vec<_> = state
            .items
            .values()
            .filter(|i| i.rev.number > after)
            .cloned()
            .collect();
        items.sort_by_key(|i| i.rev);
        Ok(Batch {
            revision: rev(state.revision),
            items,
        })
    }

    /// Returns the calls of the store for a host.
    pub fn platform_store(&self) -> PlatformStore {
        let (read, wait, announce) = (self.clone(), self.clone(), self.clone());
        let (quarantine, release) = (self.clone(), self.clone());
        PlatformStore {
            list: Arc::new(move |()| {
                let batch = read.changes_after(0);
                let present = |b: Batch| {
                    let items = b.items.into_iter().filter(|i| i.entry.is_some());
                    Snapshot {
                        revision: b.revision,
                        items: items.collect(),
                    }
                };
                answered(batch.map(present))
            }),
            watch: Arc::new(move |(after, time)| {
                let wait = wait.clone().wait(after.number, time);
                wait.map(answer).boxed()
            }),
            announce: Arc::new(move |(host, _)| {
                announce.put("host", Entry::Host(host));
                answered(Ok(ANNOUNCEMENT))
            }),
            renew: Arc::new(|_| answered(Ok(()))),
            withdraw: Arc::new(|_| answered(Ok(()))),
            quarantine: Arc::new(move |write| {
                let entry = Entry::Quarantined(write.entry);
                let fingerprint = write.entry.fingerprint;
                let written = quarantine.replace(fingerprint, write.expected.number, Some(entry));
                let revision = quarantine.revision();
                answered(written.map(|()| rev(revision)))
            }),
            release: Arc::new(move |(fingerprint, revision)| {
                let removed = release.replace(fingerprint, revision.number, None);
                answered(removed)
            }),
        }
    }

    /// Changes the entry of a request in quarantine, if it is at the expected revision.
    fn replace(
        &self,
        fingerprint: u64,
        expected: u64,
        entry: Option<Entry>,
    ) -> Result<(), PlatformStoreError> {
        let key = format!("quarantine/{fingerprint:016x}");
        let revision = {
            let state = self.state.lock().unwrap();
            if state.is_unavailable {
                let text = "made unavailable by the test".to_owned();
                return Err(PlatformStoreError::Unavailable(text));
            }
            let present = state.items.get(&*key).filter(|i| i.entry.is_some());
            present.map_or(0, |item| item.rev.number)
        };
        if revision != expected {
            return Err(PlatformStoreError::Conflict);
        }
        self.change(&key, entry);
        Ok(())
    }

    /// Returns the requests in quarantine: their fingerprints, and whether they are confirmed.
    pub fn quarantined(&self) -> Vec<(u64, bool)> {
        let state = self.state.lock().unwrap();
        let entries = state.items.values().filter_map(|item| match &item.entry {
            Some(Entry::Quarantined(e)) => Some((e.fingerprint, e.is_confirmed)),
            _ => None,
        });
        entries.collect()
    }

    /// Returns the same for a host that does not list itself: the test writes the host entries.
    pub fn platform_store_unlisted(&self) -> PlatformStore {
        PlatformStore {
            announce: Arc::new(|_| answered(Ok(ANNOUNCEMENT))),
            ..self.platform_store()
        }
    }

    async fn wait(self, after: u64, time: Duration) -> Result<Batch, PlatformStoreError> {
        self.requested
            .send_modify(|requested| *requested = (*requested).max(after));
        let mut changed = self.changed.subscribe();
        let change = changed.wait_for(|revision| *revision > after);
        let _ = tokio::time::timeout(time, change).await;
        self.changes_after(after)
    }
}
