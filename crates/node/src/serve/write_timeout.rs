//! A TCP stream with a timeout on stalled writes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

/// A stream whose writes fail when no byte can be sent for `time`.
#[derive(Debug)]
pub(super) struct WriteTimeout {
    stream: TcpStream,
    time: Duration,
    /// Runs while a write is pending.
    timer: Pin<Box<Sleep>>,
    pending: bool,
}

impl WriteTimeout {
    pub(super) fn open(stream: TcpStream, time: Duration) -> WriteTimeout {
        WriteTimeout {
            stream,
            time,
            timer: Box::pin(sleep(time)),
            pending: false,
        }
    }

    /// Returns the result of a write, or an error if the write has been pending for too long.
    fn enforce<T>(
        &mut self,
        context: &mut Context<'_>,
        sent: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if sent.is_ready() {
            self.pending = false;
            return sent;
        }
        if !self.pending {
            self.pending = true;
            self.timer.as_mut().reset(Instant::now() + self.time);
        }
        ready!(self.timer.as_mut().poll(context));
        let detail = "write timeout: the peer does not read the response";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, detail)))
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.enforce(context, sent)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.enforce(context, sent)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
