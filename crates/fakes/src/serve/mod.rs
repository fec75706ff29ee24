//! A thread that serves HTTP on one or several listeners.

mod port_switch;

use std::{
    net::{Shutdown, SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
};

use anyhow::Context;
use futures::future::BoxFuture;
use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::{
    net::TcpStream,
    runtime,
    sync::{Semaphore, oneshot},
};

pub(crate) use port_switch::{PortState, PortSwitch};

use crate::response::HandlerResult;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Handles one request.
pub(crate) type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, HandlerResult> + Send + Sync>;

/// A listening socket with the handler of its requests.
pub(crate) struct Listener {
    listener: TcpListener,
    port_switch: PortSwitch,
    connections: Arc<Semaphore>,
    handler: Handler,
}

impl Listener {
    /// Binds `addr`. At most `connections` connections are served at once; others are closed.
    pub(crate) fn bind(
        addr: &str,
        connections: usize,
        port_switch: PortSwitch,
        handler: Handler,
    ) -> anyhow::Result<Self> {
        let listener = listen(addr).with_context(|| format!("binding {addr}"))?;
        Ok(Self {
            listener,
            port_switch,
            connections: Arc::new(Semaphore::new(connections)),
            handler,
        })
    }

    /// Returns the bound address.
    pub(crate) fn addr(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Accepts connections while the switch is open and refuses them while it is closed.
    ///
    /// A closed port stays bound so that no other process can take it before it opens again.
    async fn run(self) -> anyhow::Result<()> {
        let mut watcher = self.port_switch.subscribe();
        loop {
            if !watcher.is_open() {
                SockRef::from(&self.listener).shutdown(Shutdown::Read)?;
                self.port_switch.set_state(PortState::Closed);
                watcher.wait_open().await;
                SockRef::from(&self.listener).listen(BACKLOG)?;
                self.port_switch.set_state(PortState::Open);
            }
            let listener = tokio::net::TcpListener::from_std(self.listener.try_clone()?)?;
            tokio::select! {
                () = self.accept(&listener) => {}
                () = watcher.wait_closed() => {}
            }
        }
    }

    async fn accept(&self, listener: &tokio::net::TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let Ok(permit) = Arc::clone(&self.connections).try_acquire_owned() else {
                continue;
            };
            let (port_switch, handler) = (self.port_switch.clone(), Arc::clone(&self.handler));
            tokio::spawn(async move {
                serve_connection(stream, &port_switch, handler).await;
                drop(permit);
            });
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.port_switch.set_state(PortState::Released);
    }
}

/// Binds an address by an explicit port number and listens.
///
/// The system releases a port that it selected itself when the socket stops listening, so a target
/// that is restarted would get another port. Therefore one socket finds a free port, and a second
/// one binds it by its number before the first is closed.
fn listen(addr: &str) -> anyhow::Result<TcpListener> {
    let probe_socket = bind(addr.parse()?)?;
    let addr = probe_socket.local_addr()?;
    let bound_socket = bind(addr.as_socket().context("not an IP address")?)?;
    drop(probe_socket);
    bound_socket.listen(BACKLOG)?;
    bound_socket.set_nonblocking(true)?;
    Ok(bound_socket.into())
}

fn bind(addr: SocketAddr) -> anyhow::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

/// Serves one connection until it ends or the port is closed.
async fn serve_connection(stream: TcpStream, port_switch: &PortSwitch, handler: Handler) {
    // Without TCP_NODELAY, small responses on a kept-alive connection wait for the peer's delayed
    // acknowledgement.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut watcher = port_switch.subscribe();
    // The connection was accepted just as the port closed; a closed port sends no response.
    if !watcher.is_open() {
        return;
    }
    let service = service_fn(move |req| handler(req));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = conn => {}
        () = watcher.wait_disconnect() => {}
    }
}

/// A thread that serves listeners until the handle is dropped.
pub(crate) struct Server {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts the thread.
    pub(crate) fn spawn(name: &str, listeners: Vec<Listener>) -> anyhow::Result<Self> {
        let rt = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let run = move || {
            rt.block_on(async move {
                for listener in listeners {
                    tokio::spawn(listener.run());
                }
                let _ = stopped.await;
            });
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run)?;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Stops the thread and closes all its connections.
    pub(crate) fn stop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}
