//! Leases: two hosts never hold a token at the same time, and tokens only increase.

use std::{collections::BTreeMap, time::Duration};

use dunlinrock_coord::lease::{Lease, LeaseOp, LeaseReply, Timings};
use dunlinrock_schema::coord::LeaseRecord;
use rand::{Rng, SeedableRng, rngs::StdRng};

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[derive(Default)]
struct Store {
    value: Option<(LeaseRecord, u64)>,
    version: u64,
}

impl Store {
    fn run(&mut self, op: &LeaseOp) -> LeaseReply {
        match op {
            LeaseOp::Read => LeaseReply::Value(self.value.clone()),
            LeaseOp::Write { expect, record } => {
                if self.value.as_ref().map(|(_, version)| *version) != *expect {
                    return LeaseReply::Conflict;
                }
                self.version += 1;
                self.value = Some((record.clone(), self.version));
                LeaseReply::Written(self.version)
            }
        }
    }
}

fn step(lease: &mut Lease, store: &mut Store, now: Duration) {
    if let Some(op) = lease.poll(now) {
        let reply = store.run(&op);
        lease.handle_reply(now, reply);
    }
}

// The holder is paused for longer than its lease, and another host takes the lease. When the first
// holder resumes, it still has the lease in its state, and must not get a token.
#[test]
fn a_paused_holder_has_no_token_when_it_resumes_and_the_next_one_is_higher() {
    let mut store = Store::default();
    let mut first = Lease::open("h1".into(), Timings::default());
    let mut second = Lease::open("h2".into(), Timings::default());
    let mut now = Duration::ZERO;
    while now < ms(5000) {
        step(&mut first, &mut store, now);
        step(&mut second, &mut store, now);
        now += ms(100);
    }
    assert_eq!(first.token(now), Some(1));
    while now < ms(30_000) {
        step(&mut second, &mut store, now);
        now += ms(100);
        assert!(first.token(now).is_none() || second.token(now).is_none());
    }
    assert_eq!(first.token(now), None);
    assert_eq!(second.token(now), Some(2));
    step(&mut first, &mut store, now);
    assert_eq!(first.token(now), None);
}

// The renewal took effect and its reply was lost. The holder may count from before it sent that
// renewal, not from when it read the value back.
#[test]
fn a_renewal_whose_reply_was_lost_holds_from_before_it_was_sent() {
    let mut store = Store::default();
    let mut lease = Lease::open("h1".into(), Timings::default());
    step(&mut lease, &mut store, ms(0));
    step(&mut lease, &mut store, ms(0));
    assert_eq!(lease.token(ms(0)), Some(1));
    let renewal = lease.poll(ms(3000)).unwrap();
    store.run(&renewal);
    lease.handle_reply(ms(5000), LeaseReply::Failed);
    step(&mut lease, &mut store, ms(6000));
    assert_eq!(lease.token(ms(10_900)), Some(1));
    assert_eq!(lease.token(ms(11_000)), None);
}

#[test]
fn a_released_lease_is_free_at_once() {
    let mut store = Store::default();
    let mut first = Lease::open("h1".into(), Timings::default());
    let mut second = Lease::open("h2".into(), Timings::default());
    step(&mut first, &mut store, ms(0));
    step(&mut first, &mut store, ms(0));
    first.release();
    assert_eq!(first.token(ms(1)), None);
    step(&mut first, &mut store, ms(1));
    step(&mut second, &mut store, ms(2));
    step(&mut second, &mut store, ms(2));
    assert_eq!(second.token(ms(2)), Some(2));
    step(&mut first, &mut store, ms(700));
    assert_eq!(second.token(ms(700)), Some(2));
}

// Pauses, lost replies, late writes and an unavailable store in random order, over three hosts
// whose clocks differ by up to 5 %: there are never two holders, and no token is given to two.
#[test]
fn random_pauses_and_losses_never_give_two_holders() {
    let mut changes = 0;
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        let mut leases: Vec<_> = ["h1", "h2", "h3"]
            .iter()
            .map(|name| Lease::open((*name).into(), Timings::default()))
            .collect();
        let speeds = [0.95, 1.0, 1.05];
        let mut paused = [Duration::ZERO; 3];
        let mut late_ops: Vec<LeaseOp> = Vec::new();
        let mut owners: BTreeMap<u64, usize> = BTreeMap::new();
        let mut now = Duration::ZERO;
        while now < ms(120_000) {
            now += ms(50);
            if !late_ops.is_empty() && rng.random_bool(0.1) {
                let index = rng.random_range(0..late_ops.len());
                store.run(&late_ops.remove(index));
            }
            for index in 0..3 {
                let local = now.mul_f64(speeds[index]);
                if now < paused[index] {
                    continue;
                }
                if rng.random_bool(0.002) {
                    paused[index] = now + ms(rng.random_range(0..20_000));
                }
                if let Some(op) = leases[index].poll(local) {
                    let reply = match rng.random_range(0..20) {
                        0 => {
                            store.run(&op);
                            LeaseReply::Failed
                        }
                        1 => {
                            late_ops.push(op);
                            LeaseReply::Failed
                        }
                        2 => LeaseReply::Failed,
                        _ => store.run(&op),
                    };
                    leases[index].handle_reply(local, reply);
                }
            }
            let held: Vec<_> = (0..3)
                .filter_map(|index| {
                    let token = leases[index].token(now.mul_f64(speeds[index]))?;
                    Some((index, token))
                })
                .collect();
            assert!(held.len() <= 1, "seed {seed} at {now:?}: {held:?}");
            for (index, token) in held {
                let owner = *owners.entry(token).or_insert(index);
                assert_eq!(owner, index, "seed {seed}: token {token}");
            }
        }
        changes += owners.len();
    }
    println!("{changes} tokens in 200 runs");
    assert!(changes > 400, "{changes}");
}
