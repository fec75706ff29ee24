//! Client of the platform's registry of hosts, which lists serving and leaving hosts.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dunlinrock_schema::store::{Listed, Listing};
use http_body_util::Full;
use hyper::{Request, header};

use super::StoreError;
use crate::wire::{Answer, Client};

/// Maximum size of a listing, in bytes: some thousands of hosts at about 250 bytes each.
const MAX_LISTING_BYTES: usize = 4 << 20;

/// Client of the platform's list of hosts.
#[derive(Clone, Debug)]
pub struct HostList {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HostList {
    /// Creates a client without connecting. A call fails after `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> HostList {
        HostList {
            client: Client::open(MAX_LISTING_BYTES),
            address,
            timeout,
        }
    }

    /// Reads the list.
    pub async fn read(&self) -> Result<Listing, StoreError> {
        let request = Request::get(format!("http://{}/v1/hosts", self.address));
        let answer = self.send(request.body(Full::default())).await?;
        serde_json::from_slice(&answer.body).map_err(|e| self.failed(&e.to_string()))
    }

    /// Registers a host on the list, or refreshes its registration.
    pub async fn register(&self, host: &Listed) -> Result<(), StoreError> {
        let body = serde_json::to_vec(host).map_err(|e| self.failed(&e.to_string()))?;
        let request = Request::put(format!("http://{}/v1/hosts/{}", self.address, host.name))
            .header(header::CONTENT_TYPE, "application/json");
        self.send(request.body(Full::new(Bytes::from(body))))
            .await?;
        Ok(())
    }

    /// Removes a host from the list.
    pub async fn deregister(&self, name: &str) -> Result<(), StoreError> {
        let request = Request::delete(format!("http://{}/v1/hosts/{name}", self.address));
        self.send(request.body(Full::default())).await?;
        Ok(())
    }

    async fn send(
        &self,
        request: Result<Request<Full<Bytes>>, hyper::http::Error>,
    ) -> Result<Answer, StoreError> {
        let request = request.map_err(|e| self.failed(&e.to_string()))?;
        let sent = self.client.call(request, self.timeout).await;
        let answer = sent.map_err(|e| self.failed(&e.to_string()))?;
        if answer.status.is_success() {
            Ok(answer)
        } else {
            Err(self.failed(&format!("it answered {}", answer.status)))
        }
    }

    fn failed(&self, detail: &str) -> StoreError {
        StoreError::Unavailable {
            address: self.address,
            detail: format!("list of hosts: {detail}"),
        }
    }
}
