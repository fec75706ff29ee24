//! How far the bytes written to a connection have come: to the kernel, and to the peer.

use std::{mem::offset_of, os::fd::AsFd, time::Duration};

use nix::{
    getsockopt_impl,
    sys::socket::{getsockopt, sockopt::GetStruct},
};
use tokio::time::Instant;

/// `tcpi_state` of a connection that is closed or was reset.
const TCP_CLOSE: u8 = 7;

/// First fields of the kernel's `struct tcp_info`, up to the last one that is read. Kernels differ in
/// the fields that follow; each copies as much as there is room for.
#[derive(Clone, Copy, Debug)]
#[repr(C)]
struct TcpInfo {
    state: u8,
    flags: [u8; 7],
    timing: [u32; 4],
    /// Segments that were sent and are not acknowledged.
    unacked: u32,
    path: [u32; 7],
    /// Milliseconds since the peer last acknowledged anything.
    last_ack_recv: u32,
    limits: [u32; 11],
    pacing: [u64; 2],
    /// Bytes acknowledged by the peer since the connection was opened.
    bytes_acked: u64,
    bytes_received: u64,
    segments: [u32; 2],
    /// Bytes in the send queue that were not sent.
    notsent: u32,
    min_rtt: u32,
}

const _: () = {
    assert!(offset_of!(TcpInfo, unacked) == offset_of!(libc::tcp_info, tcpi_unacked));
    assert!(offset_of!(TcpInfo, last_ack_recv) == offset_of!(libc::tcp_info, tcpi_last_ack_recv));
    assert!(offset_of!(TcpInfo, bytes_acked) == offset_of!(libc::tcp_info, tcpi_bytes_acked));
    assert!(offset_of!(TcpInfo, notsent) == offset_of!(libc::tcp_info, tcpi_notsent_bytes));
};

/// The socket option that reads a [`TcpInfo`].
#[derive(Clone, Copy, Debug)]
struct GetTcpInfo;

getsockopt_impl!(
    GetTcpInfo,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    TcpInfo,
    GetStruct<TcpInfo>
);

/// Progress of the bytes written to one connection.
#[derive(Debug)]
pub(super) struct Delivery {
    /// Whether the HTTP library holds bytes that the kernel has not taken.
    is_unwritten: bool,
    /// Whether bytes may wait in the kernel for the peer's acknowledgement. May be true although
    /// all are acknowledged, until the next [`Delivery::update`]; never false while some wait.
    is_unacked: bool,
    /// Bytes acknowledged at the last update.
    acked: u64,
    /// When bytes were last acknowledged, or began to wait.
    progress_at: Instant,
}

impl Delivery {
    /// Opens the state of a connection on which nothing was written.
    pub(super) fn open() -> Delivery {
        Delivery {
            is_unwritten: false,
            is_unacked: false,
            acked: 0,
            progress_at: Instant::now(),
        }
    }

    /// Whether the HTTP library holds bytes that the kernel has not taken.
    pub(super) fn is_unwritten(&self) -> bool {
        self.is_unwritten
    }

    /// Whether the peer has acknowledged all bytes, as of the last update.
    pub(super) fn is_complete(&self) -> bool {
        !self.is_unwritten && !self.is_unacked
    }

    /// Returns the time since the peer last acknowledged bytes, as of the last update.
    pub(super) fn quiet_for(&self) -> Duration {
        self.progress_at.elapsed()
    }

    /// Records that bytes were written to the kernel.
    pub(super) fn on_written(&mut self) {
        self.begin_if_complete();
        self.is_unacked = true;
    }

    /// Records that the kernel did not take the library's bytes. Returns true if none waited
    /// before.
    pub(super) fn on_blocked(&mut self) -> bool {
        self.begin_if_complete();
        !std::mem::replace(&mut self.is_unwritten, true)
    }

    /// Records that the HTTP library holds no bytes any more.
    pub(super) fn on_flushed(&mut self) {
        self.is_unwritten = false;
    }

    /// Asks the kernel what the peer has acknowledged. A connection that was reset, or whose state
    /// cannot be read, has nothing left to deliver.
    pub(super) fn update(&mut self, stream: &impl AsFd) {
        if !self.is_unacked {
            return;
        }
        let Some(info) = getsockopt(stream, GetTcpInfo)
            .ok()
            .filter(|info| info.state != TCP_CLOSE)
        else {
            self.is_unacked = false;
            return;
        };
        if info.bytes_acked > self.acked {
            self.acked = info.bytes_acked;
            let since = Duration::from_millis(info.last_ack_recv.into());
            let acked_at = Instant::now().checked_sub(since);
            self.progress_at = self.progress_at.max(acked_at.unwrap_or(self.progress_at));
        }
        self.is_unacked = info.unacked > 0 || info.notsent > 0;
    }

    fn begin_if_complete(&mut self) {
        if self.is_complete() {
            self.progress_at = Instant::now();
        }
    }
}
