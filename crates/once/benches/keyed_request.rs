//! Cost of a keyed request: owner and witness together, and for comparison an owner that is its own
//! witness.
//!
//! The clock advances 1 ms per request, so that each ledger has about 90,000 records throughout:
//! three epochs of 30 s at 1,000 keyed requests per second.

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use dunlinrock_once::{Action, Key, Ledger, Limits, Outcome, PriorAttempts, Request};

const STEP: Duration = Duration::from_millis(1);
const WARM_UP: u64 = 90_000;

struct Pair {
    owner: Ledger,
    witness: Ledger,
    now: Duration,
    attempt_id: u64,
    single_host: bool,
}

impl Pair {
    fn open(single_host: bool) -> Pair {
        let limits = Limits {
            epoch_length: Duration::from_secs(30),
            ..Limits::default()
        };
        let mut pair = Pair {
            owner: Ledger::open(u64::MAX / 3, limits, Duration::ZERO),
            witness: Ledger::open(u64::MAX / 5, limits, Duration::ZERO),
            now: Duration::ZERO,
            attempt_id: 0,
            single_host,
        };
        for _ in 0..WARM_UP {
            pair.request();
        }
        pair
    }

    fn key(&self) -> Key {
        let owner = self.owner.participant(self.now);
        let witness = if self.single_host {
            owner
        } else {
            self.witness.participant(self.now)
        };
        let nonce = format!(
            "{:032x}",
            self.attempt_id.wrapping_mul(0x9E37_79B9_7F4A_7C15)
        );
        Key::bind(owner, witness, &nonce).expect("the nonce is valid")
    }

    /// Runs one request from its arrival at the owner to its answer; returns the number of
    /// messages.
    fn request(&mut self) -> usize {
        self.now += STEP;
        self.attempt_id += 1;
        let key = self.key();
        let request = Request {
            key: key.clone(),
            fingerprint: self.attempt_id,
            attempts: PriorAttempts::NONE,
            attempt_id: self.attempt_id,
        };
        let mut messages = 0;
        let mut out = self.owner.handle_request(request, self.now);
        while let Some(Action::SendMessage { to, message }) = out.pop() {
            messages += 1;
            out = if to == self.owner.incarnation() {
                self.owner
                    .handle_message(self.witness.incarnation(), message, self.now)
            } else {
                self.witness
                    .handle_message(self.owner.incarnation(), message, self.now)
            };
        }
        let answer = Outcome::Answered([0; 64].as_slice().into());
        black_box(self.owner.handle_outcome(&key, answer, self.now));
        messages
    }
}

fn keyed_request(c: &mut Criterion) {
    let mut group = c.benchmark_group("keyed request");
    let mut pair = Pair::open(false);
    println!("messages a request: {}", pair.request());
    group.bench_function("owner and witness", |b| b.iter(|| pair.request()));
    let mut single_host = Pair::open(true);
    println!("messages a request, owner alone: {}", single_host.request());
    group.bench_function("owner alone", |b| b.iter(|| single_host.request()));
    let text = pair.key().to_string();
    group.bench_function("key from text", |b| {
        b.iter(|| black_box(&text).parse::<Key>());
    });
    group.finish();
}

criterion_group!(benches, keyed_request);
criterion_main!(benches);
