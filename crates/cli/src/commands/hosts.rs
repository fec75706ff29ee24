//! `hosts`: prints the platform's host list, or the result of a lookup.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use dunlinrock_node::store::HostList;
use dunlinrock_schema::{
    api::{Hosts as Lookup, Problem},
    store::Listing,
};

use super::dump;
use crate::{
    args::{Hosts, HostsFrom},
    exit::{CliError, Exit},
    output,
    runtime::block_on,
};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Prints the hosts.
pub(crate) fn hosts(args: &Hosts) -> Result<(), CliError> {
    match &args.from {
        HostsFrom::List { list } => print_listing(&block_on(listing(*list))??),
        HostsFrom::At {
            at,
            client,
            service,
        } => print_lookup(&block_on(look_up(*at, *client, service))??),
    }
}

/// Returns the names of the listed hosts that have not applied a revision yet, except for leaving
/// hosts.
pub(crate) async fn lagging_hosts(
    list: SocketAddr,
    revision: u64,
    id: Option<&str>,
) -> Result<Vec<String>, CliError> {
    let mut lagging_hosts = Vec::new();
    for host in listing(list).await?.hosts.iter().filter(|h| !h.leaving) {
        let at = host.peers.parse::<SocketAddr>().ok();
        let applied = match at {
            Some(at) => dump::host_revision(at).await,
            None => None,
        };
        if applied.is_none_or(|applied| !applied.has_applied(revision, id)) {
            lagging_hosts.push(host.name.to_string());
        }
    }
    Ok(lagging_hosts)
}

async fn listing(list: SocketAddr) -> Result<Listing, CliError> {
    let read = HostList::open(list, CALL_TIMEOUT).read().await;
    read.map_err(|e| {
        let message = format!("the host list at {list} did not respond: {e}");
        CliError::open(Exit::Unreachable, message)
    })
}

async fn look_up(
    at: SocketAddr,
    client: Option<IpAddr>,
    service: &str,
) -> Result<Lookup, CliError> {
    let query = client.map_or_else(String::new, |ip| format!("?client={ip}"));
    let answer = dump::get(at, &format!("/v1/hosts/{service}{query}")).await?;
    if answer.status == http::StatusCode::OK {
        return serde_json::from_slice(&answer.body).map_err(|e| {
            CliError::open(
                Exit::Failed,
                format!("{at} returned an invalid lookup response: {e}"),
            )
        });
    }
    let detail = match serde_json::from_slice::<Problem>(&answer.body) {
        Ok(problem) => problem.detail.to_string(),
        Err(_) => format!("status {}", answer.status),
    };
    let message = format!("the host at {at} answered: {detail}");
    Err(CliError::open(Exit::Failed, message))
}

fn print_listing(listing: &Listing) -> Result<(), CliError> {
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

fn print_lookup(lookup: &Lookup) -> Result<(), CliError> {
    output::line(format_args!(
        "{} at revision {}, for callers near {}; good for {} ms",
        lookup.service, lookup.revision, lookup.region, lookup.ttl_ms
    ))?;
    for host in &lookup.hosts {
        output::line(format_args!(
            "{:<16}{:<22}{:<16}{:>8}",
            host.name, host.address, host.domain, host.weight
        ))?;
    }
    if let Some(binding) = &lookup.binding {
        output::line(format_args!(
            "requests that may not be repeated: owner {}, witness {}, key {}.NONCE",
            binding.owner, binding.witness, binding.prefix
        ))?;
    }
    Ok(())
}
