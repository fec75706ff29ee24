//! A host on the platform's list.

mod common;

use std::time::Duration;

use common::{Deployment, until};

fn names(d: &Deployment) -> Vec<String> {
    // Shows at once what was announced, whatever the list's lag.
    d.list.publish_pending();
    let hosts = d.list.listing().hosts;
    hosts.iter().map(|host| host.name.to_string()).collect()
}

// The operators see: a host that starts finds no other one, and callers that it is alone with all
// they send. Order: the platform takes a host off its list that has not announced itself for a
// while; hosts that announced themselves once, at their start, are gone from it seconds later, and
// hosts of other domains, which are known from the list alone, are forgotten everywhere.
#[tokio::test]
async fn a_host_that_fell_off_the_list_comes_back_on_it() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.host("steady", "cluj-a");
    until("it is listed", || names(&d) == ["steady"]).await;
    for _ in 0..3 {
        d.list.deregister("steady");
        assert!(names(&d).is_empty(), "the list dropped it");
        until("it is listed again", || names(&d) == ["steady"]).await;
    }
}

// The operators see: a host that has ended is off the list, and stays off. Order: it says that it
// leaves, announces that again and again, and is withdrawn when it ends; an announcement after that
// would send other hosts to an address where nobody is.
#[tokio::test]
async fn a_host_that_has_ended_is_off_the_list() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.host("steady", "cluj-a");
    d.host("leaving", "cluj-b");
    d.apply().await;
    d.settle(1).await;
    let host = d.hosts.pop().expect("just started");
    host.start_shutdown();
    until("it is listed as leaving", || {
        d.list.publish_pending();
        let hosts = d.list.listing().hosts;
        hosts
            .iter()
            .any(|host| &*host.name == "leaving" && host.leaving)
    })
    .await;
    tokio::task::spawn_blocking(|| host.wait())
        .await
        .expect("no panic")
        .expect("the duties end");
    assert_eq!(names(&d), ["steady"]);
    let reads = d.list.read_count();
    until("others read on", || d.list.read_count() > reads + 8).await;
    assert_eq!(names(&d), ["steady"]);
}
