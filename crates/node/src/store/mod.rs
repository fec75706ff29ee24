//! Clients of the platform's key-value store and of its list of hosts.
//!
//! Only this module knows the store's protocol (HTTP with `ETag`, `If-Match` and `Prefer: wait`).
//! Support for another store means another implementation of [`Store`] and no other change.

mod list;
mod operations;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dunlinrock_schema::store::Keys;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};

pub use self::{
    list::HostList,
    operations::{PIECE_PREFIX, ROOT_KEY, execute, piece_key},
};

use crate::wire::{Answer, Client};

/// Version of a key that does not exist.
pub const NO_VERSION: u64 = 0;
/// Maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Time beyond a watch's wait after which the watch counts as failed.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// Error of a store call. Its variants tell whether the call may have taken effect.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store did not receive the call, or reported that it did nothing.
    #[error("the store at {address} is not available: {detail}")]
    Unavailable {
        /// Address of the store.
        address: SocketAddr,
        /// What was seen.
        detail: String,
    },
    /// The call may have taken effect: its response was lost.
    #[error("the store at {address} gave no answer; a write may have taken effect: {detail}")]
    Indeterminate {
        /// Address of the store.
        address: SocketAddr,
        /// What was seen.
        detail: String,
    },
    /// The store refused the call; a retry does not help.
    #[error("the store at {address} refused the call: {detail}")]
    Refused {
        /// Address of the store.
        address: SocketAddr,
        /// What was seen.
        detail: String,
    },
}

/// Result of a conditional write that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The write took effect; contains the new version of the key.
    Done(u64),
    /// The key has another version; contains that version.
    Conflict(u64),
}

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the key; [`NO_VERSION`] if the key does not exist.
    pub version: u64,
    /// The value; `None` if the key does not exist.
    pub value: Option<Bytes>,
}

/// Client of the platform's key-value store.
#[derive(Clone, Debug)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    prefix: String,
    timeout: Duration,
}

impl Store {
    /// Creates a client without connecting. `prefix` is prepended to every key, and a call fails
    /// after `timeout`.
    pub fn open(address: SocketAddr, prefix: &str, timeout: Duration) -> Store {
        Store {
            client: Client::open(2 * MAX_VALUE_BYTES),
            address,
            prefix: prefix.to_owned(),
            timeout,
        }
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Versioned, StoreError> {
        let request = self.request(Method::GET, key);
        let answer = self
            .send(request.body(Full::default()), self.timeout)
            .await?;
        self.versioned(&answer)
    }

    /// Waits up to `wait` until the version of a key differs from `known`; returns `None` if it
    /// does not.
    pub async fn watch(
        &self,
        key: &str,
        known: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let request = self
            .request(Method::GET, key)
            .header(header::IF_NONE_MATCH, etag(known))
            .header("prefer", format!("wait={:.3}", wait.as_secs_f64()));
        let answer = self
            .send(request.body(Full::default()), wait + WATCH_MARGIN)
            .await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let found = self.versioned(&answer)?;
        Ok((found.version != known).then_some(found))
    }

    /// Writes a key if its version is `version` ([`NO_VERSION`]: if it does not exist).
    pub async fn compare_and_swap(
        &self,
        key: &str,
        version: u64,
        value: Bytes,
    ) -> Result<SwapResult, StoreError> {
        let request = self
            .request(Method::PUT, key)
            .header(header::IF_MATCH, etag(version));
        let answer = self
            .send(request.body(Full::new(value)), self.timeout)
            .await?;
        self.swap_result(&answer)
    }

    /// Writes a key regardless of its version.
    pub async fn put(&self, key: &str, value: Bytes) -> Result<SwapResult, StoreError> {
        let request = self.request(Method::PUT, key);
        let answer = self
            .send(request.body(Full::new(value)), self.timeout)
            .await?;
        self.swap_result(&answer)
    }

    /// Lists the keys under a prefix with their versions.
    pub async fn list(&self, prefix: &str) -> Result<Vec<(String, u64)>, StoreError> {
        let uri = format!(
            "http://{}/v1/keys?prefix={}{prefix}",
            self.address, self.prefix
        );
        let request = Request::get(uri).body(Full::default());
        let answer = self.send(request, self.timeout).await?;
        let keys: Keys = serde_json::from_slice(&answer.body)
            .map_err(|e| self.refused(&format!("its list of keys cannot be read: {e}")))?;
        let own = keys.keys.iter().filter_map(|key| {
            let name = key.key.strip_prefix(&self.prefix)?;
            Some((name.to_owned(), key.version))
        });
        Ok(own.collect())
    }

    /// Deletes a key if its version is `version`.
    pub async fn delete(&self, key: &str, version: u64) -> Result<SwapResult, StoreError> {
        let request = self
            .request(Method::DELETE, key)
            .header(header::IF_MATCH, etag(version));
        let answer = self
            .send(request.body(Full::default()), self.timeout)
            .await?;
        if answer.status == StatusCode::NO_CONTENT {
            return Ok(SwapResult::Done(NO_VERSION));
        }
        self.swap_result(&answer)
    }

    fn request(&self, method: Method, key: &str) -> hyper::http::request::Builder {
        let uri = format!("http://{}/v1/kv/{}{key}", self.address, self.prefix);
        Request::builder().method(method).uri(uri)
    }

    async fn send(
        &self,
        request: Result<Request<Full<Bytes>>, hyper::http::Error>,
        time: Duration,
    ) -> Result<Answer, StoreError> {
        let request = request.map_err(|e| self.refused(&e.to_string()))?;
        match self.client.call(request, time).await {
            Ok(answer) if answer.status == StatusCode::TOO_MANY_REQUESTS => {
                Err(self.unavailable("its rate limit is reached"))
            }
            Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(self.unavailable("it answered 503"))
            }
            Ok(answer) if answer.status.is_server_error() => {
                Err(self.indeterminate(&format!("it answered {}", answer.status)))
            }
            Ok(answer) => Ok(answer),
            Err(e) if e.is_unsent() => Err(self.unavailable(&e.to_string())),
            Err(e) => Err(self.indeterminate(&e.to_string())),
        }
    }

    fn versioned(&self, answer: &Answer) -> Result<Versioned, StoreError> {
        match answer.status {
            StatusCode::OK => {
                let version = self.version(answer)?;
                Ok(Versioned {
                    version,
                    value: Some(answer.body.clone()),
                })
            }
            StatusCode::NOT_FOUND => Ok(Versioned {
                version: NO_VERSION,
                value: None,
            }),
            other => Err(self.refused(&format!("it answered {other} to a read"))),
        }
    }

    fn swap_result(&self, answer: &Answer) -> Result<SwapResult, StoreError> {
        match answer.status {
            StatusCode::PRECONDITION_FAILED => Ok(SwapResult::Conflict(self.version(answer)?)),
            StatusCode::NOT_FOUND => Ok(SwapResult::Conflict(NO_VERSION)),
            status if status.is_success() => Ok(SwapResult::Done(self.version(answer)?)),
            other => Err(self.refused(&format!("it answered {other} to a write"))),
        }
    }

    fn version(&self, answer: &Answer) -> Result<u64, StoreError> {
        let tag = answer
            .headers
            .get(header::ETAG)
            .and_then(|tag| tag.to_str().ok());
        let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
        version.ok_or_else(|| self.refused("its answer has no usable ETag"))
    }

    fn unavailable(&self, detail: &str) -> StoreError {
        StoreError::Unavailable {
            address: self.address,
            detail: detail.to_owned(),
        }
    }

    fn indeterminate(&self, detail: &str) -> StoreError {
        StoreError::Indeterminate {
            address: self.address,
            detail: detail.to_owned(),
        }
    }

    fn refused(&self, detail: &str) -> StoreError {
        StoreError::Refused {
            address: self.address,
            detail: detail.to_owned(),
        }
    }
}

fn etag(version: u64) -> String {
    format!("\"{version}\"")
}
