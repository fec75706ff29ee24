//! Random histories of a store, of readers that lose and regain it, and of hosts that follow them.

mod support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_edge::{
    model::{DeferredChange, Entry, Item, Revision, Target},
    replica::{Changes, Replica},
};
use proptest::{prelude::*, test_runner::RngSeed};
use support::target;

/// Time for which readers defer the removal of vanished entries.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);

/// Time after which no change is deferred any more.
const MAX_DELAY: Duration = Duration::from_secs(11);

/// Time between two steps of a history.
const STEP: Duration = Duration::from_millis(250);

/// The first hosts read the store, the others follow any host.
const READERS: usize = 2;
const HOSTS: usize = 5;

/// The store: its present items and each change in order.
#[derive(Default)]
struct Store {
    present: BTreeMap<u8, Item>,
    log: Vec<Item>,
    /// How often the store has returned from an older copy.
    era: u64,
}

impl Store {
    fn at(&self) -> Revision {
        Revision::new(self.era, self.log.len() as u64)
    }

    /// Loses the last changes and gives out their revisions again.
    fn return_from_copy(&mut self, lost: usize) {
        self.era += 1;
        self.log.truncate(self.log.len().saturating_sub(lost));
        self.present.clear();
        for item in &mut self.log {
            item.rev.era = self.era;
            let key: u8 = item.key.parse().unwrap();
            if item.entry.is_some() {
                item.created.era = self.era;
                self.present.insert(key, item.clone());
            } else {
                self.present.remove(&key);
            }
        }
    }

    /// Writes a target's entry or heartbeat, with the same or new content. Content is never
    /// reverted: a leaving target does not return, and a target that restarts is a different one.
    fn put(&mut self, key: u8, content: Content) {
        let rev = self.at().next();
        let before = self.present.get(&key);
        let created = before.map_or(rev, |item| item.created);
        let slots = match before.and_then(|item| item.entry.clone()) {
            Some(Entry::Target(target)) if content == Content::Same => target.slots,
            Some(Entry::Target(target)) => target.slots + 1,
            _ => 1,
        };
        let address = "127.0.0.1:1".parse().unwrap();
        let was_leaving = before.is_some_and(
            |item| matches!(&item.entry, Some(Entry::Target(target)) if target.leaving),
        );
        let target = Target {
            slots,
            leaving: was_leaving || content == Content::Leaving,
            ..target(&key.to_string(), address)
        };
        let item = Item {
            key: key.to_string().into(),
            rev,
            created,
            entry: Some(Entry::Target(Arc::new(target))),
        };
        self.present.insert(key, item.clone());
        self.log.push(item);
    }

    fn remove(&mut self, key: u8) {
        let rev = self.at().next();
        if self.present.remove(&key).is_some() {
            self.log.push(Item {
                key: key.to_string().into(),
                rev,
                created: Revision::NONE,
                entry: None,
            });
        }
    }
}

/// A host: its replica and, for a reader, the revision up to which it has followed the store.
struct Host {
    replica: Replica,
    at: Revision,
}

impl Host {
    /// Follows the changes of the store. Defers removals if `deferred` is set.
    fn watch(&mut self, store: &Store, deferred: bool, now: Duration) {
        if self.at.era != store.era {
            return self.read(store, deferred, now);
        }
        let mut changes = Changes {
            reached: store.at(),
            ..Changes::default()
        };
        for item in &store.log[self.at.number as usize..] {
            if item.entry.is_none() && deferred {
                changes.deferred.push(DeferredChange {
                    item: item.clone(),
                    left: REMOVAL_DELAY,
                });
            } else {
                changes.items.push(item.clone());
            }
        }
        self.replica.apply_changes(changes, now);
        self.at = store.at();
    }

    /// Reads the whole store, as after a compaction of its history.
    fn read(&mut self, store: &Store, deferred: bool, now: Duration) {
        let items = store.present.values().cloned().collect();
        let left = if deferred {
            REMOVAL_DELAY
        } else {
            Duration::ZERO
        };
        self.replica.replace_deferring(store.at(), items, left, now);
        self.at = store.at();
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Content {
    Same,
    New,
    Leaving,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Put(u8, Content),
    Remove(u8),
    Watch {
        reader: usize,
        deferred: bool,
    },
    Read {
        reader: usize,
        deferred: bool,
    },
    Ask {
        host: usize,
        source: usize,
    },
    Restart(usize),
    /// The store returns from a copy that lacks this many changes.
    Return(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let reader = 0..READERS;
    prop_oneof![
        3 => (0..4u8, prop_oneof![Just(Content::Same), Just(Content::New)])
            .prop_map(|(key, content)| Step::Put(key, content)),
        2 => (0..4u8).prop_map(Step::Remove),
        3 => (reader.clone(), any::<bool>()).prop_map(|(reader, deferred)| Step::Watch { reader, deferred }),
        1 => (reader, any::<bool>()).prop_map(|(reader, deferred)| Step::Read { reader, deferred }),
        6 => (0..HOSTS, 0..HOSTS).prop_map(|(host, source)| Step::Ask { host, source }),
        1 => (0..HOSTS).prop_map(Step::Restart),
    ]
}

/// The same with targets that leave, and a store that returns from older copies.
fn step_with_returns() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        2 => (0..4u8).prop_map(|key| Step::Put(key, Content::Leaving)),
        1 => (0..8usize).prop_map(Step::Return),
    ]
}

fn ask(hosts: &mut [Host], host: usize, source: usize, now: Duration) {
    let reached = hosts[host].replica.synced_revision();
    let changes = hosts[source].replica.changes(reached, now);
    hosts[host].replica.apply_changes(changes, now);
}

fn present_items(host: &Host) -> Vec<(Arc<str>, Option<Entry>)> {
    let present = host.replica.present_items();
    present
        .map(|i| (Arc::clone(&i.key), i.entry.clone()))
        .collect()
}

fn play(steps: &[Step]) -> (Store, Vec<Host>) {
    let mut store = Store::default();
    let host = || Host {
        replica: Replica::open(),
        at: Revision::NONE,
    };
    let mut hosts: Vec<_> = (0..HOSTS).map(|_| host()).collect();
    let mut now = Duration::ZERO;
    for step in steps {
        now += STEP;
        for host in &mut hosts {
            host.replica.apply_deferred(now);
        }
        match *step {
            Step::Put(key, content) => store.put(key, content),
            Step::Remove(key) => store.remove(key),
            Step::Watch { reader, deferred } => hosts[reader].watch(&store, deferred, now),
            Step::Read { reader, deferred } => hosts[reader].read(&store, deferred, now),
            Step::Ask { host, source } => ask(&mut hosts, host, source, now),
            Step::Restart(n) => hosts[n] = host(),
            Step::Return(lost) => store.return_from_copy(lost),
        }
    }
    now += REMOVAL_DELAY;
    for (n, source) in [(0, 1), (1, 0), (2, 0), (3, 1), (4, 2)] {
        if n < READERS {
            hosts[n].watch(&store, false, now);
        }
        ask(&mut hosts, n, source, now);
    }
    now += MAX_DELAY;
    for host in &mut hosts {
        host.replica.apply_deferred(now);
    }
    (store, hosts)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(26),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against replicas that differ permanently from the store, so that callers are sent to a
    /// host or target that is gone, or never to one that is back. Readers follow the store, find
    /// its history compacted, and defer removals after an outage. Hosts poll any reachable source,
    /// which may be ahead in some items and behind in others. After the store is quiet and each
    /// host has polled once more, all replicas must equal the store.
    #[test]
    fn every_replica_converges_to_the_store(
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        check_converged(&steps)?;
    }

    /// The same with a store that loses its last changes and gives out their revisions again, more
    /// than once, before all hosts have noticed.
    #[test]
    fn every_replica_converges_to_a_store_that_returned_from_older_copies(
        steps in proptest::collection::vec(step_with_returns(), 1..60),
    ) {
        check_converged(&steps)?;
    }
}

fn check_converged(steps: &[Step]) -> Result<(), TestCaseError> {
    let (store, hosts) = play(steps);
    let present = store.present.values();
    let expected: Vec<_> = present
        .map(|i| (Arc::clone(&i.key), i.entry.clone()))
        .collect();
    for (n, host) in hosts.iter().enumerate() {
        prop_assert_eq!(&present_items(host), &expected, "host {}", n);
    }
    Ok(())
}

/// Guards against a healthy target that never gets requests again. Its lease expires and its entry
/// returns. One reader sees both; the other finds the history compacted and reads the whole store,
/// where the entry has its old content. A host that received the removal from the first reader
/// follows the second one from then on.
#[test]
fn a_target_that_returned_unnoticed_reaches_a_host_that_saw_it_removed() {
    use Step::{Ask, Put, Read, Remove, Watch};
    let (host, deferred) = (3, false);
    let (first, second) = (0, 1);
    let steps = [
        Put(0, Content::Same),
        Watch {
            reader: first,
            deferred,
        },
        Watch {
            reader: second,
            deferred,
        },
        Ask {
            host,
            source: first,
        },
        Remove(0),
        Watch {
            reader: first,
            deferred,
        },
        Ask {
            host,
            source: first,
        },
        Put(0, Content::Same),
        Read {
            reader: second,
            deferred,
        },
    ];
    let (_, hosts) = play(&steps);
    assert_eq!(present_items(&hosts[host]).len(), 1);
}

/// Guards against lookups that list a host that ended before their source started. A host receives
/// an entry from one reader. The entry is removed, and a process started later reads a store that
/// does not contain it, so nothing there records the removal.
#[test]
fn an_entry_removed_before_its_source_started_is_dropped() {
    use Step::{Ask, Put, Read, Remove};
    let (host, deferred) = (3, false);
    let (first, second) = (0, 1);
    let steps = [
        Put(3, Content::Same),
        Read {
            reader: first,
            deferred,
        },
        Ask {
            host,
            source: first,
        },
        Remove(3),
        Read {
            reader: second,
            deferred,
        },
    ];
    let (_, hosts) = play(&steps);
    assert!(present_items(&hosts[host]).is_empty());
}

/// A target is removed, returns and is removed again. An intermediate host received both removals.
/// A host below it has received the return elsewhere, and must still receive the second removal.
#[test]
fn a_second_removal_reaches_hosts_that_saw_the_return() {
    use Step::{Ask, Put, Remove, Watch};
    let (reader, deferred) = (0, false);
    let steps = [
        Put(3, Content::Same),
        Remove(3),
        Watch { reader, deferred },
        Ask {
            host: 2,
            source: reader,
        },
        Put(3, Content::Same),
        Watch { reader, deferred },
        Remove(3),
        Ask {
            host: 4,
            source: reader,
        },
    ];
    let (_, hosts) = play(&steps);
    assert!(present_items(&hosts[4]).is_empty());
}

/// A reader receives a removal from another reader, and only then reads from the store the last
/// entry before it. A host that receives this entry applies it, and must receive the removal too.
#[test]
fn a_removal_is_sent_together_with_the_last_entry() {
    use Step::{Ask, Put, Read, Remove, Watch};
    let (late, early) = (0, 1);
    let deferred = true;
    let steps = [
        Put(0, Content::Same),
        Watch {
            reader: late,
            deferred: false,
        },
        Put(0, Content::New),
        Remove(0),
        Read {
            reader: early,
            deferred,
        },
        Ask {
            host: late,
            source: early,
        },
        Watch {
            reader: late,
            deferred,
        },
    ];
    let (_, hosts) = play(&steps);
    assert!(present_items(&hosts[early]).is_empty());
}
