//! Registration of a host on the platform's list.

mod common;

use std::time::Duration;

use common::{Deployment, wait_until};

fn names(d: &Deployment) -> Vec<String> {
    // Shows registrations at once, regardless of the list's lag.
    d.list.publish_pending();
    let hosts = d.list.listing().hosts;
    hosts.iter().map(|host| host.name.to_string()).collect()
}

// The platform removes hosts from its list that have not registered for a while. Hosts that
// registered only once, at their start, would be missing seconds later: a host that starts then
// would find no other one and would be alone with all requests of its callers, and hosts of other
// domains, which are known from the list alone, would be forgotten everywhere.
#[tokio::test]
async fn a_host_that_was_dropped_from_the_list_registers_again() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.host("steady", "cluj-a");
    wait_until("it is listed", || names(&d) == ["steady"]).await;
    for _ in 0..3 {
        d.list.deregister("steady");
        assert!(names(&d).is_empty(), "the list dropped it");
        wait_until("it is listed again", || names(&d) == ["steady"]).await;
    }
}

// A host that shuts down registers as leaving, repeatedly, and is removed from the list when it
// ends. It must stay off the list: a later registration would send other hosts to an address
// without a host.
#[tokio::test]
async fn a_host_is_off_the_list_after_its_shutdown() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.host("steady", "cluj-a");
    d.host("leaving", "cluj-b");
    d.apply().await;
    d.settle(1).await;
    let host = d.hosts.pop().expect("just started");
    host.start_shutdown();
    wait_until("it is listed as leaving", || {
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
        .expect("the workers end");
    assert_eq!(names(&d), ["steady"]);
    let reads = d.list.read_count();
    wait_until("others read on", || d.list.read_count() > reads + 8).await;
    assert_eq!(names(&d), ["steady"]);
}
