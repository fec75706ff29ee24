//! Endpoint that grants tokens to other hosts, and its client. A token allows one request of a
//! workspace.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_decide::admit::direct::TokenGrant;
use dunlinrock_node::wire::{Client, ClientError, CodecError, pack, unpack};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use viz::{IntoResponse, Response, Router};

use super::changes::read_message;
use crate::{host::Shared, limits::TokenRequest};

/// Path of token requests.
const PATH: &str = "/peer/v1/tokens";

/// Maximum size of a response, in bytes: one call covers all workspaces with waiting requests.
pub(crate) const MAX_TOKEN_BYTES: usize = 1 << 20;

/// A grant on the wire.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
struct GrantMessage {
    count: u32,
    /// Time until the next token, if there is none.
    #[serde(rename = "due")]
    retry_after: Duration,
}

/// Why another host grants nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TokenError {
    #[error(transparent)]
    Call(#[from] ClientError),
    #[error("status {0}: {1}")]
    Status(StatusCode, String),
    #[error(transparent)]
    Pack(#[from] CodecError),
    #[error(transparent)]
    BadRequest(#[from] http::Error),
}

impl TokenError {
    /// Whether the host answered that it grants nothing.
    pub(crate) fn is_refusal(&self) -> bool {
        matches!(self, TokenError::Status(StatusCode::CONFLICT, _))
    }
}

/// Requests tokens from a host. Its response leaves out workspaces that it does not own.
pub(crate) async fn ask_tokens(
    client: &Client,
    address: SocketAddr,
    wanted: &TokenRequest,
    time: Duration,
) -> Result<BTreeMap<Arc<str>, TokenGrant>, TokenError> {
    let body = Full::from(pack(wanted)?);
    let request = Request::post(format!("http://{address}{PATH}")).body(body)?;
    let response = client.call(request, time).await?;
    if response.status != StatusCode::OK {
        let cause = String::from_utf8_lossy(&response.body).into_owned();
        return Err(TokenError::Status(response.status, cause));
    }
    let messages: BTreeMap<Arc<str>, GrantMessage> = unpack(&response.body)?;
    let grants = messages
        .into_iter()
        .map(|(name, GrantMessage { count, retry_after })| {
            // Uses at most the requested count, even if the response grants more.
            let want = wanted.wants.get(&name).copied().unwrap_or_default();
            let count = count.min(want);
            (name, TokenGrant { count, retry_after })
        });
    Ok(grants.collect())
}

/// Adds the endpoint for token requests.
pub(super) fn routes(router: Router, shared: &Arc<Shared>) -> Router {
    let shared = Arc::clone(shared);
    router.post(PATH, move |request: viz::Request| {
        let shared = Arc::clone(&shared);
        async move { Ok(respond(&shared, request).await) }
    })
}

async fn respond(shared: &Shared, request: viz::Request) -> Response {
    let wanted: TokenRequest = match read_message(request).await {
        Ok(wanted) => wanted,
        Err(refusal) => return refusal,
    };
    let grants = match shared.grant_tokens(&wanted) {
        Ok(grants) => grants.into_iter(),
        Err(e) => return (StatusCode::CONFLICT, e.to_string()).into_response(),
    };
    let messages = grants.map(|(name, TokenGrant { count, retry_after })| {
        (name, GrantMessage { count, retry_after })
    });
    match pack(&messages.collect::<BTreeMap<_, _>>()) {
        Ok(bytes) => bytes.into_response(),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response(),
    }
}
