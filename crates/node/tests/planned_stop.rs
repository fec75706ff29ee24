//! Planned stops of a host.

mod common;

use std::{sync::Arc, time::Duration};

use common::{Deployment, FIRST, until};
use dunlinrock_node::Host;
use tokio::{io::AsyncWriteExt, net::TcpStream};

const PATH: &str = "/v1/call/records/pay/7";

/// Stops the host at an address, to its end.
async fn stop(d: &mut Deployment, callers: std::net::SocketAddr) {
    let host = take(d, callers);
    host.start_shutdown();
    tokio::task::spawn_blocking(|| host.wait())
        .await
        .expect("no panic")
        .expect("the duties end");
}

fn take(d: &mut Deployment, callers: std::net::SocketAddr) -> Host {
    let at = d
        .hosts
        .iter()
        .position(|host| host.callers_addr() == callers);
    d.hosts.remove(at.expect("a host of the deployment"))
}

// The caller sees: its answer again, from the key's witness. Order: the owner ran the payment and
// stops as planned; it hands its records to the witness before it ends. Without that the witness
// could only say `unknown` for a payment that went well.
#[tokio::test]
async fn the_witness_replays_what_a_stopped_owner_ran() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.bind("records").await;
    let key = format!("{}.n1", bound.prefix);
    let one = d.post(bound.owner, PATH, &key, FIRST).await;
    assert_eq!(one.status, 200, "{one:?}");
    stop(&mut d, bound.owner).await;
    let two = d
        .post(bound.witness, PATH, &key, "owner=1, witness=0")
        .await;
    assert_eq!((two.status, two.body), (one.status, one.body));
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

// The caller sees: its answer. Order: the witness of its key stops as planned before the key comes;
// the owner, which took the witness's records over, needs no claim from it any more.
#[tokio::test]
async fn an_owner_runs_its_keys_after_their_witness_has_stopped() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let bound = d.bind("records").await;
    let key = format!("{}.n1", bound.prefix);
    stop(&mut d, bound.witness).await;
    let one = d.post(bound.owner, PATH, &key, FIRST).await;
    assert_eq!(one.status, 200, "{one:?}");
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

// The operators see: a host that has ended is gone at once, everywhere. Order: it ends as planned;
// the one other host of its domain, just started in its place, knows it from nobody's list any
// more and has no say on its silence, and the one that is left may not say alone that it is gone.
// Without a last word of its own, the host stays a member for as long as it is remembered.
#[tokio::test]
async fn a_host_that_has_ended_is_no_member_any_more() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    for (name, domain) in [("one", "cluj-a"), ("two", "cluj-a"), ("far", "iasi-b")] {
        let mut settings = d.settings(name, domain);
        // So that silence alone tells nothing in the time of this test.
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
        tokio::time::timeout(common::LONG, left)
            .await
            .expect("the host is still a member");
    }
}

// The operators see: a restarted host that serves. Order: it started while its machine's clock stood ahead,
// and starts again with the clock set right. All others know the higher number for the newer process and
// tell the new one to stop; it had not served anybody yet, ends by itself and begins anew above that number.
#[tokio::test]
async fn a_host_that_starts_again_after_its_clock_was_set_back_serves() {
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
    end(ahead).await.expect("no panic").expect("the duties end");
    let back = Host::spawn(settings.clone()).expect("the host starts");
    let earlier = back.higher_incarnation().await;
    end(back).await.expect("no panic").expect("the duties end");
    let anew = Host::spawn_above(settings, earlier).expect("the host starts");
    anew.wait_for(|view| view.ready).await;
    let number = anew.shared().me.incarnation;
    for host in &d.hosts {
        let seen = host.wait_for(|view| view.incarnations.contains_key(&number));
        tokio::time::timeout(common::LONG, seen)
            .await
            .expect("the host is no member");
    }
}

// The callers see: their answers. Order: a search and a payment are at targets when the host is
// asked to stop; it takes no new work, waits for both, and ends.
#[tokio::test]
async fn what_runs_when_a_host_stops_is_answered() {
    let mut d = Deployment::open("cursuri", Duration::from_millis(300));
    d.start().await;
    let bound = d.bind("records").await;
    let key = format!("{}.n1", bound.prefix);
    let host = take(&mut d, bound.owner);
    let d = Arc::new(d);
    let (get, post) = (Arc::clone(&d), Arc::clone(&d));
    let search =
        tokio::spawn(async move { get.get(bound.owner, "/v1/call/catalogue/courses").await });
    let text = key.clone();
    let payment = tokio::spawn(async move { post.post(bound.owner, PATH, &text, FIRST).await });
    let started = || d.targets.iter().map(|t| t.counts().started).sum::<u64>();
    until("both start", || started() == 2).await;
    host.start_shutdown();
    let ended = tokio::task::spawn_blocking(|| host.wait());
    assert_eq!(search.await.expect("no panic").status, 200);
    assert_eq!(payment.await.expect("no panic").status, 200);
    ended.await.expect("no panic").expect("the duties end");
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

// The operators see: the host ends. Order: a caller asks for a large answer, reads none of it, and
// stays; the host's answer fills the connection's buffers and waits. A stop that waits for every
// answer to be read would be held up by one such caller for good.
#[tokio::test]
async fn a_caller_that_does_not_read_its_answer_does_not_hold_a_stop_up() {
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

/// Has a target give answers larger than a connection's buffers.
async fn grow(target: std::net::SocketAddr, d: &Deployment) {
    let answer = d.get(target, "/fake/size?bytes=8000000").await;
    assert_eq!(answer.status, 204);
}
