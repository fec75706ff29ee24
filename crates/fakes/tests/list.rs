//! The list of hosts: delayed changes and expiry of announcements.

mod support;

use std::time::Duration;

use dunlinrock_fakes::{List, ListOptions};
use dunlinrock_schema::store::{Listed, Listing};
use support::{block_on, send};

const HOUR: Duration = Duration::from_secs(3600);

fn listed(name: &str) -> Listed {
    Listed {
        name: name.into(),
        incarnation: 7,
        region: "bucharest".into(),
        domain: "bucharest-a".into(),
        callers: "127.0.0.1:1".into(),
        peers: "127.0.0.1:2".into(),
        leaving: false,
    }
}

fn list(visibility_delay: Duration, announcement_ttl: Duration) -> List {
    let options = ListOptions {
        visibility_delay,
        announcement_ttl,
        ..ListOptions::default()
    };
    List::bind("127.0.0.1:0", options).unwrap()
}

fn names(listing: &Listing) -> Vec<&str> {
    listing.hosts.iter().map(|h| &*h.name).collect()
}

#[test]
fn a_host_is_listed_only_after_the_delay() {
    let list = list(HOUR, HOUR);
    block_on(async {
        let body = serde_json::to_vec(&listed("h1")).unwrap();
        let res = send(list.addr(), "PUT /v1/hosts/h1", &[], body)
            .await
            .unwrap();
        assert_eq!(res.status, 204);
        let read = async || -> Listing {
            let res = send(list.addr(), "GET /v1/hosts", &[], "").await;
            res.unwrap().json()
        };
        assert_eq!(names(&read().await), Vec::<&str>::new());
        list.publish_pending();
        assert_eq!(names(&read().await), ["h1"]);
        let res = send(list.addr(), "DELETE /v1/hosts/h1", &[], "")
            .await
            .unwrap();
        assert_eq!(res.status, 204);
        assert_eq!(
            names(&read().await),
            ["h1"],
            "a deregistered host stays listed for the delay"
        );
        list.publish_pending();
        assert_eq!(names(&read().await), Vec::<&str>::new());
        assert_eq!(list.read_count(), 4);
    });
}

#[test]
fn changes_become_visible_in_the_order_they_were_made() {
    let list = list(HOUR, HOUR);
    list.announce(listed("h1"));
    list.set_delay(Duration::ZERO);
    let leaving = Listed {
        leaving: true,
        ..listed("h1")
    };
    list.announce(leaving);
    assert!(
        list.listing().hosts.is_empty(),
        "a later change does not overtake an earlier one"
    );
    list.publish_pending();
    assert!(list.listing().hosts[0].leaving);
}

#[test]
fn an_expired_host_is_removed_only_after_the_delay() {
    let kept = list(Duration::ZERO, HOUR);
    kept.announce(listed("h1"));
    assert_eq!(names(&kept.listing()), ["h1"]);

    let silent = list(HOUR, Duration::ZERO);
    silent.announce(listed("h1"));
    silent.publish_pending();
    assert_eq!(
        names(&silent.listing()),
        ["h1"],
        "expired at once, and still listed"
    );
    silent.publish_pending();
    assert_eq!(names(&silent.listing()), Vec::<&str>::new());
}

#[test]
fn an_announcement_under_another_name_is_refused() {
    let list = list(Duration::ZERO, HOUR);
    block_on(async {
        let body = serde_json::to_vec(&listed("h1")).unwrap();
        let res = send(list.addr(), "PUT /v1/hosts/h2", &[], body)
            .await
            .unwrap();
        assert_eq!(res.status, 400);
        let res = send(list.addr(), "PUT /v1/hosts/h2", &[], "{")
            .await
            .unwrap();
        assert_eq!(res.status, 400);
    });
    assert!(list.listing().hosts.is_empty());
}

#[test]
fn a_list_that_is_down_refuses_connections_until_it_is_up() {
    let list = list(Duration::ZERO, HOUR);
    block_on(async {
        list.announce(listed("h1"));
        list.down();
        assert!(send(list.addr(), "GET /v1/hosts", &[], "").await.is_err());
        list.up();
        let res = send(list.addr(), "GET /v1/hosts", &[], "").await.unwrap();
        let listing: Listing = res.json();
        assert_eq!(names(&listing), ["h1"]);
    });
}

#[test]
fn the_delay_can_be_set_over_http() {
    let list = list(HOUR, HOUR);
    block_on(async {
        let res = send(list.addr(), "POST /fake/lag?ms=0", &[], "")
            .await
            .unwrap();
        assert_eq!(res.status, 204);
        list.announce(listed("h1"));
        assert_eq!(names(&list.listing()), ["h1"]);
    });
}
