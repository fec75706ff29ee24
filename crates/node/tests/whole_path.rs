//! A request from its look-up to its response, over several hosts.

mod common;

use std::time::Duration;

use common::Deployment;

#[tokio::test]
async fn a_caller_looks_up_a_host_and_gets_a_complete_response() {
    let mut d = Deployment::open("cursuri", Duration::from_millis(1));
    for (name, domain) in domains(&d) {
        d.host(&name, &domain);
    }
    d.apply().await;
    d.settle(1).await;
    let first = d.hosts[0].callers_addr();
    let hosts = d.look_up(first, "catalogue").await;
    assert_eq!(hosts.revision, 1);
    assert!(!hosts.hosts.is_empty());
    let host = hosts.hosts[0].address.parse().expect("an address");
    let answer = d.get(host, "/v1/call/catalogue/courses?q=romana").await;
    assert_eq!(answer.status, 200, "{:?}", answer.body);
}

#[tokio::test]
async fn a_retried_reservation_runs_once_and_gets_the_same_response() {
    let mut d = Deployment::open("cursuri", Duration::from_millis(1));
    for (name, domain) in domains(&d) {
        d.host(&name, &domain);
    }
    d.apply().await;
    d.settle(1).await;
    let hosts = d.look_up(d.hosts[0].callers_addr(), "catalogue").await;
    let binding = hosts.binding.expect("a binding");
    let owner = binding.owner.parse().expect("an address");
    let key = format!("{}.n1", binding.prefix);
    let path = "/v1/call/catalogue/reserve/4";
    let one = d.post(owner, path, &key, "owner=0, witness=0").await;
    let two = d.post(owner, path, &key, "owner=1, witness=0").await;
    assert_eq!(one.status, 200, "{:?}", one.body);
    assert_eq!(one.body, two.body);
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

fn domains(d: &Deployment) -> Vec<(String, String)> {
    d.config
        .domains
        .keys()
        .map(|domain| (format!("h-{domain}"), domain.to_string()))
        .collect()
}
