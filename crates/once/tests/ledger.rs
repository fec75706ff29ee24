//! Tests of a ledger by single inputs, with a regression test for each failure found so far.

use std::time::Duration;

use dunlinrock_once::{
    Action, Key, Ledger, Limits, Message, Outcome, PriorAttempts, RefusalReason, Request, RunStatus,
};
use dunlinrock_schema::once::{Claim, ClaimAnswer, EndKind, Handover, Verdict};

const START: Duration = Duration::ZERO;
const OWNER: u64 = 1;
const WITNESS: u64 = 2;

fn limits() -> Limits {
    Limits {
        max_records: 3,
        answer_bytes: 10,
        max_answer_bytes: 8,
        retained_epochs: 2,
        part_records: 2,
        ..Limits::default()
    }
}

fn pair() -> (Ledger, Ledger) {
    let open = |me| Ledger::open(me, limits(), START);
    (open(OWNER), open(WITNESS))
}

fn key(owner: &Ledger, witness: &Ledger, nonce: &str, now: Duration) -> Key {
    Key::bind(owner.participant(now), witness.participant(now), nonce).unwrap()
}

fn request(key: &Key, attempt_id: u64, attempts: PriorAttempts) -> Request {
    Request {
        key: key.clone(),
        fingerprint: 7,
        attempts,
        attempt_id,
    }
}

fn first(key: &Key, attempt_id: u64) -> Request {
    request(key, attempt_id, PriorAttempts::NONE)
}

/// Delivers all messages between two ledgers until none is left; returns the other actions.
fn deliver_all(
    owner: &mut Ledger,
    witness: &mut Ledger,
    out: Vec<Action>,
    now: Duration,
) -> Vec<Action> {
    let mut rest = Vec::new();
    let mut queue: std::collections::VecDeque<_> = out.into();
    while let Some(action) = queue.pop_front() {
        match action {
            Action::SendMessage { to: OWNER, message } => {
                queue.extend(owner.handle_message(WITNESS, message, now));
            }
            Action::SendMessage { message, .. } => {
                queue.extend(witness.handle_message(OWNER, message, now));
            }
            other => rest.push(other),
        }
    }
    rest
}

/// Runs the request of a key on the owner until it is answered.
fn answered(owner: &mut Ledger, witness: &mut Ledger, key: &Key, answer: &[u8], now: Duration) {
    let out = owner.handle_request(first(key, 900), now);
    let out = deliver_all(owner, witness, out, now);
    assert!(matches!(&out[..], [Action::Dispatch { .. }]), "{out:?}");
    owner.handle_outcome(key, Outcome::Answered(answer.into()), now);
}

/// Returns the status and reason of a single refusal.
fn refusal(actions: &[Action]) -> (RunStatus, RefusalReason) {
    match actions {
        [Action::Refuse { run, reason, .. }] => (*run, *reason),
        other => panic!("expected a single refusal, got {other:?}"),
    }
}

fn tried_both() -> PriorAttempts {
    PriorAttempts {
        owner: 1,
        witness: 1,
    }
}

#[test]
fn a_first_attempt_to_a_restarted_owner_is_refused_with_unknown() {
    // The owner runs the request and fails; a new process has its address. The caller's library
    // resends the attempt on a new connection, still as the first attempt. With `run: no`, the
    // caller would book a second time; the new process cannot know whether the request ran.
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    let out = owner.handle_request(first(&key, 1), START);
    let out = deliver_all(&mut owner, &mut witness, out, START);
    assert!(matches!(&out[..], [Action::Dispatch { .. }]));

    let mut owner = Ledger::open(11, limits(), START);
    let out = owner.handle_request(first(&key, 2), START);
    assert_eq!(
        refusal(&out),
        (RunStatus::Unknown, RefusalReason::WrongIncarnation)
    );
}

#[test]
fn a_key_refused_at_capacity_is_never_accepted_later() {
    // A full owner refuses the attempt with `run: no`. A duplicate of the attempt, sent by the
    // caller's library on another connection, arrives when the ledger has capacity again. It must
    // not run: the caller already books with another key.
    let (mut owner, mut witness) = pair();
    for nonce in ["a", "b", "c"] {
        let key = key(&owner, &witness, nonce, START);
        answered(&mut owner, &mut witness, &key, b"x", START);
    }
    let next = limits().epoch_length;
    let late = key(&owner, &witness, "late", next);
    let out = owner.handle_request(first(&late, 1), next);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::LedgerFull));

    let after_expiry = next * 2;
    let out = owner.handle_request(first(&late, 2), after_expiry);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::LedgerFull));
    let fresh = key(&owner, &witness, "fresh", after_expiry);
    let out = owner.handle_request(first(&fresh, 3), after_expiry);
    assert!(matches!(&out[..], [Action::SendMessage { .. }]), "{out:?}");
}

#[test]
fn a_full_witness_refuses_the_claim_and_the_request_does_not_run() {
    let (mut owner, mut witness) = pair();
    for n in 0..limits().max_records {
        let key = Key::bind(
            Ledger::open(9, limits(), START).participant(START),
            witness.participant(START),
            &format!("f{n}"),
        );
        let claim = Claim {
            caller: 1,
            key: key.unwrap().to_string().into(),
        };
        witness.handle_message(9, Message::Claim(claim), START);
    }
    let key = key(&owner, &witness, "n", START);
    let out = owner.handle_request(first(&key, 1), START);
    let out = deliver_all(&mut owner, &mut witness, out, START);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Closed));
    assert_eq!(witness.stats().records, limits().max_records);
}

#[test]
fn a_grant_read_after_a_pause_dispatches_nothing() {
    // The witness grants the claim, but the owner is paused before it reads the grant, for longer
    // than its timeout. The caller gets no response and tries the witness. By the owner's clock the
    // claim has timed out, so it closes the key before it reads the grant.
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    let out = owner.handle_request(first(&key, 1), START);
    let [Action::SendMessage { message, .. }] = &out[..] else {
        panic!("{out:?}")
    };
    let out = witness.handle_message(OWNER, message.clone(), START);
    let [Action::SendMessage { message, .. }] = &out[..] else {
        panic!("{out:?}")
    };
    let resumed_at = limits().claim_timeout + Duration::from_secs(60);
    let out = owner.handle_message(WITNESS, message.clone(), resumed_at);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Closed));
    let out = owner.handle_request(first(&key, 2), resumed_at);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Closed));
}

#[test]
fn a_closed_owner_refuses_with_no_only_once_the_tried_witness_confirms() {
    // The caller tries the witness first, without a response, then the owner, whose claim is lost.
    // The first attempt may still be in flight to the witness, so `no` needs the witness's close.
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    let attempts = PriorAttempts {
        owner: 0,
        witness: 1,
    };
    owner.handle_request(request(&key, 1, attempts), START);
    let timeout = limits().claim_timeout;
    let out = owner.tick(timeout);
    assert!(
        matches!(
            &out[..],
            [Action::SendMessage {
                message: Message::Close(_),
                ..
            }]
        ),
        "{out:?}"
    );
    let out = deliver_all(&mut owner, &mut witness, out, timeout);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Closed));
    let out = witness.handle_request(first(&key, 2), timeout);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Closed));
}

#[test]
fn a_closed_owner_refuses_with_unknown_if_the_witness_does_not_answer() {
    let (mut owner, witness) = pair();
    let key = key(&owner, &witness, "n", START);
    owner.handle_request(request(&key, 1, tried_both()), START);
    let timeout = limits().claim_timeout;
    owner.tick(timeout);
    let out = owner.tick(timeout + limits().answer_timeout);
    assert_eq!(
        refusal(&out),
        (RunStatus::Unknown, RefusalReason::PeerTimeout)
    );
}

#[test]
fn a_claim_of_a_request_that_the_witness_runs_ends_with_its_answer() {
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    let out = witness.handle_request(first(&key, 1), START);
    assert!(matches!(&out[..], [Action::Dispatch { .. }]));
    let attempts = PriorAttempts {
        owner: 0,
        witness: 1,
    };
    let out = owner.handle_request(request(&key, 2, attempts), START);
    assert_eq!(deliver_all(&mut owner, &mut witness, out, START), []);
    let out = witness.handle_outcome(&key, Outcome::Answered(b"yes".as_slice().into()), START);
    let out = deliver_all(&mut owner, &mut witness, out, START);
    let attempt_ids: Vec<_> = out
        .iter()
        .map(|action| match action {
            Action::Answer { attempt_id, answer } => (*attempt_id, &**answer),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(
        attempt_ids,
        [(1, b"yes".as_slice()), (2, b"yes".as_slice())]
    );
}

#[test]
fn a_request_that_no_target_ran_is_closed_at_both_participants() {
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    let out = owner.handle_request(first(&key, 1), START);
    deliver_all(&mut owner, &mut witness, out, START);
    let retry_after = Some(Duration::from_secs(3));
    let out = owner.handle_outcome(&key, Outcome::NotRun { retry_after }, START);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::NotRun));

    let out = owner.handle_request(request(&key, 2, tried_both()), START);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Closed));
    let out = witness.handle_request(request(&key, 3, tried_both()), START);
    let out = deliver_all(&mut owner, &mut witness, out, START);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Closed));
}

#[test]
fn answers_beyond_the_capacity_are_evicted_oldest_first() {
    let (mut owner, mut witness) = pair();
    let keys = ["a", "b", "c"].map(|nonce| key(&owner, &witness, nonce, START));
    for key in &keys {
        answered(&mut owner, &mut witness, key, b"1234", START);
    }
    assert_eq!(owner.stats().answer_bytes, 8);
    let out = owner.handle_request(first(&keys[0], 1), START);
    assert_eq!(
        refusal(&out),
        (RunStatus::Yes, RefusalReason::AnswerEvicted)
    );
    let out = owner.handle_request(first(&keys[2], 2), START);
    assert!(matches!(&out[..], [Action::Answer { attempt_id: 2, .. }]));
}

#[test]
fn an_answer_too_long_to_cache_still_reaches_waiting_attempts() {
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    let out = owner.handle_request(first(&key, 1), START);
    deliver_all(&mut owner, &mut witness, out, START);
    let long = Outcome::Answered(b"123456789".as_slice().into());
    let out = owner.handle_outcome(&key, long, START);
    assert!(matches!(&out[..], [Action::Answer { attempt_id: 1, .. }]));
    assert_eq!(owner.stats().answer_bytes, 0);
    let out = owner.handle_request(first(&key, 2), START);
    assert_eq!(
        refusal(&out),
        (RunStatus::Yes, RefusalReason::AnswerEvicted)
    );
}

#[test]
fn another_caller_with_the_key_gets_neither_answer_nor_run() {
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    answered(&mut owner, &mut witness, &key, b"mine", START);
    let other = Request {
        fingerprint: 8,
        ..first(&key, 1)
    };
    let out = owner.handle_request(other.clone(), START);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Mismatch));
    let out = witness.handle_request(other, START);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Mismatch));
}

#[test]
fn attempts_beyond_the_maximum_of_waiters_are_refused() {
    let (mut owner, witness) = pair();
    let key = key(&owner, &witness, "n", START);
    for attempt_id in 0..8 {
        owner.handle_request(first(&key, attempt_id), START);
    }
    let out = owner.handle_request(first(&key, 8), START);
    assert_eq!(
        refusal(&out),
        (RunStatus::Unknown, RefusalReason::TooManyWaiters)
    );
    assert_eq!(owner.stats().waiting, 8);
}

#[test]
fn keys_of_expired_or_future_epochs_are_refused() {
    let (mut owner, witness) = pair();
    let old = key(&owner, &witness, "n", START);
    let later = limits().epoch_length * 2;
    let ahead = key(&owner, &witness, "n", later * 2);
    let out = owner.handle_request(first(&old, 1), later);
    assert_eq!(
        refusal(&out),
        (RunStatus::Unknown, RefusalReason::EpochExpired)
    );
    let out = owner.handle_request(first(&ahead, 2), later);
    assert_eq!(
        refusal(&out),
        (RunStatus::Unknown, RefusalReason::EpochNotStarted)
    );
    assert_eq!(owner.stats().records, 0);
}

#[test]
fn a_run_that_outlasts_its_epoch_still_returns_its_answer() {
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    let out = owner.handle_request(first(&key, 1), START);
    deliver_all(&mut owner, &mut witness, out, START);
    let later = limits().epoch_length * 5;
    let out = owner.handle_outcome(&key, Outcome::Answered(b"x".as_slice().into()), later);
    assert!(matches!(&out[..], [Action::Answer { attempt_id: 1, .. }]));
    assert_eq!(owner.stats().records, 0);
    assert_eq!(owner.stats().answer_bytes, 0);
}

#[test]
fn messages_from_hosts_that_the_key_does_not_name_are_ignored() {
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    owner.handle_request(first(&key, 1), START);
    let text: std::sync::Arc<str> = key.to_string().into();
    let grant = ClaimAnswer {
        key: text.clone(),
        verdict: Verdict::Granted,
    };
    assert_eq!(
        owner.handle_message(9, Message::ClaimAnswer(grant), START),
        []
    );
    let claim = Claim {
        caller: 7,
        key: text,
    };
    assert_eq!(witness.handle_message(9, Message::Claim(claim), START), []);
    let claim = Claim {
        caller: 7,
        key: "no key".into(),
    };
    assert_eq!(
        witness.handle_message(OWNER, Message::Claim(claim), START),
        []
    );
    assert_eq!(witness.stats().records, 0);
}

#[test]
fn a_message_from_the_host_itself_is_ignored() {
    let (mut owner, _) = pair();
    let part = Message::Handover(Handover {
        first_epoch: 0,
        last_epoch: 0,
        part: 0,
        parts: 1,
        records: Vec::new(),
    });
    assert_eq!(owner.handle_message(OWNER, part, START), []);
}

#[test]
fn a_cancelled_attempt_that_times_out_with_the_same_input_is_not_refused() {
    let (mut owner, witness) = pair();
    let key = key(&owner, &witness, "n", START);
    owner.handle_request(first(&key, 1), START);
    assert_eq!(owner.cancel(1, limits().claim_timeout), []);
    assert_eq!(owner.stats().waiting, 0);
}

#[test]
fn an_unanswered_claim_is_resent_until_it_times_out() {
    let (mut owner, witness) = pair();
    let key = key(&owner, &witness, "n", START);
    let mut sent = owner.handle_request(first(&key, 1), START).len();
    while let Some(wake) = owner.next_wake() {
        let out = owner.tick(wake);
        sent += out
            .iter()
            .filter(|a| matches!(a, Action::SendMessage { .. }))
            .count();
    }
    // Sent at 0 and 100 ms; the next resend, at 300 ms, is after the timeout of 250 ms.
    assert_eq!(sent, 2);
}

#[test]
fn a_host_falsely_reported_gone_gets_claims_again_after_its_next_message() {
    let (mut owner, mut witness) = pair();
    owner.peer_gone(WITNESS, START);
    let lost = key(&owner, &witness, "lost", START);
    let out = owner.handle_request(first(&lost, 1), START);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Closed));

    let other = key(&witness, &owner, "other", START);
    let out = witness.handle_request(first(&other, 2), START);
    deliver_all(&mut owner, &mut witness, out, START);
    let next = key(&owner, &witness, "next", START);
    let out = owner.handle_request(first(&next, 3), START);
    let out = deliver_all(&mut owner, &mut witness, out, START);
    assert!(matches!(&out[..], [Action::Dispatch { .. }]), "{out:?}");
}

#[test]
fn a_stopping_witness_hands_its_records_over_to_the_owner() {
    // The witness runs a request and answers it, then shuts down gracefully. The caller did not
    // receive the answer and retries at the owner, which has the answer. Further keys with the same
    // binding run on the owner without a claim.
    let (mut owner, mut witness) = pair();
    let taken = key(&owner, &witness, "taken", START);
    let next = key(&owner, &witness, "next", START);
    witness.handle_request(first(&taken, 1), START);
    witness.handle_outcome(&taken, Outcome::Answered(b"x".as_slice().into()), START);
    let out = witness.stop(&[OWNER], START + Duration::from_secs(5), START);
    assert_eq!(deliver_all(&mut owner, &mut witness, out, START), []);
    assert!(witness.is_stopped());

    let out = owner.handle_request(request(&taken, 2, tried_both()), START);
    assert!(
        matches!(&out[..], [Action::Answer { attempt_id: 2, .. }]),
        "{out:?}"
    );
    let out = owner.handle_request(first(&next, 3), START);
    assert!(
        matches!(&out[..], [Action::Dispatch { attempt_id: 3, .. }]),
        "{out:?}"
    );
}

#[test]
fn a_stopping_owner_hands_answers_over_and_new_keys_run_on_the_witness() {
    let (mut owner, mut witness) = pair();
    let done = key(&owner, &witness, "done", START);
    let next = key(&owner, &witness, "next", START);
    answered(&mut owner, &mut witness, &done, b"x", START);
    let out = owner.stop(&[WITNESS], START + Duration::from_secs(5), START);
    deliver_all(&mut owner, &mut witness, out, START);
    assert!(owner.is_stopped());

    let out = witness.handle_request(request(&done, 1, tried_both()), START);
    assert!(
        matches!(&out[..], [Action::Answer { attempt_id: 1, .. }]),
        "{out:?}"
    );
    let out = owner.handle_request(first(&next, 2), START);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Stopping));
    let out = witness.handle_request(request(&next, 3, tried_both()), START);
    assert!(
        matches!(&out[..], [Action::Dispatch { attempt_id: 3, .. }]),
        "{out:?}"
    );
}

#[test]
fn a_stop_waits_for_open_requests_until_its_deadline() {
    let (mut owner, mut witness) = pair();
    let key = key(&owner, &witness, "n", START);
    let out = owner.handle_request(first(&key, 1), START);
    deliver_all(&mut owner, &mut witness, out, START);
    let deadline = START + Duration::from_secs(5);
    assert_eq!(owner.stop(&[WITNESS], deadline, START), []);
    assert_eq!(owner.next_wake(), Some(deadline));
    let out = owner.tick(deadline);
    let [
        Action::SendMessage {
            message: Message::Handover(part),
            ..
        },
    ] = &out[..]
    else {
        panic!("{out:?}")
    };
    assert_eq!(part.records[0].end.kind, EndKind::Unknown);
    deliver_all(&mut owner, &mut witness, out, deadline);
    assert!(owner.is_stopped());
}

#[test]
fn only_the_lost_part_of_a_handover_is_resent() {
    let (mut owner, mut witness) = pair();
    for nonce in ["a", "b", "c"] {
        let key = key(&owner, &witness, nonce, START);
        answered(&mut owner, &mut witness, &key, b"x", START);
    }
    let mut parts = owner.stop(&[WITNESS], START + Duration::from_secs(5), START);
    assert_eq!(parts.len(), 2);
    parts.pop();
    deliver_all(&mut owner, &mut witness, parts, START);
    assert_eq!(owner.stats().parts_left, 1);

    let later = owner.next_wake().unwrap();
    let parts = owner.tick(later);
    assert_eq!(parts.len(), 1);
    deliver_all(&mut owner, &mut witness, parts, later);
    assert!(owner.is_stopped());
}

#[test]
fn a_long_handover_keeps_few_parts_in_flight() {
    let limits = Limits {
        max_records: 100,
        part_records: 1,
        ..limits()
    };
    let mut owner = Ledger::open(OWNER, limits, START);
    let mut witness = Ledger::open(WITNESS, limits, START);
    for n in 0..20 {
        let key = key(&owner, &witness, &format!("n{n}"), START);
        answered(&mut owner, &mut witness, &key, b"", START);
    }
    let mut parts = owner.stop(&[WITNESS], START + Duration::from_secs(5), START);
    let mut sent = parts.len();
    while let Some(Action::SendMessage { message, .. }) = parts.pop() {
        assert!(parts.len() < 4, "{} parts in flight", parts.len() + 1);
        let [Action::SendMessage { message, .. }] =
            &witness.handle_message(OWNER, message, START)[..]
        else {
            panic!("no answer")
        };
        let more = owner.handle_message(WITNESS, message.clone(), START);
        sent += more.len();
        parts.extend(more);
    }
    assert_eq!(sent, 20);
    assert!(owner.is_stopped());
}

#[test]
fn a_stop_ends_without_a_peer_that_does_not_answer() {
    let (mut owner, witness) = pair();
    drop(witness);
    owner.stop(&[WITNESS], START + Duration::from_secs(5), START);
    assert!(!owner.is_stopped());
    let mut last = START;
    while let Some(wake) = owner.next_wake() {
        last = wake;
        owner.tick(wake);
    }
    assert!(owner.is_stopped());
    assert_eq!(last, limits().handover_timeout);
}

#[test]
fn the_owner_alone_needs_no_claim() {
    let (mut owner, _) = pair();
    let participant = owner.participant(START);
    let key = Key::bind(participant, participant, "n").unwrap();
    let out = owner.handle_request(first(&key, 1), START);
    assert!(
        matches!(&out[..], [Action::Dispatch { attempt_id: 1, .. }]),
        "{out:?}"
    );
}

#[test]
fn a_request_without_waiters_may_be_cancelled_and_its_claim_is_not_used() {
    let (mut owner, mut witness) = pair();
    let sent = key(&owner, &witness, "sent", START);
    let out = owner.handle_request(first(&sent, 1), START);
    deliver_all(&mut owner, &mut witness, out, START);
    assert_eq!(owner.cancel(1, START), [Action::Cancel { key: sent }]);

    let claiming = key(&owner, &witness, "claiming", START);
    let out = owner.handle_request(first(&claiming, 2), START);
    assert_eq!(owner.cancel(2, START), []);
    assert_eq!(deliver_all(&mut owner, &mut witness, out, START), []);
    let out = owner.handle_request(first(&claiming, 3), START);
    assert_eq!(refusal(&out), (RunStatus::No, RefusalReason::Closed));
}
