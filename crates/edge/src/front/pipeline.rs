//! Requests that a caller sent behind one that is not answered yet.
//!
//! Load: callers that send several requests at once on a connection. Answers must come in the order
//! of the requests, and the HTTP library reads a request only when the one before it is answered;
//! run one after the other, the third of them waits for two runs, and is late although targets are
//! free. So repeatable requests without a body are begun as soon as they are seen. The library still
//! reads and frames every request; when it comes to one that was begun, it waits for that run.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use http::{HeaderName, HeaderValue, Method, Request, header, request::Parts};
use tokio::task::JoinHandle;

use super::{
    Front, caller_stream::CallerStream, request::CallerGone, response::RequestEnd, select,
};

/// Requests of one connection that are begun ahead: callers send a few at once, and one that sends
/// more must not take all slots.
const MAX_PIPELINED: usize = 8;

/// Header fields of a request that is begun ahead; one with more waits for its turn.
const MAX_PIPELINED_FIELDS: usize = 32;

/// Requests of one connection that were begun ahead of their turn.
#[derive(Debug, Default)]
pub(super) struct Pipeline {
    started: RefCell<BTreeMap<Arc<str>, PipelinedRequest>>,
}

/// A run that was begun ahead. Dropped before its turn, it is cancelled: its caller is gone.
#[derive(Debug)]
struct PipelinedRequest {
    method: Method,
    target: String,
    /// The run; `None` once its turn has come.
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
    /// Whether requests are begun whose turn has not come.
    pub(super) fn is_empty(&self) -> bool {
        self.started.borrow().is_empty()
    }

    /// The end of a request, if it was begun ahead.
    pub(super) async fn take(&self, id: &str, head: &Parts) -> Option<RequestEnd> {
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
        // A run that was aborted or panicked has no end; the request is then run in its turn.
        task.await.ok()
    }

    /// Begins further requests as they are seen, until the caller leaves. To be called with `begins`
    /// only where what is read ahead begins with a request: behind one without a body.
    ///
    /// A body that arrives in pieces is read ahead as well. Were its second piece taken for a request,
    /// a caller could have anything run in another one's name.
    pub(super) async fn watch(
        &self,
        front: &Rc<Front>,
        stream: &CallerStream,
        at_request_start: bool,
    ) -> CallerGone {
        loop {
            while at_request_start && stream.parse_ahead(|bytes| self.start(front, bytes)) {}
            if !stream.wait_for_more().await {
                return CallerGone;
            }
        }
    }

    /// Begins the request at the start of `bytes`, if it is whole and may run ahead. Tells its
    /// length; nothing behind a request that waits for its turn is looked at.
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
        let task =
            tokio::task::spawn_local(
                async move { running.answer(head, None, Duration::ZERO).await },
            );
        let (front, started) = (Rc::clone(front), Arc::clone(&id));
        let started = PipelinedRequest {
            method,
            target,
            task: Some(task),
            front,
            id: started,
        };
        self.started.borrow_mut().insert(id, started);
        length
    }
}

/// Ends a task when dropped.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Front {
    /// Whether a request may run before its turn: only one that may run again, since its caller
    /// sends it anew if the connection ends before it is answered.
    fn may_start_early(&self, head: &Parts) -> bool {
        let view = self.shared.view.load();
        let route = select::route(&view, &head.headers, &head.uri);
        route.is_some_and(|route| route.repeatable)
    }
}

/// Parses a whole head of a request without a body.
fn parse(bytes: &[u8]) -> Option<(Parts, usize)> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_PIPELINED_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        // Not whole yet, or the library's to refuse when its turn comes.
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
