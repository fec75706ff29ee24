//! Checks the links when the front end could not open a connection, and while they are lost.

use std::{net::IpAddr, sync::Arc, time::Duration};

use dunlinrock_decide::admit::direct::{Link, LinkCheck, LinkStatus};
use dunlinrock_node::wire::Client;
use futures::{
    StreamExt,
    stream::{FuturesUnordered, Stream},
};
use rand::seq::SliceRandom;

use super::{
    Finding, Helper, Links, Neighbors, NeighborsFn,
    ask::{LinkQuestion, MAX_ANSWER_BYTES, ask},
    probe::{Probe, probe, sample},
};
use crate::model::HostEntry;

/// Interval between checks while no target is reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which other hosts are asked while targets are still being tried.
const SOON: Duration = Duration::from_millis(120);

/// Maximum number of hosts that are asked in one check: the nearest, and as many others, since a
/// cut may take in a whole failure domain or region.
const NEAR_HOSTS: usize = 8;
const OTHER_HOSTS: usize = 8;

/// Identity of the host local links are checked.
#[derive(Clone, Debug)]
pub(crate) struct LocalHost {
    pub(crate) name: Arc<str>,
    pub(crate) domain: Arc<str>,
    pub(crate) region: Arc<str>,
    /// Address from which it connects to other hosts.
    pub(crate) peers: IpAddr,
}

/// Checks the links for as long as the host runs. `region_of` returns a failure domain's region.
pub(crate) async fn watch(
    links: Arc<Links>,
    local: LocalHost,
    neighbors: NeighborsFn,
    region_of: impl Fn(&str) -> Option<Arc<str>>,
    count_check: impl Fn(),
) {
    let client = Client::open_from(Some(local.peers), MAX_ANSWER_BYTES);
    let mut link = Link::open();
    let rank = |host: &HostEntry| rank(&local, host, &region_of);
    loop {
        if link.status() == LinkStatus::Up {
            links.wanted.notified().await;
        } else {
            let _ = tokio::time::timeout(CHECK_INTERVAL, links.wanted.notified()).await;
        }
        links.checks.send_modify(|checks| checks.started += 1);
        count_check();
        let question = LinkQuestion {
            host: Arc::clone(&local.name),
            is_lost: link.status() == LinkStatus::Lost,
            targets: Vec::new(),
        };
        let (begun, before) = (links.clock.now(), link.status());
        let (check, helpers) = check(&client, question, neighbors(), &rank).await;
        let status = link.record(check);
        if check.reached > 0 {
            links.record_open();
        }
        if status != before {
            log_status(before, status, check);
        }
        let helpers = match status {
            LinkStatus::Lost if check.reached > 0 => links.helpers(),
            LinkStatus::Lost => helpers,
            LinkStatus::Up | LinkStatus::TargetsDown => Vec::new(),
        };
        links.finding.store(Arc::new(Finding { status, helpers }));
        links
            .checks
            .send_modify(|checks| checks.finished = checks.started);
        // Requests that fail at once, as where connections are refused, must not make checks follow
        // each other without a pause.
        if status != LinkStatus::Up {
            let spent = links.clock.now().saturating_sub(begun);
            tokio::time::sleep(CHECK_INTERVAL.saturating_sub(spent)).await;
        }
    }
}

/// Tries targets and, unless one accepts soon, asks other hosts.
async fn check(
    client: &Client,
    mut question: LinkQuestion,
    neighbors: Neighbors,
    rank: &impl Fn(&HostEntry) -> u8,
) -> (LinkCheck, Vec<Helper>) {
    let sample = sample(&neighbors.targets);
    question.targets = sample.iter().map(|t| Arc::clone(&t.id)).collect();
    let question = &question;
    let mut probing = std::pin::pin!(probe(&sample));
    let early = tokio::time::timeout(SOON, &mut probing).await;
    if let Ok(Probe { tried, reached }) = early
        && reached > 0
    {
        let check = LinkCheck {
            tried,
            reached,
            ..LinkCheck::default()
        };
        return (check, Vec::new());
    }
    let hosts = choose_hosts(neighbors.hosts, rank);
    let asked = hosts.len();
    let answers: FuturesUnordered<_> = hosts
        .into_iter()
        .map(|host| async move { (ask(client, host.peers, question).await, host) })
        .collect();
    let asking = gather(answers, question.is_lost);
    let (probe, (answered, reaching)) = match early {
        Ok(probe) => (probe, asking.await),
        Err(_) => tokio::join!(probing, asking),
    };
    let helpers = reaching.into_iter().map(|host| Helper {
        rank: rank(&host),
        host,
    });
    let helpers: Vec<_> = helpers.collect();
    let check = LinkCheck {
        tried: probe.tried,
        reached: probe.reached,
        asked,
        answered,
        helpers: helpers.len(),
    };
    (check, helpers)
}

/// Collects answers; returns how many came, and the hosts that reach targets. The first such host
/// is enough unless `is_whole` is set.
async fn gather(
    mut answers: impl Stream<Item = (Option<bool>, Arc<HostEntry>)> + Unpin,
    is_whole: bool,
) -> (usize, Vec<Arc<HostEntry>>) {
    let (mut answered, mut helpers) = (0, Vec::new());
    while let Some((answer, host)) = answers.next().await {
        answered += usize::from(answer.is_some());
        if answer == Some(true) {
            helpers.push(host);
            if !is_whole {
                break;
            }
        }
    }
    (answered, helpers)
}

/// Draws the hosts to ask: near ones, and any others.
fn choose_hosts(
    mut hosts: Vec<Arc<HostEntry>>,
    rank: &impl Fn(&HostEntry) -> u8,
) -> Vec<Arc<HostEntry>> {
    hosts.shuffle(&mut rand::rng());
    hosts.sort_by_key(|host| rank(host));
    let others = hosts.split_off(hosts.len().min(NEAR_HOSTS));
    let mut rng = rand::rng();
    let drawn = rand::seq::index::sample(&mut rng, others.len(), others.len().min(OTHER_HOSTS));
    hosts.extend(drawn.into_iter().map(|n| Arc::clone(&others[n])));
    hosts
}

/// Ranks a host by distance: of the same failure domain, of the same region, of another.
fn rank(local: &LocalHost, host: &HostEntry, region_of: impl Fn(&str) -> Option<Arc<str>>) -> u8 {
    match () {
        () if host.domain == local.domain => 0,
        () if region_of(&host.domain).as_ref() == Some(&local.region) => 1,
        () => 2,
    }
}

fn log_status(before: LinkStatus, after: LinkStatus, check: LinkCheck) {
    log::warn!(
        target: "belief", event = "links", from:? = before, to:? = after, tried = check.tried,
        reached = check.reached, asked = check.asked, answered = check.answered,
        helpers = check.helpers; "the status of the links to the targets changed"
    );
}
