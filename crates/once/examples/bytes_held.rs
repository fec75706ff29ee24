//! Prints the memory that ledgers use for a request, and the size of their messages.
//!
//! ```text
//! cargo run --release -p dunlinrock-once --example bytes_held
//! ```

use std::{fs, time::Duration};

use dunlinrock_once::{Action, Key, Ledger, Limits, Message, Outcome, PriorAttempts, Request};

const START: Duration = Duration::ZERO;
const STEPS: [u64; 3] = [25_000, 50_000, 100_000];

fn main() {
    println!("answer bytes  requests  resident KB  bytes a request, on both sides together");
    // All ledgers stay allocated, so that none reuses memory that another one has freed.
    let ledgers = [0, 256, 1024].map(fill);
    let (claim, granted) = messages();
    println!("claim: {claim} bytes, its answer: {granted} bytes, as MessagePack with field names");
    drop(ledgers);
}

fn limits() -> Limits {
    Limits {
        max_records: 400_000,
        answer_bytes: usize::MAX,
        ..Limits::default()
    }
}

fn key(owner: &Ledger, witness: &Ledger, n: u64) -> Key {
    let nonce = format!("{:032x}", n.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    Key::bind(owner.participant(START), witness.participant(START), &nonce)
        .expect("the nonce is valid")
}

/// Fills the ledgers of an owner and its witness.
fn fill(answer: usize) -> [Ledger; 2] {
    let mut owner = Ledger::open(u64::MAX / 3, limits(), START);
    let mut witness = Ledger::open(u64::MAX / 5, limits(), START);
    let (mut n, mut last) = (0, (0, resident()));
    for step in STEPS {
        while n < step {
            n += 1;
            run(&mut owner, &mut witness, n, answer);
        }
        let now = resident();
        let grown = (now - last.1) * 1024 / (step - last.0);
        println!("{answer:12}  {step:8}  {now:11}  {grown}");
        last = (step, now);
    }
    assert_eq!(owner.stats().records, witness.stats().records);
    [owner, witness]
}

fn run(owner: &mut Ledger, witness: &mut Ledger, n: u64, answer: usize) {
    let key = key(owner, witness, n);
    let request = Request {
        key: key.clone(),
        fingerprint: n,
        attempts: PriorAttempts::NONE,
        attempt_id: n,
    };
    let claim = single_message(owner.handle_request(request, START));
    let granted = single_message(witness.handle_message(owner.incarnation(), claim, START));
    owner.handle_message(witness.incarnation(), granted, START);
    owner.handle_outcome(&key, Outcome::Answered(vec![0; answer].into()), START);
}

fn single_message(out: Vec<Action>) -> Message {
    match out.into_iter().next() {
        Some(Action::SendMessage { message, .. }) => message,
        other => panic!("expected a message, got {other:?}"),
    }
}

/// Returns the resident memory of this process in KB.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let words = line.and_then(|line| line.split_whitespace().nth(1));
    words.and_then(|kb| kb.parse().ok()).expect("a number")
}

fn messages() -> (usize, usize) {
    let mut owner = Ledger::open(u64::MAX / 3, limits(), START);
    let mut witness = Ledger::open(u64::MAX / 5, limits(), START);
    let request = Request {
        key: key(&owner, &witness, 1),
        fingerprint: u64::MAX,
        attempts: PriorAttempts::NONE,
        attempt_id: 1,
    };
    let claim = single_message(owner.handle_request(request, START));
    let size = |message: &Message| rmp_serde::to_vec_named(message).expect("it encodes").len();
    let claim_size = size(&claim);
    let granted = single_message(witness.handle_message(owner.incarnation(), claim, START));
    (claim_size, size(&granted))
}
