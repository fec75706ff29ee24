//! Tokens that a host gives to others: requests of a workspace that they may run.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_decide::admit::direct::TokenGrant;
use dunlinrock_node::wire::{Client, ClientError, CodecError, pack, unpack};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use viz::{IntoResponse, Response, Router};

use super::changes::unpacked;
use crate::{host::Shared, limits::Asked};

/// Path on which tokens are asked for.
const PATH: &str = "/peer/v1/tokens";

/// Largest answer, in bytes: one call is for all workspaces whose requests wait.
pub(crate) const TOKEN_BYTES: usize = 1 << 20;

/// Tokens on the wire.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
struct Told {
    count: u32,
    /// Where there are none, time until there is one.
    #[serde(rename = "due")]
    retry_after: Duration,
}

/// Why another host gives nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TokenError {
    #[error(transparent)]
    Call(#[from] ClientError),
    #[error("status {0}: {1}")]
    Status(StatusCode, String),
    #[error(transparent)]
    Pack(#[from] CodecError),
    #[error(transparent)]
    Unasked(#[from] http::Error),
}

impl TokenError {
    /// Whether the host answered that it gives out nothing.
    pub(crate) fn is_refusal(&self) -> bool {
        matches!(self, TokenError::Status(StatusCode::CONFLICT, _))
    }
}

/// Asks a host for tokens. What it does not count is missing from its answer.
pub(crate) async fn ask_tokens(
    client: &Client,
    address: SocketAddr,
    asked: &Asked,
    time: Duration,
) -> Result<BTreeMap<Arc<str>, TokenGrant>, TokenError> {
    let body = Full::from(pack(asked)?);
    let request = Request::post(format!("http://{address}{PATH}")).body(body)?;
    let answer = client.call(request, time).await?;
    if answer.status != StatusCode::OK {
        let cause = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(TokenError::Status(answer.status, cause));
    }
    let told: BTreeMap<Arc<str>, Told> = unpack(&answer.body)?;
    let given = told.into_iter().map(|(name, Told { count, retry_after })| {
        // Never more than was asked for, whatever the other side says.
        let want = asked.wants.get(&name).copied().unwrap_or_default();
        let count = count.min(want);
        (name, TokenGrant { count, retry_after })
    });
    Ok(given.collect())
}

/// Serves tokens.
pub(super) fn routes(router: Router, shared: &Arc<Shared>) -> Router {
    let shared = Arc::clone(shared);
    router.post(PATH, move |request: viz::Request| {
        let shared = Arc::clone(&shared);
        async move { Ok(answer(&shared, request).await) }
    })
}

async fn answer(shared: &Shared, request: viz::Request) -> Response {
    let asked: Asked = match unpacked(request).await {
        Ok(asked) => asked,
        Err(refusal) => return refusal,
    };
    let given = match shared.grant_tokens(&asked) {
        Ok(given) => given.into_iter(),
        Err(e) => return (StatusCode::CONFLICT, e.to_string()).into_response(),
    };
    let told =
        given.map(|(name, TokenGrant { count, retry_after })| (name, Told { count, retry_after }));
    match pack(&told.collect::<BTreeMap<_, _>>()) {
        Ok(bytes) => bytes.into_response(),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response(),
    }
}
