//! A ledger under random inputs, some of them forged: every attempt gets exactly one response.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dunlinrock_once::{
    Action, Key, Ledger, Limits, Message, Outcome, Participant, PriorAttempts, RefusalReason,
    Request,
};
use dunlinrock_schema::once::{
    AnswerAsk, AnswerGive, Claim, ClaimAnswer, Close, CloseAnswer, Closing, End, EndKind, Handed,
    Handover, HandoverAnswer, Verdict,
};
use proptest::{
    prelude::{ProptestConfig, any, proptest},
    test_runner::RngSeed,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

const LOCAL: u64 = 1;
const INPUTS: usize = 400;

fn limits() -> Limits {
    Limits {
        max_records: 12,
        answer_bytes: 20,
        max_answer_bytes: 8,
        max_waiters: 3,
        epoch_length: Duration::from_secs(4),
        retained_epochs: 2,
        part_records: 2,
        ..Limits::default()
    }
}

/// Ledger under test, with the attempts and dispatches that are still open.
struct Driver {
    ledger: Ledger,
    now: Duration,
    rng: SmallRng,
    /// Attempts without a response so far.
    waiting: BTreeSet<u64>,
    /// Dispatched requests without an outcome so far.
    dispatched: BTreeMap<Key, u64>,
    all_dispatched: BTreeSet<Key>,
    last_attempt_id: u64,
}

impl Driver {
    fn open(seed: u64) -> Driver {
        Driver {
            ledger: Ledger::open(LOCAL, limits(), Duration::ZERO),
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            waiting: BTreeSet::new(),
            dispatched: BTreeMap::new(),
            all_dispatched: BTreeSet::new(),
            last_attempt_id: 0,
        }
    }

    fn key(&mut self) -> Key {
        let now = self.ledger.epoch(self.now);
        let epoch = (now + 1).saturating_sub(self.rng.random_range(0..3));
        let mut participant = || Participant {
            incarnation: self.rng.random_range(1..4),
            epoch,
        };
        let (owner, witness) = (participant(), participant());
        let nonce = self.rng.random_range(0..3).to_string();
        Key::bind(owner, witness, &nonce).unwrap()
    }

    fn end(&mut self) -> End {
        let kinds = [
            EndKind::Answered,
            EndKind::Dropped,
            EndKind::Unknown,
            EndKind::Closed,
            EndKind::Mismatch,
        ];
        End {
            kind: *kinds.choose(&mut self.rng).unwrap(),
            answer: vec![0; self.rng.random_range(0..12)],
        }
    }

    fn message(&mut self) -> Message {
        let caller = self.rng.random_range(0..2);
        let key = self.key().to_string().into();
        match self.rng.random_range(0..9) {
            0 | 1 => Message::Claim(Claim { caller, key }),
            2 | 3 => {
                let all = [
                    Verdict::Granted,
                    Verdict::Taken,
                    Verdict::Closed,
                    Verdict::Ended,
                    Verdict::Full,
                ];
                let verdict = *all.choose(&mut self.rng).unwrap();
                Message::ClaimAnswer(ClaimAnswer { key, verdict })
            }
            4 => Message::Close(Close { caller, key }),
            5 => {
                let all = [Closing::Closed, Closing::Taken, Closing::Unknown];
                let closing = *all.choose(&mut self.rng).unwrap();
                Message::CloseAnswer(CloseAnswer { closing, key })
            }
            6 => Message::AnswerAsk(AnswerAsk { caller, key }),
            7 => {
                let end = self.end();
                Message::AnswerGive(AnswerGive { end, key })
            }
            _ => self.handover(caller, key),
        }
    }

    fn handover(&mut self, caller: u64, key: std::sync::Arc<str>) -> Message {
        let part = self.rng.random_range(0..3);
        if self.rng.random() {
            let accepted = self.rng.random();
            return Message::HandoverAnswer(HandoverAnswer { accepted, part });
        }
        let end = self.end();
        let epoch = self.ledger.epoch(self.now);
        Message::Handover(Handover {
            first_epoch: epoch.saturating_sub(1),
            last_epoch: epoch,
            part,
            parts: self.rng.random_range(0..3),
            records: vec![Handed { caller, end, key }],
        })
    }

    fn outcome(&mut self) -> Outcome {
        match self.rng.random_range(0..4) {
            0 => Outcome::Indeterminate,
            1 => Outcome::NotRun { retry_after: None },
            _ => Outcome::Answered(vec![0; self.rng.random_range(0..12)].into()),
        }
    }

    fn input(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..300));
        let now = self.now;
        let actions = match self.rng.random_range(0..100) {
            0..40 => self.request(),
            40..75 => {
                let message = round_trip(&self.message());
                let from = self.rng.random_range(1..4);
                self.ledger.handle_message(from, message, now)
            }
            75..90 => self.finish(),
            90..94 => self.cancel(),
            94..96 => self.ledger.peer_gone(self.rng.random_range(2..4), now),
            96 if self.rng.random_range(0..10) == 0 => {
                let deadline = now + Duration::from_secs(2);
                self.ledger.stop(&[2, 3], deadline, now)
            }
            _ => self.ledger.tick(now),
        };
        self.perform(actions);
    }

    fn request(&mut self) -> Vec<Action> {
        self.last_attempt_id += 1;
        self.waiting.insert(self.last_attempt_id);
        let request = Request {
            key: self.key(),
            fingerprint: self.rng.random_range(0..2),
            attempts: PriorAttempts {
                owner: self.rng.random_range(0..2),
                witness: self.rng.random_range(0..2),
            },
            attempt_id: self.last_attempt_id,
        };
        self.ledger.handle_request(request, self.now)
    }

    fn finish(&mut self) -> Vec<Action> {
        let outcome = self.outcome();
        match self.dispatched.pop_first() {
            Some((key, _)) => self.ledger.handle_outcome(&key, outcome, self.now),
            None => Vec::new(),
        }
    }

    fn cancel(&mut self) -> Vec<Action> {
        match self.waiting.pop_first() {
            Some(attempt_id) => self.ledger.cancel(attempt_id, self.now),
            None => Vec::new(),
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendMessage { to, .. } => assert_ne!(to, LOCAL, "a message to itself"),
                Action::Dispatch { key, attempt_id } => {
                    assert!(
                        self.waiting.contains(&attempt_id),
                        "the dispatched attempt does not wait"
                    );
                    assert!(
                        self.all_dispatched.insert(key.clone()),
                        "dispatched twice: {key}"
                    );
                    self.dispatched.insert(key, attempt_id);
                }
                Action::Cancel { key } => assert!(self.dispatched.contains_key(&key)),
                Action::Answer { attempt_id, .. } => self.complete(attempt_id, None),
                Action::Refuse {
                    attempt_id, reason, ..
                } => self.complete(attempt_id, Some(reason)),
            }
        }
        let counts = self.ledger.stats();
        assert!(counts.records <= limits().max_records);
        assert!(counts.answer_bytes <= limits().answer_bytes);
        assert_eq!(counts.waiting, self.waiting.len());
    }

    fn complete(&mut self, attempt_id: u64, reason: Option<RefusalReason>) {
        let known = self.waiting.remove(&attempt_id);
        assert!(
            known,
            "attempt {attempt_id} got {reason:?} and was not waiting"
        );
    }

    /// Ends all dispatched requests, fires every timer, and checks that nothing is left over.
    fn drain(mut self) {
        while !self.dispatched.is_empty() {
            let actions = self.finish();
            self.perform(actions);
        }
        while let Some(wake) = self.ledger.next_wake() {
            self.now = self.now.max(wake);
            let actions = self.ledger.tick(self.now);
            self.perform(actions);
            let next = self.ledger.next_wake();
            assert!(
                next.is_none_or(|next| next > self.now),
                "a due timer did not fire"
            );
        }
        assert_eq!(self.waiting, BTreeSet::new(), "attempts without a response");
        assert_eq!(self.ledger.stats().open, 0);
    }
}

/// Encodes and decodes a message as on the wire.
fn round_trip(message: &Message) -> Message {
    let bytes = rmp_serde::to_vec_named(message).unwrap();
    let read = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(*message, read);
    read
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_attempt_gets_exactly_one_response_and_nothing_is_left_over(seed in any::<u64>()) {
        let mut driver = Driver::open(seed);
        for _ in 0..INPUTS {
            driver.input();
        }
        driver.drain();
    }
}
