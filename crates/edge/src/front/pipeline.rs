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

use super::{Front, caller_stream::CallerStream, request::Gone, response::End, select};

/// Requests of one connection that are begun ahead: callers send a few at once, and one that sends
/// more must not take all slots.
const MOST: usize = 8;

/// Header fields of a request that is begun ahead; one with more waits for its turn.
const FIELDS: usize = 32;

/// Requests of one connection that were begun ahead of their turn.
#[derive(Debug, Default)]
pub(super) struct Ahead {
    begun: RefCell<BTreeMap<Arc<str>, Begun>>,
}

/// A run that was begun ahead. Dropped before its turn, it is cancelled: its caller is gone.
#[derive(Debug)]
struct Begun {
    method: Method,
    target: String,
    /// The run; `None` once its turn has come.
    task: Option<JoinHandle<End>>,
    front: Rc<Front>,
    id: Arc<str>,
}

impl Drop for Begun {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
            self.front.left(&self.id, Duration::ZERO);
        }
    }
}

impl Ahead {
    /// Whether requests are begun whose turn has not come.
    pub(super) fn is_empty(&self) -> bool {
        self.begun.borrow().is_empty()
    }

    /// The end of a request, if it was begun ahead.
    pub(super) async fn take(&self, id: &str, head: &Parts) -> Option<End> {
        let mut begun = self.begun.borrow_mut().remove(id)?;
        let target = head
            .uri
            .path_and_query()
            .map(http::uri::PathAndQuery::as_str);
        if begun.method != head.method || target != Some(&begun.target) {
            return None;
        }
        let task = begun.task.take()?;
        let _abort = Abort(task.abort_handle());
        // A run that was aborted or panicked has no end; the request is then run in its turn.
        task.await.ok()
    }

    /// Begins further requests as they are seen, until the caller leaves. To be called with `begins`
    /// only where what is read ahead begins with a request: behind one without a body.
    ///
    /// A body that arrives in pieces is read ahead as well. Were its second piece taken for a request,
    /// a caller could have anything run in another one's name.
    pub(super) async fn watch(&self, front: &Rc<Front>, wire: &CallerStream, begins: bool) -> Gone {
        loop {
            while begins && wire.look(|bytes| self.begin(front, bytes)) {}
            if !wire.more().await {
                return Gone;
            }
        }
    }

    /// Begins the request at the start of `bytes`, if it is whole and may run ahead. Tells its
    /// length; nothing behind a request that waits for its turn is looked at.
    fn begin(&self, front: &Rc<Front>, bytes: &[u8]) -> usize {
        if front.leaving.get().is_some() || self.begun.borrow().len() >= MOST {
            return 0;
        }
        let Some((head, length)) = parse(bytes) else {
            return 0;
        };
        let id = front.id_of(&head.headers);
        if !front.may_begin(&head) || self.begun.borrow().contains_key(&id) {
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
        let (front, begun) = (Rc::clone(front), Arc::clone(&id));
        let begun = Begun {
            method,
            target,
            task: Some(task),
            front,
            id: begun,
        };
        self.begun.borrow_mut().insert(id, begun);
        length
    }
}

/// Ends a task when dropped.
struct Abort(tokio::task::AbortHandle);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Front {
    /// Whether a request may run before its turn: only one that may run again, since its caller
    /// sends it anew if the connection ends before it is answered.
    fn may_begin(&self, head: &Parts) -> bool {
        let view = self.shared.view.load();
        let route = select::route(&view, &head.headers, &head.uri);
        route.is_some_and(|route| route.repeatable)
    }
}

/// Parses a whole head of a request without a body.
fn parse(bytes: &[u8]) -> Option<(Parts, usize)> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
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
    let apart = [
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::CONNECTION,
        header::EXPECT,
    ];
    if apart
        .iter()
        .any(|name| request.headers().contains_key(name))
    {
        return None;
    }
    Some((request.into_parts().0, length))
}
