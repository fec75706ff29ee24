//! A loopback proxy whose connections can be delayed, reset, muted or refused.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// How the proxy treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Forwards bytes unchanged.
    Pass,
    /// Delays bytes.
    Slow,
    /// Resets open and new connections.
    Reset,
    /// Discards bytes towards the client.
    Mute,
    /// Resets open connections and refuses new ones, as where no process listens.
    Down,
}

/// Delay of bytes in [`Mode::Slow`].
const DELAY: Duration = Duration::from_millis(150);

/// Interval between two attempts to bind the address again after [`Mode::Down`].
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the copy buffer, in bytes.
const CHUNK: usize = 16 << 10;

/// A running proxy.
#[derive(Debug)]
pub(super) struct Proxy {
    pub(super) address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Binds a free port on `ip` and forwards its connections to `to`.
    pub(super) async fn bind(ip: std::net::IpAddr, to: SocketAddr) -> anyhow::Result<Proxy> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0))
            .await
            .context("a proxy's port")?;
        let address = listener.local_addr().context("a proxy's port")?;
        let (mode, modes) = watch::channel(Mode::Pass);
        tokio::spawn(accept(listener, modes, to));
        Ok(Proxy { address, mode })
    }

    /// Returns the sender that changes the mode.
    pub(super) fn switch(&self) -> watch::Sender<Mode> {
        self.mode.clone()
    }

    /// Changes the mode, also for open connections.
    pub(super) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts connections until the proxy is dropped.
async fn accept(listener: TcpListener, mut modes: watch::Receiver<Mode>, to: SocketAddr) {
    let address = listener.local_addr();
    let mut next = Some(listener);
    while let Some(listener) = next.take() {
        accept_until_down(listener, modes.clone(), to).await;
        if modes.wait_for(|mode| *mode != Mode::Down).await.is_err() {
            return;
        }
        let Ok(address) = address else { return };
        while next.is_none() {
            next = TcpListener::bind(address).await.ok();
            tokio::time::sleep(REBIND_INTERVAL).await;
        }
    }
}

/// Accepts connections until the mode is [`Mode::Down`] or the proxy is dropped.
async fn accept_until_down(listener: TcpListener, modes: watch::Receiver<Mode>, to: SocketAddr) {
    let mut open = modes.clone();
    let accept = async {
        // Accepting fails only if the process runs out of descriptors, which fails the soak.
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(serve(near, to, modes.clone()));
        }
    };
    tokio::select! {
        () = accept => {}
        _ = open.wait_for(|mode| *mode == Mode::Down) => {}
    }
}

async fn serve(near: TcpStream, to: SocketAddr, mut modes: watch::Receiver<Mode>) {
    if *modes.borrow() == Mode::Reset {
        reset(&near);
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        reset(&near);
        return;
    };
    // Nagle's algorithm would delay the small messages that go back and forth.
    if near
        .set_nodelay(true)
        .and_then(|()| far.set_nodelay(true))
        .is_err()
    {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let (up, down) = (modes.clone(), modes.clone());
    let both = async {
        tokio::join!(
            pump(near_read, far_write, up, false),
            pump(far_read, near_write, down, true)
        );
    };
    tokio::select! {
        () = both => {}
        _ = modes.wait_for(|mode| matches!(mode, Mode::Reset | Mode::Down)) => {}
    }
}

/// Copies bytes in one direction until either side closes.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    modes: watch::Receiver<Mode>,
    is_answer: bool,
) {
    let mut chunk = vec![0; CHUNK];
    // A read error closes the connection as end of stream does; the other side sees it either way.
    while let Ok(n) = from.read(&mut chunk).await
        && n > 0
    {
        let mode = *modes.borrow();
        match mode {
            Mode::Slow => tokio::time::sleep(DELAY).await,
            Mode::Mute if is_answer => continue,
            Mode::Pass | Mode::Reset | Mode::Mute | Mode::Down => {}
        }
        if to.write_all(&chunk[..n]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}

/// Makes closing the connection send a reset instead of a FIN.
fn reset(stream: &TcpStream) {
    if let Err(e) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(error:% = e; "cannot set SO_LINGER; the connection closes without a reset");
    }
}
