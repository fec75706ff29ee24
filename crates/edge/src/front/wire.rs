//! A caller's connection that notices at once when the caller leaves.
//!
//! A caller that sends further requests before the first is answered leaves bytes unread, and behind
//! unread bytes the HTTP library does not see the end of the connection: targets would go on working
//! for a caller that is gone. So the bytes are read ahead into a bounded buffer, and the end behind
//! them is seen.

use std::{
    cell::RefCell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes read ahead. A caller that fills it is not seen to leave until some of it is used; heads of
/// pipelined requests are a few hundred bytes each.
const AHEAD: usize = 32 << 10;

/// One read.
const CHUNK: usize = 4 << 10;

/// A connection, shared by the HTTP library and by those that wait for its end.
#[derive(Clone, Debug)]
pub(super) struct Wire(Rc<RefCell<Inner>>);

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    ahead: BytesMut,
    /// Whether the other side has closed its direction, or the connection is broken.
    over: bool,
}

impl Wire {
    pub(super) fn open(stream: TcpStream) -> Wire {
        Wire(Rc::new(RefCell::new(Inner {
            stream,
            ahead: BytesMut::new(),
            over: false,
        })))
    }

    /// Waits until the caller has closed the connection. To be polled by the task that serves it.
    pub(super) async fn gone(&self) {
        std::future::poll_fn(|cx| self.0.borrow_mut().poll_gone(cx)).await;
    }
}

impl Wire {
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
            while !inner.over {
                inner.ahead.clear();
                ready!(inner.poll_fill(cx));
            }
            Poll::Ready(())
        });
        // A caller that does not close in time has had its answer for long.
        let _ = tokio::time::timeout(time, drained).await;
    }
}

impl Inner {
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.over {
            if self.ahead.len() >= AHEAD {
                return Poll::Pending;
            }
            ready!(self.poll_fill(cx));
        }
        Poll::Ready(())
    }

    /// Reads once into the buffer; an error counts as the end.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0; CHUNK];
        let mut buf = ReadBuf::new(&mut chunk);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
        self.over = result.is_err() || buf.filled().is_empty();
        self.ahead.extend_from_slice(buf.filled());
        Poll::Ready(())
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.0.borrow_mut();
        if inner.ahead.is_empty() && !inner.over {
            ready!(inner.poll_fill(cx));
        }
        let n = buf.remaining().min(inner.ahead.len());
        buf.put_slice(&inner.ahead[..n]);
        inner.ahead.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Wire {
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
