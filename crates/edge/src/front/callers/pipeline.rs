//! Pipelined requests: requests that a caller sent behind one that is not answered yet.
//!
//! Responses must come in the order of the requests, and the HTTP library reads a request only when
//! the one before it is answered. Run one after the other, the third request waits for two runs and
//! is late although targets are free. So idempotent requests without a body are started as soon as
//! they are seen. The library still reads and frames every request; when it comes to one that was
//! started early, it waits for that run.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use http::{HeaderName, HeaderValue, Method, Request, header, request::Parts};
use tokio::task::JoinHandle;

use super::stream::CallerStream;
use crate::front::{Front, request::CallerGone, response::RequestEnd, select};

/// Maximum number of requests of one connection that are started early: callers send a few at once,
/// and one that sends more must not take all slots.
const MAX_PIPELINED: usize = 8;

/// Maximum number of header fields of a request that is started early; one with more waits for its
/// turn.
const MAX_PIPELINED_FIELDS: usize = 32;

/// Requests of one connection that were started early.
#[derive(Debug, Default)]
pub(in crate::front) struct Pipeline {
    started: RefCell<BTreeMap<Arc<str>, PipelinedRequest>>,
}

/// A request that was started early. If it is dropped before its turn, it is cancelled: its caller
/// has disconnected.
#[derive(Debug)]
struct PipelinedRequest {
    method: Method,
    target: String,
    /// The running request; `None` once its turn has come.
    task: Option<JoinHandle<RequestEnd>>,
    front: Rc<Front>,
    id: Arc<str>,
}

impl Drop for PipelinedRequest {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
            self.front.log_cancelled(&self.id, Duration::ZERO);
        }
    }
}

impl Pipeline {
    /// Whether no request was started early that still waits for its turn.
    pub(in crate::front) fn is_empty(&self) -> bool {
        self.started.borrow().is_empty()
    }

    /// Returns the result of a request, if it was started early.
    pub(in crate::front) async fn take(&self, id: &str, head: &Parts) -> Option<RequestEnd> {
        let mut started = self.started.borrow_mut().remove(id)?;
        let target = head
            .uri
            .path_and_query()
            .map(http::uri::PathAndQuery::as_str);
        if started.method != head.method || target != Some(&started.target) {
            return None;
        }
        let task = started.task.take()?;
        let _abort = AbortOnDrop(task.abort_handle());
        // A run that was aborted or panicked has no result; the request then runs in its turn.
        task.await.ok()
    }

    /// Starts pipelined requests as they are seen, until the caller disconnects. `may_pipeline` must
    /// only be true if the bytes read ahead begin with a request that will be answered, that is,
    /// behind one without a body that does not close the connection.
    ///
    /// A body that arrives in pieces is read ahead as well. If its second piece were taken for a
    /// request, a caller could have anything run in another caller's name.
    pub(in crate::front) async fn watch(
        &self,
        front: &Rc<Front>,
        stream: &CallerStream,
        may_pipeline: bool,
    ) -> CallerGone {
        loop {
            while may_pipeline && stream.parse_ahead(|bytes| self.start(front, bytes)) {}
            if !stream.wait_for_more().await {
                return CallerGone;
            }
        }
    }

    /// Starts the request at the start of `bytes`, if it is complete and may start early, and
    /// returns its length. Requests behind one that must wait for its turn are not looked at.
    fn start(&self, front: &Rc<Front>, bytes: &[u8]) -> usize {
        if front.draining_since.get().is_some() || self.started.borrow().len() >= MAX_PIPELINED {
            return 0;
        }
        let Some((head, length)) = parse(bytes) else {
            return 0;
        };
        let id = front.id_of(&head.headers);
        if !front.may_start_early(&head) || self.started.borrow().contains_key(&id) {
            return 0;
        }
        let method = head.method.clone();
        let target = head
            .uri
            .path_and_query()
            .map_or_else(String::new, ToString::to_string);
        let running = Rc::clone(front);
        let task = tokio::task::spawn_local(async move {
            running.answer(head, None, None, Duration::ZERO).await
        });
        let (front, request_id) = (Rc::clone(front), Arc::clone(&id));
        let started = PipelinedRequest {
            method,
            target,
            task: Some(task),
            front,
            id: request_id,
        };
        self.started.borrow_mut().insert(id, started);
        length
    }
}

/// Aborts a task when dropped.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Front {
    /// Whether a request may start before its turn: only if it is idempotent, since its caller
    /// sends it again if the connection ends before it is answered.
    fn may_start_early(&self, head: &Parts) -> bool {
        let view = self.shared.view.load();
        let route = select::find_route(&view, &head.headers, &head.uri);
        route.is_some_and(|route| route.repeatable)
    }
}

/// Parses the complete head of a request without a body.
fn parse(bytes: &[u8]) -> Option<(Parts, usize)> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_PIPELINED_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        // Incomplete, or left to the library to reject in its turn.
        Ok(httparse::Status::Partial) | Err(_) => return None,
    };
    if head.method != Some("GET") || head.version != Some(1) {
        return None;
    }
    let mut request = Request::get(head.path?).body(()).ok()?;
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        request
            .headers_mut()
            .append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    let not_pipelined = [
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::CONNECTION,
        header::EXPECT,
    ];
    if not_pipelined
        .iter()
        .any(|name| request.headers().contains_key(name))
    {
        return None;
    }
    Some((request.into_parts().0, length))
}
