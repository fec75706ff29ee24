//! Graceful shutdowns of hosts.

mod common;

use std::{sync::Arc, time::Duration};

use common::{Deployment, FIRST_ATTEMPT, kind, problem, wait_until};
use dunlinrock_node::{Host, wire::Answer};
use dunlinrock_schema::{api::Run, config::Config};
use tokio::{io::AsyncWriteExt, net::TcpStream};

const PATH: &str = "/v1/call/records/pay/7";

/// Shuts down the host with this address and waits for its end.
async fn stop(d: &mut Deployment, callers: std::net::SocketAddr) {
    let host = take(d, callers);
    host.start_shutdown();
    tokio::task::spawn_blocking(|| host.wait())
        .await
        .expect("no panic")
        .expect("the workers end");
}

fn take(d: &mut Deployment, callers: std::net::SocketAddr) -> Host {
    let at = d
        .hosts
        .iter()
        .position(|host| host.callers_addr() == callers);
    d.hosts.remove(at.expect("a host of the deployment"))
}

// The owner of a key runs a payment and then shuts down, which transfers its records to the
// witness. A retry at the witness gets the original response. Without the transfer, the witness
// could only answer `unknown` for a payment that succeeded.
#[tokio::test]
async fn the_witness_replays_the_responses_of_an_owner_after_its_shutdown() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.binding("records").await;
    let key = format!("{}.n1", bound.prefix);
    let one = d.post(bound.owner, PATH, &key, FIRST_ATTEMPT).await;
    assert_eq!(one.status, 200, "{one:?}");
    stop(&mut d, bound.owner).await;
    let two = d
        .post(bound.witness, PATH, &key, "owner=1, witness=0")
        .await;
    assert_eq!((two.status, two.body), (one.status, one.body));
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

// The witness of a key shuts down before the request arrives. The owner has taken over the
// witness's records, needs no claim from it any more, and runs the request.
#[tokio::test]
async fn an_owner_runs_its_keys_after_the_shutdown_of_their_witness() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.binding("records").await;
    let key = format!("{}.n1", bound.prefix);
    stop(&mut d, bound.witness).await;
    let one = d.post(bound.owner, PATH, &key, FIRST_ATTEMPT).await;
    assert_eq!(one.status, 200, "{one:?}");
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

// A host that has shut down is removed from all views at once. The only other host of its domain
// has just started in its place, has never seen it on a list and cannot vote on its silence; the
// remaining host may not decide alone that it is gone. Without a final announcement of its own, the
// ended host would stay a member for as long as it is remembered.
#[tokio::test]
async fn a_host_is_no_member_after_its_shutdown() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    for (name, domain) in [("one", "cluj-a"), ("two", "cluj-a"), ("far", "iasi-b")] {
        let mut settings = d.settings(name, domain);
        // Silence alone must not remove the host during this test.
        settings.timing.as_mut().expect("set by the tests").gone_ms = 3_600_000;
        d.hosts
            .push(Host::spawn(settings).expect("the host starts"));
    }
    d.apply().await;
    d.settle(1).await;
    let callers = d.hosts[0].callers_addr();
    stop(&mut d, callers).await;
    for host in &d.hosts {
        let left = host.wait_for(|view| !view.members.contains_key("one"));
        tokio::time::timeout(common::HANG_TIMEOUT, left)
            .await
            .expect("the host is still a member");
    }
}

// A host starts while its machine's clock is ahead, and restarts after the clock was set back. The
// other hosts take the higher incarnation for the newer process and tell the new one to stop. The
// new process has not served any request yet; it ends and starts again with an incarnation above
// the earlier one, and then serves.
#[tokio::test]
async fn a_host_that_restarts_after_its_clock_was_set_back_serves() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let settings = d.settings("again", "cluj-a");
    let ahead = Host::spawn_above(settings.clone(), u64::MAX >> 1).expect("the host starts");
    ahead
        .wait_for(|view| view.ready && view.members.len() > 1)
        .await;
    for host in &d.hosts {
        host.wait_for(|view| view.members.contains_key("again"))
            .await;
    }
    ahead.start_shutdown();
    let end = |host: Host| tokio::task::spawn_blocking(|| host.wait());
    end(ahead)
        .await
        .expect("no panic")
        .expect("the workers end");
    let back = Host::spawn(settings.clone()).expect("the host starts");
    let earlier = back.higher_incarnation().await;
    end(back).await.expect("no panic").expect("the workers end");
    let anew = Host::spawn_above(settings, earlier).expect("the host starts");
    anew.wait_for(|view| view.ready).await;
    let number = anew.shared().me.incarnation;
    for host in &d.hosts {
        let seen = host.wait_for(|view| view.incarnations.contains_key(&number));
        tokio::time::timeout(common::HANG_TIMEOUT, seen)
            .await
            .expect("the host is no member");
    }
}

// A host that is stopping waits for a payment and gets new keys from callers with old look-ups. It
// refuses them as not run. The callers must be told when to send new keys: without that they give up.
#[tokio::test]
async fn a_key_refused_by_a_stopping_host_may_be_replaced_by_a_new_one() {
    let mut d = Deployment::open("cursuri", Duration::from_secs(2));
    d.start().await;
    let bound = d.binding("records").await;
    let host = take(&mut d, bound.owner);
    let d = Arc::new(d);
    host.start_shutdown();
    let ended = tokio::task::spawn_blocking(|| host.wait());
    let mut payments = tokio::task::JoinSet::new();
    let refused = loop {
        let (d, key) = (
            Arc::clone(&d),
            format!("{}.n{}", bound.prefix, payments.len()),
        );
        let owner = bound.owner;
        payments.spawn(async move { d.post(owner, PATH, &key, FIRST_ATTEMPT).await });
        tokio::time::sleep(Duration::from_millis(20)).await;
        let done = payments
            .try_join_next()
            .map(|answer| answer.expect("no panic"));
        if let Some(answer) = done.filter(|answer| answer.status != 200) {
            break problem(&answer);
        }
    };
    assert_eq!(
        (kind(&refused), refused.run),
        ("not-ready", Run::No),
        "{refused:?}"
    );
    assert!(refused.retry_after_ms.is_some(), "{refused:?}");
    while let Some(answer) = payments.join_next().await {
        answer.expect("no panic");
    }
    ended.await.expect("no panic").expect("the workers end");
}

// The only host of a region stops while that region serves all requests of the callers. Until the
// host was gone, the others told callers every 250 ms to try again, so that callers used up their
// attempts before the wait that the cap on moves asks for. They must be told that wait from the
// notice on.
#[tokio::test]
async fn the_wait_for_a_region_that_is_left_is_told_from_the_notice_on() {
    let all_in_cluj = |config: &mut Config| {
        config.blocks = [("127.0.0.0/8".into(), "cluj".into())].into();
        let service = config.services.get_mut("catalogue").expect("known");
        service.spread = [("cluj".into(), [("cluj".into(), 1.0)].into())].into();
    };
    let mut d = Deployment::open_with("cursuri", Duration::ZERO, all_in_cluj);
    d.host("leaves", "cluj-a");
    d.host("stays", "bucharest-a");
    d.apply().await;
    d.settle(1).await;
    let (leaves, stays) = (&d.hosts[0], &d.hosts[1]);
    let path = "/v1/call/catalogue/courses";
    let in_cluj = |answer: &Answer| {
        let served: serde_json::Value = serde_json::from_slice(&answer.body).expect("an object");
        let target = served["target"]
            .as_str()
            .and_then(|name| d.config.targets.get(name));
        target.is_some_and(|target| target.domain.starts_with("cluj"))
    };
    while !in_cluj(&d.get(stays.callers_addr(), path).await) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    leaves.start_shutdown();
    let left = stays.wait_for(|view| view.members.get("leaves").is_none_or(|m| m.leaving));
    tokio::time::timeout(common::HANG_TIMEOUT, left)
        .await
        .expect("the notice arrives");
    let told = problem(&d.get(stays.callers_addr(), path).await);
    assert!(told.detail.contains("moves to another region"), "{told:?}");
}

// A search and a payment run at targets when the host shuts down. The host accepts no new requests,
// waits for both to finish, and both callers get their responses.
#[tokio::test]
async fn requests_in_flight_at_a_shutdown_are_answered() {
    let mut d = Deployment::open("cursuri", Duration::from_millis(300));
    d.start().await;
    let bound = d.binding("records").await;
    let key = format!("{}.n1", bound.prefix);
    let host = take(&mut d, bound.owner);
    let d = Arc::new(d);
    let (get, post) = (Arc::clone(&d), Arc::clone(&d));
    let search =
        tokio::spawn(async move { get.get(bound.owner, "/v1/call/catalogue/courses").await });
    let text = key.clone();
    let payment =
        tokio::spawn(async move { post.post(bound.owner, PATH, &text, FIRST_ATTEMPT).await });
    let started = || d.targets.iter().map(|t| t.counts().started).sum::<u64>();
    wait_until("both start", || started() == 2).await;
    host.start_shutdown();
    let ended = tokio::task::spawn_blocking(|| host.wait());
    assert_eq!(search.await.expect("no panic").status, 200);
    assert_eq!(payment.await.expect("no panic").status, 200);
    ended.await.expect("no panic").expect("the workers end");
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

// A caller requests a large response, reads none of it and keeps its connection open; the response
// fills the buffers of the connection. The host must end all the same: a shutdown that waits until
// every response is read would be blocked indefinitely by one such caller.
#[tokio::test]
async fn a_caller_that_does_not_read_its_response_does_not_block_a_shutdown() {
    let mut d = Deployment::open_with("cursuri", Duration::ZERO, |_| {});
    d.start().await;
    for target in d.targets.iter() {
        grow(target.addr(), &d).await;
    }
    let callers = d.hosts[0].callers_addr();
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    let head = "GET /v1/call/catalogue/courses HTTP/1.1\r\nhost: h\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.readable().await.expect("the answer begins");
    stop(&mut d, callers).await;
    drop(stream);
}

/// Makes a target send responses larger than a connection's buffers.
async fn grow(target: std::net::SocketAddr, d: &Deployment) {
    let answer = d.get(target, "/fake/size?bytes=8000000").await;
    assert_eq!(answer.status, 204);
}
