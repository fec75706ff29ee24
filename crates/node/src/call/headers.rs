//! Selects the header fields that are forwarded to targets and back to callers.

use hyper::{HeaderMap, header::HeaderName};

use crate::wire;

/// Fields that belong to one connection, not to the message (RFC 9110, section 7.6.1).
const CONNECTION_FIELDS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Prefix of the fields that only callers and hosts exchange.
const OWN_PREFIX: &str = "dunlinrock-";

/// Returns the fields of a caller's request that are sent to the target.
pub fn target_fields(headers: &HeaderMap) -> HeaderMap {
    filter_fields(headers, |name| {
        name != "host" && name != wire::REQUEST_ID && name != wire::REQUEST_TIMEOUT
    })
}

/// Returns the fields of a target's response that are sent to the caller.
pub fn answer_fields(headers: &HeaderMap) -> HeaderMap {
    filter_fields(headers, |name| {
        name != wire::TARGET_LOAD && name != wire::TARGET_SHED
    })
}

fn filter_fields(headers: &HeaderMap, keep: impl Fn(&str) -> bool) -> HeaderMap {
    let mut out = HeaderMap::with_capacity(headers.len());
    let named = connection_options(headers);
    for (name, value) in headers {
        let text = name.as_str();
        let own = text.starts_with(OWN_PREFIX) || CONNECTION_FIELDS.contains(&text);
        if !own && !named.contains(name) && keep(text) {
            out.append(name, value.clone());
        }
    }
    out
}

/// Returns the fields that the `Connection` field lists as belonging to the connection.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in headers.get_all("connection") {
        let Ok(text) = value.to_str() else { continue };
        names.extend(
            text.split(',')
                .filter_map(|name| name.trim().parse::<HeaderName>().ok()),
        );
    }
    names
}
