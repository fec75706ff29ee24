//! Serves lookups, which tell callers which hosts to use, and the readiness check.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_decide::steer::host_draw::{self, HostCapacity};
use http::{HeaderValue, StatusCode, header};
use viz::{IntoResponse, Request, Response, Router};

use crate::{
    host::Shared,
    model::{HostEntry, LookupQuery},
};

/// Maximum number of hosts in one response.
const MAX_HOSTS: usize = 64;

/// How long callers may cache a response. A host that stops or dies is used for this long after
/// that is known; with a shorter time callers would make more lookups than requests.
const TTL: Duration = Duration::from_secs(2);

/// Serves lookups.
pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    let (path, shared) = (shared.dialect.lookup_path, Arc::clone(shared));
    Router::new().get(path, move |request: Request| {
        let shared = Arc::clone(&shared);
        async move { Ok(answer(&shared, &request)) }
    })
}

/// Serves the readiness check.
pub(crate) fn readiness(shared: &Arc<Shared>) -> Router {
    let (path, shared) = (shared.dialect.ready_path, Arc::clone(shared));
    Router::new().get(path, move |_: Request| {
        let ready = shared.is_ready();
        async move {
            Ok(if ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }
            .into_response())
        }
    })
}

fn answer(shared: &Shared, request: &Request) -> Response {
    let Some(query) = (shared.dialect.parse_lookup)(request.uri()) else {
        return (
            StatusCode::BAD_REQUEST,
            "the region and the failure domain are missing",
        )
            .into_response();
    };
    let hosts = choose(shared, &query);
    if hosts.is_empty() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let ttl = TTL.min(shared.reloadable.load().ttl);
    let (body, kind) = (shared.dialect.encode_lookup)(&hosts, ttl);
    let mut response = body.into_response();
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Returns hosts of the caller's region, or of all if there are none, drawn by their capacity.
/// Requests for one affinity key then come through the same few hosts, and do not cross a link
/// between regions twice.
fn choose(shared: &Shared, query: &LookupQuery) -> Vec<SocketAddr> {
    let view = shared.view.load();
    let mut hosts: Vec<_> = view.hosts.values().cloned().collect();
    let me = &shared.settings.name;
    // Until its announcement has been read back from the store, a host knows at least of itself.
    if shared.is_ready() && !hosts.iter().any(|h| h.name == *me) {
        hosts.push(Arc::new(shared.host_entry(0)));
    }
    // The replica may still contain the announcement for a moment after its withdrawal.
    if !shared.is_ready() {
        hosts.retain(|h| h.name != *me);
    }
    let reloadable = shared.reloadable.load();
    let region_of = |domain: &Arc<str>| reloadable.domains.get(domain);
    let in_region: Vec<_> = hosts
        .iter()
        .filter(|h| region_of(&h.domain) == Some(&query.region))
        .collect();
    let all = hosts.iter();
    let named = if in_region.is_empty() {
        all.collect()
    } else {
        in_region
    };
    let named = prefer_linked(shared, named);
    let capacities: Vec<_> = named.iter().map(|h| capacity(h)).collect();
    let drawn = host_draw::draw(&capacities, rand::random()).into_iter();
    drawn.take(MAX_HOSTS).map(|i| named[i].callers).collect()
}

fn capacity(host: &HostEntry) -> HostCapacity {
    HostCapacity {
        power: host.power,
        link: host.link,
    }
}

/// Leaves out hosts that have lost their links to the targets, unless fewer than half would remain:
/// these would get all callers at once, while the others still serve through them.
fn prefer_linked<'a>(shared: &Shared, hosts: Vec<&'a Arc<HostEntry>>) -> Vec<&'a Arc<HostEntry>> {
    let is_lost = |h: &HostEntry| match h.name == shared.settings.name {
        true => shared.links.is_lost(),
        false => shared.links.is_lost_at(&h.name),
    };
    let linked: Vec<_> = hosts.iter().copied().filter(|h| !is_lost(h)).collect();
    match linked.len() * 2 >= hosts.len() {
        true => linked,
        false => hosts,
    }
}
