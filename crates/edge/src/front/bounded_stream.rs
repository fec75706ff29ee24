//! A connection to a target that fails once more bytes arrive than a response may have.
//!
//! A target in trouble may send bytes without end in place of a response or of a part of it: a head,
//! interim responses, framing, a body. The HTTP library bounds some of these, each in its own way;
//! this bounds what it reads in all.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// How many more bytes may arrive on a connection.
#[derive(Clone, Debug)]
pub(super) struct ByteAllowance(Rc<Cell<u64>>);

impl ByteAllowance {
    /// Opens an allowance of `bytes`.
    pub(super) fn open(bytes: u64) -> ByteAllowance {
        ByteAllowance(Rc::new(Cell::new(bytes)))
    }

    /// Sets how many more bytes may arrive.
    pub(super) fn set(&self, bytes: u64) {
        self.0.set(bytes);
    }
}

/// A stream that reads no more than its allowance.
#[derive(Debug)]
pub(super) struct BoundedStream {
    stream: TcpStream,
    allowance: ByteAllowance,
}

impl BoundedStream {
    /// Wraps a connection.
    pub(super) fn open(stream: TcpStream, allowance: ByteAllowance) -> BoundedStream {
        BoundedStream { stream, allowance }
    }
}

impl AsyncRead for BoundedStream {
    /// Fails with [`io::ErrorKind::InvalidData`] once the allowance is used up.
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = (buf.filled().len() - before) as u64;
        let left = self.allowance.0.get().checked_sub(read);
        let left = left.ok_or_else(|| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "the target sends more than a response may have",
            )
        })?;
        self.allowance.set(left);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
