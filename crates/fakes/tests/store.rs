//! The store: preconditions, watches, leases, limits and faults.

mod support;

use std::{future::Future, time::Duration};

use dunlinrock_fakes::{OutageKind, Store, StoreOptions};
use dunlinrock_schema::store::{Keys, Lease, StoreCounts};
use support::{Response, block_on, send};

fn store() -> Store {
    Store::bind("127.0.0.1:0", StoreOptions::default()).unwrap()
}

async fn get(store: &Store, key: &str, headers: &[(&str, &str)]) -> anyhow::Result<Response> {
    send(store.addr(), &format!("GET /v1/kv/{key}"), headers, "").await
}

async fn put(
    store: &Store,
    key: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> anyhow::Result<Response> {
    send(store.addr(), &format!("PUT /v1/kv/{key}"), headers, body).await
}

async fn post(store: &Store, path: &str) -> Response {
    send(store.addr(), &format!("POST {path}"), &[], "")
        .await
        .unwrap()
}

/// Runs `change` after the store has counted a watch.
async fn once_watched(store: &Store, change: impl Future<Output = ()>) {
    while store.counts().watches == 0 {
        tokio::task::yield_now().await;
    }
    change.await;
}

#[test]
fn a_value_is_read_back_with_the_version_of_its_write() {
    let store = store();
    block_on(async {
        let absent = get(&store, "a/b", &[]).await.unwrap();
        assert_eq!(
            (absent.status.as_u16(), absent.header("etag")),
            (404, "\"0\"")
        );
        let wrote = put(&store, "a/b", &[], "one").await.unwrap();
        assert_eq!(wrote.status, 201);
        let read = get(&store, "a/b", &[]).await.unwrap();
        assert_eq!((read.status.as_u16(), &read.body[..]), (200, &b"one"[..]));
        assert_eq!(read.header("etag"), wrote.header("etag"));
    });
}

#[test]
fn a_compare_and_swap_takes_effect_only_on_its_version() {
    let store = store();
    block_on(async {
        let first = put(&store, "k", &[("if-match", "\"0\"")], "one")
            .await
            .unwrap();
        assert_eq!(first.status, 201);
        let again = put(&store, "k", &[("if-match", "\"0\"")], "two")
            .await
            .unwrap();
        assert_eq!(again.status, 412);
        assert_eq!(again.header("etag"), first.header("etag"));
        let tag = first.header("etag").to_owned();
        let second = put(&store, "k", &[("if-match", &tag)], "two")
            .await
            .unwrap();
        assert_eq!(second.status, 200);
        let late = put(&store, "k", &[("if-match", &tag)], "three")
            .await
            .unwrap();
        assert_eq!(late.status, 412);
        assert_eq!(store.read_direct("k").unwrap().0, "two");
        assert_eq!(store.counts().conflicts, 2);
    });
}

#[test]
fn a_precondition_that_is_no_version_is_rejected_and_writes_nothing() {
    let store = store();
    block_on(async {
        let res = put(&store, "k", &[("if-match", "\"x\"")], "one")
            .await
            .unwrap();
        assert_eq!(res.status, 400);
        assert_eq!(store.read_direct("k"), None);
    });
}

#[test]
fn a_version_is_never_reused_even_after_a_deletion() {
    let store = store();
    block_on(async {
        let first = put(&store, "k", &[], "one").await.unwrap();
        let tag = first.header("etag").to_owned();
        let gone = send(store.addr(), "DELETE /v1/kv/k", &[("if-match", &tag)], "").await;
        assert_eq!(gone.unwrap().status, 204);
        let second = put(&store, "k", &[], "one").await.unwrap();
        assert_ne!(second.header("etag"), tag);
        let stale = send(store.addr(), "DELETE /v1/kv/k", &[("if-match", &tag)], "").await;
        assert_eq!(stale.unwrap().status, 412);
    });
}

#[test]
fn a_watch_ends_with_the_new_value_and_counts_once() {
    let store = store();
    block_on(async {
        let watch = [("if-none-match", "\"0\""), ("prefer", "wait=60")];
        let watch = get(&store, "k", &watch);
        let change = once_watched(&store, async {
            put(&store, "other", &[], "noise").await.unwrap();
            put(&store, "k", &[], "one").await.unwrap();
        });
        let (seen, ()) = futures::join!(watch, change);
        let seen = seen.unwrap();
        assert_eq!((seen.status.as_u16(), &seen.body[..]), (200, &b"one"[..]));
        let counts = store.counts();
        assert_eq!((counts.watches, counts.reads, counts.writes), (1, 0, 2));
    });
}

#[test]
fn a_watch_without_a_change_ends_unchanged_after_its_wait() {
    let store = store();
    block_on(async {
        let tag = format!("\"{}\"", store.write_direct("k", "one"));
        let watch = [("if-none-match", tag.as_str()), ("prefer", "wait=0.02")];
        let res = get(&store, "k", &watch).await.unwrap();
        assert_eq!(
            (res.status.as_u16(), res.header("etag")),
            (304, tag.as_str())
        );
        let plain = get(&store, "k", &watch[..1]).await.unwrap();
        assert_eq!(plain.status, 304);
    });
}

#[test]
fn a_watch_on_a_key_that_is_deleted_ends_with_not_found() {
    let store = store();
    block_on(async {
        let tag = format!("\"{}\"", store.write_direct("k", "one"));
        let watch = [("if-none-match", tag.as_str()), ("prefer", "wait=60")];
        let watch = get(&store, "k", &watch);
        let change = once_watched(&store, async {
            let res = send(store.addr(), "DELETE /v1/kv/k", &[], "").await;
            assert_eq!(res.unwrap().status, 204);
        });
        let (seen, ()) = futures::join!(watch, change);
        assert_eq!(seen.unwrap().status, 404);
    });
}

#[test]
fn a_value_over_the_limit_is_refused() {
    let store = store();
    block_on(async {
        let big = vec![b'x'; (1 << 20) + 1];
        let res = send(store.addr(), "PUT /v1/kv/k", &[], big.clone())
            .await
            .unwrap();
        assert_eq!(res.status, 413);
        let fits = send(store.addr(), "PUT /v1/kv/k", &[], big[1..].to_vec())
            .await
            .unwrap();
        assert_eq!(fits.status, 201);
    });
}

#[test]
fn a_listing_names_the_keys_under_a_prefix_in_order() {
    let store = store();
    block_on(async {
        for key in ["p/b", "q/a", "p/a", "o"] {
            store.write_direct(key, "v");
        }
        let res = send(store.addr(), "GET /v1/keys?prefix=p/", &[], "")
            .await
            .unwrap();
        let keys: Keys = res.json();
        let names: Vec<&str> = keys.keys.iter().map(|k| &*k.key).collect();
        assert_eq!(names, ["p/a", "p/b"]);
        assert_eq!(keys.keys[0].version, store.read_direct("p/a").unwrap().1);
    });
}

#[test]
fn an_expired_lease_removes_its_keys_and_cannot_be_renewed() {
    // The holder of a lease pauses for longer than its TTL. Its key is removed, which ends a watch of
    // another host. When the holder resumes, it still assumes that it holds the lease: both the
    // renewal and a write under the lease must fail.
    let store = store();
    block_on(async {
        let lease: Lease = post(&store, "/v1/leases?ttl_ms=3600000").await.json();
        let id = lease.id.to_string();
        let held = [("store-lease", id.as_str())];
        let wrote = put(&store, "k", &held, "mine").await.unwrap();
        let renew = format!("/v1/leases/{id}");
        assert_eq!(post(&store, &renew).await.json::<Lease>(), lease);
        let watch = [
            ("if-none-match", wrote.header("etag")),
            ("prefer", "wait=60"),
        ];
        let watch = get(&store, "k", &watch);
        let pause = once_watched(&store, async { assert!(store.expire_lease(lease.id)) });
        let (seen, ()) = futures::join!(watch, pause);
        assert_eq!(seen.unwrap().status, 404);
        assert_eq!(post(&store, &renew).await.status, 404);
        assert_eq!(put(&store, "k", &held, "mine").await.unwrap().status, 404);
    });
}

#[test]
fn a_lease_that_is_not_renewed_expires() {
    let store = store();
    block_on(async {
        let lease: Lease = post(&store, "/v1/leases?ttl_ms=20").await.json();
        let id = lease.id.to_string();
        let wrote = put(&store, "k", &[("store-lease", &id)], "mine")
            .await
            .unwrap();
        // The key may be removed before or during the watch; the watch returns 404 in both cases.
        let watch = [
            ("if-none-match", wrote.header("etag")),
            ("prefer", "wait=60"),
        ];
        assert_eq!(get(&store, "k", &watch).await.unwrap().status, 404);
        assert_eq!(store.read_direct("k"), None);
    });
}

#[test]
fn calls_over_the_rate_limit_are_refused_with_the_time_to_wait() {
    let options = StoreOptions {
        writes: 1e-3,
        reads: 1e-3,
        burst: 1.0,
        ..StoreOptions::default()
    };
    let store = Store::bind("127.0.0.1:0", options).unwrap();
    block_on(async {
        assert_eq!(put(&store, "k", &[], "one").await.unwrap().status, 201);
        let over = put(&store, "k", &[], "two").await.unwrap();
        assert_eq!(over.status, 429);
        assert!(over.header("retry-after").parse::<u64>().unwrap() > 1);
        assert_eq!(get(&store, "k", &[]).await.unwrap().status, 200);
        assert_eq!(get(&store, "k", &[]).await.unwrap().status, 429);
        assert_eq!(store.counts().limited, 2);
        store.set_limits(StoreOptions::default());
        assert_eq!(put(&store, "k", &[], "three").await.unwrap().status, 200);
    });
}

#[test]
fn a_write_whose_response_is_dropped_takes_effect() {
    // A compare-and-swap takes effect, but its connection closes without a response, so the outcome
    // is unknown to the writer. Its retry fails, since the version differs.
    let store = store();
    block_on(async {
        store.drop_responses(1);
        let create = [("if-match", "\"0\"")];
        assert!(put(&store, "k", &create, "one").await.is_err());
        assert_eq!(store.read_direct("k").unwrap().0, "one");
        assert_eq!(put(&store, "k", &create, "one").await.unwrap().status, 412);
        assert_eq!(store.counts().lost, 1);
    });
}

#[test]
fn a_write_whose_response_is_withheld_takes_effect() {
    let store = store();
    block_on(async {
        store.withhold_responses(Some("k"));
        let write = put(&store, "k", &[], "one");
        let seen = async {
            while store.read_direct("k").is_none() {
                tokio::task::yield_now().await;
            }
            put(&store, "other", &[], "two").await.unwrap()
        };
        tokio::select! {
            _ = write => panic!("the response was sent"),
            other = seen => assert_eq!(other.status, 201),
        }
        store.withhold_responses(None);
        assert_eq!(put(&store, "k", &[], "three").await.unwrap().status, 200);
    });
}

#[test]
fn a_delayed_write_takes_effect_although_its_writer_timed_out() {
    let store = store();
    block_on(async {
        store.set_delay(Duration::from_secs(3600));
        let write = put(&store, "k", &[], "one");
        let seen = async {
            while store.read_direct("k").is_none() {
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            _ = write => panic!("the response was sent"),
            () = seen => {}
        }
        store.set_delay(Duration::ZERO);
        assert_eq!(get(&store, "k", &[]).await.unwrap().body, "one");
    });
}

#[test]
fn a_store_that_is_down_fails_each_call_by_kind_of_outage_and_keeps_its_values() {
    let store = store();
    block_on(async {
        store.write_direct("k", "one");
        store.down(OutageKind::Unavailable);
        assert_eq!(get(&store, "k", &[]).await.unwrap().status, 503);
        for down in [OutageKind::Close, OutageKind::Refuse] {
            store.down(down);
            assert!(get(&store, "k", &[]).await.is_err(), "{down:?}");
        }
        store.up();
        assert_eq!(get(&store, "k", &[]).await.unwrap().body, "one");
        assert_eq!(store.counts().failed, 2);
    });
}

#[test]
fn an_outage_ends_waiting_watches() {
    for down in [
        OutageKind::Unavailable,
        OutageKind::Close,
        OutageKind::Refuse,
    ] {
        let store = store();
        block_on(async {
            let watch = [("if-none-match", "\"0\""), ("prefer", "wait=60")];
            let watch = get(&store, "k", &watch);
            let outage = once_watched(&store, async { store.down(down) });
            let (seen, ()) = futures::join!(watch, outage);
            assert_eq!(
                seen.is_ok_and(|res| res.status == 503),
                down == OutageKind::Unavailable
            );
        });
    }
}

#[test]
fn faults_can_be_set_over_http() {
    let store = store();
    block_on(async {
        post(&store, "/fake/down?how=unavailable").await;
        assert_eq!(get(&store, "k", &[]).await.unwrap().status, 503);
        post(&store, "/fake/up").await;
        post(&store, "/fake/lose?writes=1").await;
        assert!(put(&store, "k", &[], "one").await.is_err());
        post(&store, "/fake/limit?reads=0.001&burst=1").await;
        assert_eq!(get(&store, "k", &[]).await.unwrap().status, 200);
        assert_eq!(get(&store, "k", &[]).await.unwrap().status, 429);
        let counts: StoreCounts = post(&store, "/fake/counts").await.json();
        assert_eq!(counts, store.counts());
        assert_eq!(post(&store, "/fake/nothing").await.status, 404);
    });
}

#[test]
fn a_stopped_store_refuses_connections() {
    let store = store();
    let addr = store.addr();
    store.stop();
    block_on(async {
        assert!(send(addr, "GET /v1/kv/k", &[], "").await.is_err());
    });
}

#[test]
fn a_busy_port_is_named_in_the_error() {
    let store = store();
    let addr = store.addr().to_string();
    let error = Store::bind(&addr, StoreOptions::default()).err().unwrap();
    assert_eq!(error.to_string(), format!("binding {addr}"));
}
