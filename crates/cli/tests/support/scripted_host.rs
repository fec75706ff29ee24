//! A host that responds as scripted by a test and records the requests.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use dunlinrock_schema::api::{Binding, HostWeight, Hosts, Problem, Run};
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;

/// A request received by the host.
#[derive(Clone, Debug)]
pub(crate) struct RecordedRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
}

impl RecordedRequest {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }

    pub(crate) fn is_lookup(&self) -> bool {
        self.path.starts_with("/v1/hosts/")
    }
}

/// Reaction of the host to a request.
pub(crate) enum ScriptedResponse {
    /// Sends a response with a status, content type and body.
    Reply(u16, &'static str, Vec<u8>),
    /// Closes the connection.
    Close,
    /// Never responds.
    Silence,
    /// Sends an error response once the request's deadline has passed.
    Late(Vec<u8>),
}

/// A scripted host. It serves as long as the runtime that it was started on.
#[derive(Clone)]
pub(crate) struct ScriptedHost {
    pub(crate) addr: SocketAddr,
    seen: Arc<Mutex<Vec<RecordedRequest>>>,
}

impl ScriptedHost {
    /// Starts a host on a free port, on the current runtime.
    pub(crate) async fn open(
        script: impl Fn(&RecordedRequest) -> ScriptedResponse + Send + Sync + 'static,
    ) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let host = Self {
            addr: listener.local_addr().unwrap(),
            seen: Arc::default(),
        };
        let (script, seen) = (Arc::new(script), Arc::clone(&host.seen));
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (script, seen) = (Arc::clone(&script), Arc::clone(&seen));
                let service =
                    service_fn(move |req| answer(Arc::clone(&script), Arc::clone(&seen), req));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        host
    }

    /// Returns the received requests, except lookups.
    pub(crate) fn calls(&self) -> Vec<RecordedRequest> {
        let seen = self.seen.lock().unwrap();
        seen.iter().filter(|s| !s.is_lookup()).cloned().collect()
    }

    /// Returns the number of received lookups.
    pub(crate) fn lookups(&self) -> usize {
        let seen = self.seen.lock().unwrap();
        seen.iter().filter(|s| s.is_lookup()).count()
    }
}

async fn answer(
    script: Arc<impl Fn(&RecordedRequest) -> ScriptedResponse>,
    seen: Arc<Mutex<Vec<RecordedRequest>>>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error + Send + Sync>> {
    let path = req.uri().path_and_query().unwrap().as_str().to_owned();
    let request = RecordedRequest {
        method: req.method().clone(),
        path,
        headers: req.headers().clone(),
    };
    seen.lock().unwrap().push(request.clone());
    match script(&request) {
        ScriptedResponse::Reply(status, kind, body) => {
            let res = Response::builder()
                .status(status)
                .header("content-type", kind);
            Ok(res.body(Full::new(body.into()))?)
        }
        ScriptedResponse::Close => Err("closed by the script".into()),
        ScriptedResponse::Late(body) => {
            let time = request.header("dunlinrock-timeout-ms").parse()?;
            tokio::time::sleep(std::time::Duration::from_millis(time)).await;
            let res = Response::builder()
                .status(503)
                .header("content-type", "application/problem+json");
            Ok(res.body(Full::new(body.into()))?)
        }
        ScriptedResponse::Silence => {
            let never: Result<Infallible, Infallible> = std::future::pending().await;
            match never.unwrap() {}
        }
    }
}

/// A successful response of a target.
pub(crate) fn target_response(body: &str) -> ScriptedResponse {
    ScriptedResponse::Reply(200, "application/json", body.into())
}

/// An error response of a host.
pub(crate) fn problem(run: Run, retry_after_ms: Option<u64>) -> ScriptedResponse {
    let body = body(run, retry_after_ms);
    ScriptedResponse::Reply(503, "application/problem+json", body)
}

/// The body of an error response.
pub(crate) fn problem_body(run: Run) -> Vec<u8> {
    body(run, None)
}

fn body(run: Run, retry_after_ms: Option<u64>) -> Vec<u8> {
    let problem = Problem {
        type_: "/problems/test".into(),
        title: "test".into(),
        status: 503,
        detail: "as the test says".into(),
        run,
        request: "r".into(),
        retry_after_ms,
    };
    serde_json::to_vec(&problem).unwrap()
}

/// A response to a lookup.
pub(crate) fn hosts(
    hosts: &[SocketAddr],
    bound: Option<(SocketAddr, SocketAddr)>,
    ttl_ms: u64,
) -> ScriptedResponse {
    let weight = |at: &SocketAddr| HostWeight {
        name: at.to_string().into(),
        address: at.to_string().into(),
        domain: "a".into(),
        weight: 1,
    };
    let found = Hosts {
        service: "catalogue".into(),
        revision: 1,
        ttl_ms,
        region: "r".into(),
        hosts: hosts.iter().map(weight).collect(),
        binding: bound.map(|(owner, witness)| Binding {
            prefix: "1.0.2.0".into(),
            owner: owner.to_string().into(),
            witness: witness.to_string().into(),
        }),
    };
    ScriptedResponse::Reply(200, "application/json", serde_json::to_vec(&found).unwrap())
}
