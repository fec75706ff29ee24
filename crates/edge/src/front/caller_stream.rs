//! A caller's connection that notices at once when the caller leaves, and lets further requests be
//! seen before their turn.
//!
//! A caller that sends further requests before the first is answered leaves bytes unread, and behind
//! unread bytes the HTTP library does not see the end of the connection: targets would go on working
//! for a caller that is gone. So the bytes are read ahead into a bounded buffer, and the end behind
//! them is seen.

use std::{
    cell::RefCell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes read ahead. A caller that fills it is not seen to leave until some of it is used; heads of
/// pipelined requests are a few hundred bytes each.
const MAX_READ_AHEAD: usize = 32 << 10;

/// Ends a head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// One read.
const READ_CHUNK: usize = 4 << 10;

/// A connection, shared by the HTTP library and by those that wait for its end.
#[derive(Clone, Debug)]
pub struct CallerStream(Rc<RefCell<Inner>>);

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    /// Bytes that were read and not yet given to the HTTP library.
    buffer: BytesMut,
    /// Bytes of `ahead` that were looked at as further requests.
    parsed: usize,
    /// The last bytes given to the library: the end of a head may be split between two reads.
    last_bytes: [u8; 3],
    /// Whether the library gets nothing for now, and whom to wake when it does again.
    is_paused: bool,
    waker: Option<Waker>,
    /// Whether the other side has closed its direction, or the connection is broken.
    is_over: bool,
}

impl CallerStream {
    /// Takes a connection over.
    pub fn open(stream: TcpStream) -> CallerStream {
        CallerStream(Rc::new(RefCell::new(Inner {
            stream,
            buffer: BytesMut::new(),
            parsed: 0,
            last_bytes: [0; 3],
            is_paused: false,
            waker: None,
            is_over: false,
        })))
    }

    /// Waits until more bytes were read ahead; `false` once the caller has closed the connection.
    /// To be polled by the task that serves it.
    pub(super) async fn wait_for_more(&self) -> bool {
        let before = self.0.borrow().buffer.len();
        std::future::poll_fn(|cx| self.0.borrow_mut().poll_more(cx, before)).await
    }

    /// Whether the caller has already closed the connection and nothing more is to be read.
    ///
    /// The kernel is asked. The runtime tells of the end of a connection only with its next turn: where
    /// a turn is long, a caller's request and its end arrive in the same one, and the end is not seen
    /// before the request has been sent on.
    pub fn is_closed(&self) -> bool {
        let mut inner = self.0.borrow_mut();
        if !inner.is_over {
            let mut byte = [MaybeUninit::uninit()];
            let peeked = SockRef::from(&inner.stream).peek(&mut byte);
            // Any other error than that there is nothing yet breaks the next read as well.
            inner.is_over = match peeked {
                Ok(n) => n == 0,
                Err(e) => e.kind() != io::ErrorKind::WouldBlock,
            };
        }
        inner.is_over
    }

    /// Gives the HTTP library nothing until the guard is dropped. What is read ahead meanwhile
    /// begins where the next request does.
    pub(super) fn pause_reads(&self) -> ReadPause {
        self.0.borrow_mut().is_paused = true;
        ReadPause(self.clone())
    }

    /// Looks at the bytes read ahead that were not looked at before. `look` tells how many of them
    /// it used.
    pub(super) fn parse_ahead(&self, parse_ahead: impl FnOnce(&[u8]) -> usize) -> bool {
        let inner = &mut *self.0.borrow_mut();
        let used = parse_ahead(&inner.buffer[inner.parsed..]);
        inner.parsed += used;
        used > 0
    }
}

/// Holds a connection's further bytes back from the HTTP library.
#[derive(Debug)]
pub(super) struct ReadPause(CallerStream);

impl Drop for ReadPause {
    fn drop(&mut self) {
        let mut inner = self.0.0.borrow_mut();
        inner.is_paused = false;
        if let Some(waker) = inner.waker.take() {
            waker.wake();
        }
    }
}

impl CallerStream {
    /// Tells the caller that nothing more comes, then reads and drops what still arrives, until it
    /// closes its direction too or a time is over. To be called once the last answer is written.
    ///
    /// Closed with unread bytes, a connection is reset, and the reset overtakes the answer: a caller
    /// that had already sent its next request would get nothing for the one that ran.
    pub(super) async fn linger(&self, time: Duration) {
        let drained = std::future::poll_fn(|cx| {
            // A connection that cannot be shut down is broken, which the next read tells.
            let _ = Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx);
            let mut inner = self.0.borrow_mut();
            while !inner.is_over {
                inner.buffer.clear();
                inner.parsed = 0;
                ready!(inner.poll_fill(cx));
            }
            Poll::Ready(())
        });
        // A caller that does not close in time has had its answer for long.
        let _ = tokio::time::timeout(time, drained).await;
    }
}

impl Inner {
    fn poll_more(&mut self, cx: &mut Context<'_>, before: usize) -> Poll<bool> {
        while !self.is_over {
            if self.buffer.len() > before {
                return Poll::Ready(true);
            }
            if self.buffer.len() >= MAX_READ_AHEAD {
                return Poll::Pending;
            }
            ready!(self.poll_fill(cx));
        }
        Poll::Ready(false)
    }

    /// Length of what the library gets next: to the end of a head, if one ends here. With a head it
    /// never gets the beginning of the next request, so that what stays here begins with that.
    fn next_len(&self) -> usize {
        let mut window = self.last_bytes;
        for (n, byte) in self.buffer.iter().enumerate() {
            if [window[0], window[1], window[2], *byte] == *HEAD_END {
                return n + 1;
            }
            window = [window[1], window[2], *byte];
        }
        self.buffer.len()
    }

    fn consume(&mut self, n: usize) {
        for byte in &self.buffer[n.saturating_sub(self.last_bytes.len())..n] {
            self.last_bytes = [self.last_bytes[1], self.last_bytes[2], *byte];
        }
        self.buffer.advance(n);
        self.parsed = self.parsed.saturating_sub(n);
    }

    /// Reads once into the buffer; an error counts as the end.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0; READ_CHUNK];
        let mut buf = ReadBuf::new(&mut chunk);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
        self.is_over = result.is_err() || buf.filled().is_empty();
        self.buffer.extend_from_slice(buf.filled());
        Poll::Ready(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.0.borrow_mut();
        if inner.is_paused {
            inner.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if inner.buffer.is_empty() && !inner.is_over {
            ready!(inner.poll_fill(cx));
        }
        let n = buf.remaining().min(inner.next_len());
        buf.put_slice(&inner.buffer[..n]);
        inner.consume(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }
}
