//! `hosts`: the platform's list, or a look-up.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use dunlinrock_node::store::HostList;
use dunlinrock_schema::{
    api::{Hosts as Found, Problem},
    store::Listing,
};

use super::dump;
use crate::{
    args::{Hosts, HostsFrom},
    exit::{Exit, Failure},
    output,
    runtime::block_on,
};

/// Time that a call may take.
const CALL: Duration = Duration::from_secs(2);

/// Prints the hosts.
pub(crate) fn hosts(args: &Hosts) -> Result<(), Failure> {
    match &args.from {
        HostsFrom::List { list } => print_listing(&block_on(listing(*list))??),
        HostsFrom::At {
            at,
            client,
            service,
        } => print_found(&block_on(look_up(*at, *client, service))??),
    }
}

/// Names the listed hosts that do not follow a revision yet; those that leave do not count.
pub(crate) async fn behind(
    list: SocketAddr,
    revision: u64,
    id: Option<&str>,
) -> Result<Vec<String>, Failure> {
    let mut behind = Vec::new();
    for host in listing(list).await?.hosts.iter().filter(|h| !h.leaving) {
        let at = host.peers.parse::<SocketAddr>().ok();
        let held = match at {
            Some(at) => dump::followed(at).await,
            None => None,
        };
        if held.is_none_or(|held| !held.holds(revision, id)) {
            behind.push(host.name.to_string());
        }
    }
    Ok(behind)
}

async fn listing(list: SocketAddr) -> Result<Listing, Failure> {
    let read = HostList::open(list, CALL).read().await;
    read.map_err(|e| {
        let message = format!("the list of hosts at {list} did not answer: {e}");
        Failure::open(Exit::Away, message)
    })
}

async fn look_up(at: SocketAddr, client: Option<IpAddr>, service: &str) -> Result<Found, Failure> {
    let query = client.map_or_else(String::new, |ip| format!("?client={ip}"));
    let answer = dump::get(at, &format!("/v1/hosts/{service}{query}")).await?;
    if answer.status == http::StatusCode::OK {
        return serde_json::from_slice(&answer.body)
            .map_err(|e| Failure::open(Exit::Failed, format!("{at} gave no look-up: {e}")));
    }
    let detail = match serde_json::from_slice::<Problem>(&answer.body) {
        Ok(problem) => problem.detail.to_string(),
        Err(_) => format!("status {}", answer.status),
    };
    let message = format!("the host at {at} answered: {detail}");
    Err(Failure::open(Exit::Failed, message))
}

fn print_listing(listing: &Listing) -> Result<(), Failure> {
    output::line(format_args!(
        "{:<16}{:<16}{:<16}{:<22}{:<22}state",
        "host", "region", "domain", "callers", "peers"
    ))?;
    for host in &listing.hosts {
        let state = if host.leaving { "leaving" } else { "live" };
        output::line(format_args!(
            "{:<16}{:<16}{:<16}{:<22}{:<22}{state}",
            host.name, host.region, host.domain, host.callers, host.peers
        ))?;
    }
    Ok(())
}

fn print_found(found: &Found) -> Result<(), Failure> {
    output::line(format_args!(
        "{} at revision {}, for callers near {}; good for {} ms",
        found.service, found.revision, found.region, found.ttl_ms
    ))?;
    for host in &found.hosts {
        output::line(format_args!(
            "{:<16}{:<22}{:<16}{:>8}",
            host.name, host.address, host.domain, host.weight
        ))?;
    }
    if let Some(binding) = &found.binding {
        output::line(format_args!(
            "requests that may not be repeated: owner {}, witness {}, key {}.NONCE",
            binding.owner, binding.witness, binding.prefix
        ))?;
    }
    Ok(())
}
