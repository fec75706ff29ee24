//! Tests of the caller: cached lookups, and idempotency keys that are kept over retries and
//! replaced only after a definite `run: no`.

mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use dunlinrock::caller::{CallRequest, CallResult, Caller, CallerOptions, Outcome};
use dunlinrock_schema::api::Run;
use support::{
    block_on,
    scripted_host::{
        RecordedRequest, ScriptedHost, ScriptedResponse, hosts, problem, problem_body,
        target_response,
    },
};

const LONG: Duration = Duration::from_secs(60);
const HOUR_MS: u64 = 3_600_000;

fn caller(start: SocketAddr) -> Caller {
    Caller::open(CallerOptions {
        name: "school-7".into(),
        seeds: vec![start],
        local_addr: None,
        attempts: 4,
        seed: 1,
    })
}

fn request(at_most_once: bool) -> CallRequest {
    CallRequest {
        service: "catalogue".into(),
        method: if at_most_once { "POST" } else { "GET" }.parse().unwrap(),
        path: "/seats/4".into(),
        body: "seat".into(),
        timeout: LONG,
        at_most_once,
    }
}

/// Starts a host that responds to lookups by `found` and to requests by `script`.
async fn host(
    found: impl Fn() -> ScriptedResponse + Send + Sync + 'static,
    script: impl Fn(&RecordedRequest) -> ScriptedResponse + Send + Sync + 'static,
) -> ScriptedHost {
    ScriptedHost::open(move |seen| {
        if seen.is_lookup() {
            found()
        } else {
            script(seen)
        }
    })
    .await
}

/// Runs one at-most-once request against an owner and a witness.
async fn at_most_once(
    owner: impl Fn(&RecordedRequest) -> ScriptedResponse + Send + Sync + 'static,
    witness: impl Fn(&RecordedRequest) -> ScriptedResponse + Send + Sync + 'static,
) -> (CallResult, Vec<RecordedRequest>, Vec<RecordedRequest>) {
    let owner = ScriptedHost::open(owner).await;
    let witness = ScriptedHost::open(witness).await;
    let bound = (owner.addr, witness.addr);
    let start = host(
        move || hosts(&[bound.0], Some(bound), HOUR_MS),
        |_| ScriptedResponse::Close,
    )
    .await;
    let result = caller(start.addr).call(&request(true)).await;
    (result, owner.calls(), witness.calls())
}

fn keys(seen: &[RecordedRequest]) -> Vec<&str> {
    seen.iter().map(|s| s.header("idempotency-key")).collect()
}

fn attempts(seen: &[RecordedRequest]) -> Vec<&str> {
    seen.iter()
        .map(|s| s.header("dunlinrock-attempts"))
        .collect()
}

#[test]
fn a_lookup_is_cached_until_its_ttl_expires() {
    for (ttl, lookups) in [(HOUR_MS, 1), (0, 3)] {
        block_on(async move {
            let target = ScriptedHost::open(|_| target_response("{}")).await;
            let at = target.addr;
            let start = host(move || hosts(&[at], None, ttl), |_| ScriptedResponse::Close).await;
            // Once a lookup has named other hosts, later lookups go to those and not to the seed.
            let start_only = caller(start.addr);
            start_only.call(&request(false)).await;
            if ttl > 0 {
                start_only.call(&request(false)).await;
                assert_eq!(start.lookups() + target.lookups(), lookups);
                assert_eq!(target.calls().len(), 2);
            } else {
                start_only.call(&request(false)).await;
                assert!(target.lookups() > 0, "an expired lookup is repeated");
            }
        });
    }
}

/// A caller gave its requests up when four lookups in a row failed, as they do at hosts that were
/// paused, although the hosts answered again long before the deadline.
#[test]
fn a_request_waits_for_hosts_that_answer_no_lookups_for_a_while() {
    for at_most_once in [false, true] {
        block_on(async move {
            let target = ScriptedHost::open(|_| target_response("{}")).await;
            let at = target.addr;
            let failures = AtomicUsize::new(6);
            let found = move || match failures.load(Ordering::Relaxed) {
                0 => hosts(&[at], Some((at, at)), HOUR_MS),
                left => {
                    failures.store(left - 1, Ordering::Relaxed);
                    problem(Run::No, Some(500))
                }
            };
            let start = host(found, |_| ScriptedResponse::Close).await;
            let result = caller(start.addr).call(&request(at_most_once)).await;
            assert!(matches!(result.outcome, Outcome::Answered(_)), "{result:?}");
        });
    }
}

/// A service that no host knows is reported at once: to ask again would hold the caller until its
/// deadline.
#[test]
fn a_lookup_of_an_unknown_service_is_not_repeated() {
    block_on(async {
        let unknown = || ScriptedResponse::Reply(404, "application/json", b"{}".to_vec());
        let start = host(unknown, |_| ScriptedResponse::Close).await;
        let result = caller(start.addr).call(&request(false)).await;
        assert!(matches!(result.outcome, Outcome::NotRun(_)), "{result:?}");
        assert_eq!(start.lookups(), 4);
    });
}

#[test]
fn a_request_states_its_caller_and_its_timeout() {
    block_on(async {
        let target = ScriptedHost::open(|_| target_response("{}")).await;
        let at = target.addr;
        let start = host(
            move || hosts(&[at], None, HOUR_MS),
            |_| ScriptedResponse::Close,
        )
        .await;
        let result = caller(start.addr).call(&request(false)).await;
        assert!(matches!(result.outcome, Outcome::Answered(_)));
        let seen = &target.calls()[0];
        assert_eq!(seen.path, "/v1/call/catalogue/seats/4");
        assert_eq!(seen.header("dunlinrock-caller"), "school-7");
        let time: u64 = seen.header("dunlinrock-timeout-ms").parse().unwrap();
        assert!((1..=60_000).contains(&time));
        assert_eq!(
            seen.header("idempotency-key"),
            "",
            "an idempotent request carries no key"
        );
    });
}

#[test]
fn an_idempotent_request_is_retried_on_another_host() {
    block_on(async {
        let broken = ScriptedHost::open(|_| ScriptedResponse::Close).await;
        let sound = ScriptedHost::open(|_| target_response("{}")).await;
        let at = [broken.addr, sound.addr];
        let start = host(move || hosts(&at, None, 0), |_| ScriptedResponse::Close).await;
        let result = caller(start.addr).call(&request(false)).await;
        assert!(matches!(result.outcome, Outcome::Answered(a) if a.host == sound.addr));
    });
}

#[test]
fn a_lost_response_is_retried_under_the_same_key_at_the_witness() {
    // The owner receives the request and closes the connection. The request may have run, so the
    // caller must not use a new key. It retries at the witness and states that the owner has
    // received the key; otherwise the witness could wrongly answer `run: no`.
    block_on(async {
        let (result, owner, witness) =
            at_most_once(|_| ScriptedResponse::Close, |_| target_response("{}")).await;
        assert!(matches!(result.outcome, Outcome::Answered(_)));
        assert_eq!(keys(&owner), keys(&witness));
        assert!(keys(&owner)[0].starts_with("1.0.2.0."));
        assert_eq!(attempts(&owner), ["owner=0, witness=0"]);
        assert_eq!(attempts(&witness), ["owner=1, witness=0"]);
        assert_eq!((result.attempts, result.not_run_keys.len()), (2, 0));
    });
}

#[test]
fn an_owner_that_was_not_reached_does_not_count_as_an_attempt() {
    block_on(async {
        let gone: SocketAddr = support::program::unused_addr().parse().unwrap();
        let witness = ScriptedHost::open(|_| target_response("{}")).await;
        let bound = (gone, witness.addr);
        let start = host(
            move || hosts(&[gone], Some(bound), HOUR_MS),
            |_| ScriptedResponse::Close,
        )
        .await;
        let result = caller(start.addr).call(&request(true)).await;
        assert!(matches!(result.outcome, Outcome::Answered(_)));
        assert_eq!(attempts(&witness.calls()), ["owner=0, witness=0"]);
    });
}

#[test]
fn callers_with_the_same_seed_use_different_keys() {
    // A load is run twice with the same seed against the same hosts. With equal nonces the second
    // run would reuse the first one's keys for other requests, which would be refused.
    block_on(async {
        let (_, first, _) =
            at_most_once(|_| target_response("{}"), |_| ScriptedResponse::Close).await;
        let (_, second, _) =
            at_most_once(|_| target_response("{}"), |_| ScriptedResponse::Close).await;
        assert_ne!(keys(&first), keys(&second));
    });
}

#[test]
fn a_run_no_with_a_retry_delay_is_retried_under_a_new_key() {
    block_on(async {
        let answers = Arc::new(std::sync::atomic::AtomicU32::new(0));
        let owner = move |_: &RecordedRequest| match answers
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed)
        {
            0 => problem(Run::No, Some(1)),
            _ => target_response("{}"),
        };
        let (result, owner, witness) = at_most_once(owner, |_| ScriptedResponse::Close).await;
        assert!(matches!(result.outcome, Outcome::Answered(_)));
        let keys = keys(&owner);
        assert_eq!((keys.len(), witness.len()), (2, 0));
        assert_ne!(keys[0], keys[1]);
        assert_eq!(result.not_run_keys, [keys[0].into()]);
        assert_eq!(result.key.as_deref(), Some(keys[1]));
    });
}

#[test]
fn a_run_no_without_a_retry_delay_ends_the_request() {
    block_on(async {
        let (result, owner, _) =
            at_most_once(|_| problem(Run::No, None), |_| ScriptedResponse::Close).await;
        assert!(matches!(result.outcome, Outcome::NotRun(_)));
        assert_eq!((owner.len(), result.not_run_keys.len()), (1, 1));
    });
}

#[test]
fn a_run_no_counts_only_for_the_latest_attempt() {
    block_on(async {
        let (result, owner, witness) =
            at_most_once(|_| ScriptedResponse::Close, |_| problem(Run::No, None)).await;
        assert!(matches!(result.outcome, Outcome::NotRun(_)));
        assert_eq!((owner.len(), witness.len()), (1, 1));

        // Without a `run: no` the caller reports an unknown outcome.
        let (result, owner, witness) =
            at_most_once(|_| problem(Run::Unknown, None), |_| ScriptedResponse::Close).await;
        assert!(matches!(result.outcome, Outcome::Unknown(_)));
        assert_eq!((owner.len(), witness.len()), (2, 2));
        assert_eq!(keys(&owner)[0], keys(&witness)[1]);
        assert_eq!(attempts(&witness)[1], "owner=2, witness=1");
        assert!(result.not_run_keys.is_empty());
    });
}

#[test]
fn a_request_whose_response_was_lost_is_not_retried() {
    block_on(async {
        let (result, owner, witness) =
            at_most_once(|_| problem(Run::Yes, Some(1)), |_| ScriptedResponse::Close).await;
        assert!(matches!(result.outcome, Outcome::ResponseLost));
        assert_eq!((owner.len(), witness.len()), (1, 0));
    });
}

#[test]
fn a_host_that_never_responds_is_given_up_at_the_deadline() {
    block_on(async {
        let silent = ScriptedHost::open(|_| ScriptedResponse::Silence).await;
        let at = silent.addr;
        let start = host(
            move || hosts(&[at], Some((at, at)), HOUR_MS),
            |_| ScriptedResponse::Close,
        )
        .await;
        for at_most_once in [false, true] {
            let request = CallRequest {
                timeout: Duration::from_millis(20),
                ..request(at_most_once)
            };
            let result = caller(start.addr).call(&request).await;
            assert!(matches!(result.outcome, Outcome::Unknown(_)));
            assert_eq!(result.attempts, 1);
        }
    });
}

#[test]
fn a_response_just_after_the_deadline_is_received() {
    // A host gives up a request at its deadline and answers that it did not run. A caller that
    // disconnects at the same moment would have to report an unknown outcome.
    block_on(async {
        let late = ScriptedHost::open(|_| ScriptedResponse::Late(problem_body(Run::No))).await;
        let at = late.addr;
        let start = host(
            move || hosts(&[at], Some((at, at)), HOUR_MS),
            |_| ScriptedResponse::Close,
        )
        .await;
        let request = CallRequest {
            timeout: Duration::from_millis(20),
            ..request(true)
        };
        let result = caller(start.addr).call(&request).await;
        assert!(matches!(result.outcome, Outcome::NotRun(_)), "{result:?}");
    });
}

#[test]
fn a_caller_without_reachable_hosts_reports_not_run() {
    block_on(async {
        let gone = support::program::unused_addr().parse().unwrap();
        for at_most_once in [false, true] {
            let result = caller(gone).call(&request(at_most_once)).await;
            assert!(matches!(result.outcome, Outcome::NotRun(_)));
            assert_eq!(result.attempts, 0);
        }
    });
}
