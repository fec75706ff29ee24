//! A caller's connection that reads ahead, to detect at once that the caller disconnected and to
//! see pipelined requests early.
//!
//! A caller that sends further requests before the first is answered leaves bytes unread, and
//! behind unread bytes the HTTP library does not see the end of the connection: targets would keep
//! working for a caller that has disconnected. So the bytes are read ahead into a bounded buffer,
//! and the end behind them is seen.

use std::{
    cell::{RefCell, RefMut},
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
    sync::Notify,
    time::Instant,
};

use super::delivery::Delivery;

/// Size of the read-ahead buffer. While a caller has filled it, its disconnect is not seen; heads
/// of pipelined requests are a few hundred bytes each.
const MAX_READ_AHEAD: usize = 32 << 10;

/// End of a request head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// Interval between two checks of a caller that has not read its response.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Size of one read.
const READ_CHUNK: usize = 4 << 10;

/// Limits of a lingering close.
#[derive(Clone, Debug)]
pub(super) struct LingerLimits {
    /// How long a caller that has received all must be silent.
    pub(super) silence: Duration,
    /// How long a caller may receive nothing while bytes wait for it.
    pub(super) stall: Duration,
    /// How long a caller that has received all may go on sending.
    pub(super) surplus: Duration,
}

/// A caller's connection, shared by the HTTP library and by tasks that wait for its end.
#[derive(Clone, Debug)]
pub struct CallerStream(Rc<RefCell<Inner>>);

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    /// Bytes that were read and not yet given to the HTTP library.
    buffer: BytesMut,
    /// Length of the part of `buffer` that was already parsed as pipelined requests.
    parsed: usize,
    /// The last bytes given to the library: the end of a head may be split between two reads.
    last_bytes: [u8; 3],
    /// Whether reads of the library are paused; `waker` resumes them.
    is_paused: bool,
    waker: Option<Waker>,
    /// Whether the caller has closed its direction, or the connection is broken.
    is_over: bool,
    delivery: Delivery,
    /// Until when the caller waits for the last response; `None` if it waits for none.
    owed_until: Option<Instant>,
    /// Notifies [`CallerStream::unread_for`] that bytes begin to wait.
    unread: Rc<Notify>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn open(stream: TcpStream) -> CallerStream {
        CallerStream(Rc::new(RefCell::new(Inner {
            stream,
            buffer: BytesMut::new(),
            parsed: 0,
            last_bytes: [0; 3],
            is_paused: false,
            waker: None,
            is_over: false,
            delivery: Delivery::open(),
            owed_until: None,
            unread: Rc::default(),
        })))
    }

    /// Turns off the kernel's delay of small writes.
    pub(super) fn set_nodelay(&self) -> io::Result<()> {
        self.0.borrow().stream.set_nodelay(true)
    }

    /// Waits until more bytes were read ahead; returns false once the caller has closed the
    /// connection. Must be polled by the task that serves the connection.
    pub(super) async fn wait_for_more(&self) -> bool {
        let before = self.0.borrow().buffer.len();
        std::future::poll_fn(|cx| self.0.borrow_mut().poll_more(cx, before)).await
    }

    /// Whether the caller has already closed the connection and nothing more can be read.
    ///
    /// This asks the kernel. The runtime reports the end of a connection only in its next turn: if
    /// a turn is long, a request and the disconnect arrive in the same one, and the disconnect
    /// would be seen only after the request was sent on.
    pub fn is_closed(&self) -> bool {
        let mut inner = self.0.borrow_mut();
        if !inner.is_over {
            let mut byte = [MaybeUninit::uninit()];
            let peeked = SockRef::from(&inner.stream).peek(&mut byte);
            // Any error but "nothing to read yet" breaks the next read as well.
            inner.is_over = match peeked {
                Ok(n) => n == 0,
                Err(e) => e.kind() != io::ErrorKind::WouldBlock,
            };
        }
        inner.is_over
    }

    /// Waits until `is_pressed` while the caller has not read a response that it may lose: see
    /// [`CallerStream::is_abandoned`].
    pub(super) async fn unread_for(&self, time: Duration, is_pressed: impl Fn() -> bool) {
        let unread = Rc::clone(&self.0.borrow().unread);
        loop {
            unread.notified().await;
            while self.0.borrow().delivery.is_unwritten() {
                if self.is_abandoned(time) && is_pressed() {
                    return;
                }
                tokio::time::sleep(UNREAD_CHECK_INTERVAL).await;
            }
        }
    }

    /// Records that the caller waits for a response until `deadline`.
    pub(in crate::front) fn owe_until(&self, deadline: Instant) {
        self.0.borrow_mut().owed_until = Some(deadline);
    }

    /// Whether the caller has received all bytes that were written to it.
    pub(super) fn is_delivered(&self) -> bool {
        self.updated().is_complete()
    }

    /// Returns the time since the caller last received bytes.
    pub(super) fn quiet_for(&self) -> Duration {
        self.updated().quiet_for()
    }

    /// Whether a response waits for the caller that may be given up if resources are short: the
    /// caller has received nothing of it for `time`, or its deadline has passed.
    pub(super) fn is_abandoned(&self, time: Duration) -> bool {
        let is_overdue = |deadline| Instant::now() >= deadline;
        let owed_until = self.0.borrow().owed_until;
        let delivery = self.updated();
        !delivery.is_complete()
            && (delivery.quiet_for() >= time || owed_until.is_some_and(is_overdue))
    }

    /// Returns how far the bytes have come at this moment.
    fn updated(&self) -> RefMut<'_, Delivery> {
        RefMut::map(self.0.borrow_mut(), |inner| {
            inner.delivery.update(&inner.stream);
            &mut inner.delivery
        })
    }

    /// Pauses reads of the HTTP library until the guard is dropped. Bytes read ahead meanwhile
    /// begin with the next request.
    pub(super) fn pause_reads(&self) -> ReadPause {
        self.0.borrow_mut().is_paused = true;
        ReadPause(self.clone())
    }

    /// Passes the bytes that were read ahead and not parsed yet to `parse`, which returns how
    /// many of them it used.
    pub(super) fn parse_ahead(&self, parse: impl FnOnce(&[u8]) -> usize) -> bool {
        let inner = &mut *self.0.borrow_mut();
        let used = parse(&inner.buffer[inner.parsed..]);
        inner.parsed += used;
        used > 0
    }
}

/// Pauses the HTTP library's reads until it is dropped.
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
    /// Lingering close: shuts down the sending direction, then reads and drops what still arrives
    /// until the caller closes its direction, or has received all and sends nothing more, or a limit
    /// is reached. Call it once the HTTP library has dropped the stream.
    ///
    /// A connection that is closed with unread bytes, or gets bytes later, is reset, and the reset
    /// overtakes the response: a caller that had already sent its next request would lose the
    /// response to the one that ran.
    pub(super) async fn linger(&self, limits: &LingerLimits) {
        self.0.borrow_mut().delivery.on_flushed();
        // A connection that cannot be shut down is broken, which the next read reports.
        let _ =
            std::future::poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx))
                .await;
        let mut delivered_at = None;
        loop {
            let read = tokio::time::timeout(limits.silence, self.discard()).await;
            if matches!(read, Ok(false)) {
                return;
            }
            let is_silent = read.is_err();
            if self.is_delivered() {
                let since: &mut Instant = delivered_at.get_or_insert_with(Instant::now);
                if is_silent || since.elapsed() >= limits.surplus {
                    return;
                }
            } else if self.quiet_for() >= limits.stall {
                return;
            }
        }
    }

    /// Reads and drops bytes once; returns false at the end of the connection.
    async fn discard(&self) -> bool {
        std::future::poll_fn(|cx| {
            let inner = &mut *self.0.borrow_mut();
            inner.buffer.clear();
            inner.parsed = 0;
            if !inner.is_over {
                ready!(inner.poll_fill(cx));
            }
            Poll::Ready(!inner.is_over)
        })
        .await
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

    /// Returns how many bytes the library gets next: up to the end of a head, if one ends here. It
    /// never gets a head together with the beginning of the next request, so what stays in the
    /// buffer begins with that request.
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

    fn note_write(&mut self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Pending => {
                if self.delivery.on_blocked() {
                    self.unread.notify_one();
                }
            }
            Poll::Ready(Ok(1..)) => self.delivery.on_written(),
            Poll::Ready(_) => {}
        }
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
        let inner = &mut *self.0.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write(cx, buf);
        inner.note_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let inner = &mut *self.0.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write_vectored(cx, bufs);
        inner.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let inner = &mut *self.0.borrow_mut();
        // The library flushes once it has written all that it holds.
        inner.delivery.on_flushed();
        Pin::new(&mut inner.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }
}
