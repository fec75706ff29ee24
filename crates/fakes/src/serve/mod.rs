//! Serving: a thread that answers on one or several listeners.

mod gate;

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

pub(crate) use gate::{Gate, Port};

use crate::answer::Answer;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Answers one request.
pub(crate) type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// A listener with what answers on it.
pub(crate) struct Door {
    listener: TcpListener,
    gate: Gate,
    connections: Arc<Semaphore>,
    handler: Handler,
}

impl Door {
    /// Binds `addr`; at most `connections` are served at once, others are closed.
    pub(crate) fn bind(
        addr: &str,
        connections: usize,
        gate: Gate,
        handler: Handler,
    ) -> anyhow::Result<Self> {
        let listener = listen(addr).with_context(|| format!("binding {addr}"))?;
        Ok(Self {
            listener,
            gate,
            connections: Arc::new(Semaphore::new(connections)),
            handler,
        })
    }

    /// Gives the address bound.
    pub(crate) fn addr(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.listener.local_addr()?)
    }

    /// Accepts while the gate is open, and refuses while it is shut.
    ///
    /// A shut port stays bound, so that no other process takes it before it opens again.
    async fn attend(self) -> anyhow::Result<()> {
        let mut gate = self.gate.follow();
        loop {
            if !gate.is_open() {
                SockRef::from(&self.listener).shutdown(Shutdown::Read)?;
                self.gate.note(Port::Shut);
                gate.opened().await;
                SockRef::from(&self.listener).listen(BACKLOG)?;
                self.gate.note(Port::Open);
            }
            let listener = tokio::net::TcpListener::from_std(self.listener.try_clone()?)?;
            tokio::select! {
                () = self.accept(&listener) => {}
                () = gate.shut() => {}
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
            let (gate, handler) = (self.gate.clone(), Arc::clone(&self.handler));
            tokio::spawn(async move {
                converse(stream, &gate, handler).await;
                drop(permit);
            });
        }
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.gate.note(Port::Gone);
    }
}

/// Binds an address by its number and listens.
///
/// A port that the system chose is let go when its socket stops listening, and a target that
/// comes back would come back elsewhere. So a free port is found with one socket, and bound by
/// its number with another before the first lets go.
fn listen(addr: &str) -> anyhow::Result<TcpListener> {
    let found = bind(addr.parse()?)?;
    let addr = found.local_addr()?;
    let held = bind(addr.as_socket().context("not an IP address")?)?;
    drop(found);
    held.listen(BACKLOG)?;
    held.set_nonblocking(true)?;
    Ok(held.into())
}

fn bind(addr: SocketAddr) -> anyhow::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

/// Serves one connection until it ends or the gate cuts it.
async fn converse(stream: TcpStream, gate: &Gate, handler: Handler) {
    // Without it small answers on a kept connection wait for the peer's delayed acknowledgement.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut gate = gate.follow();
    // Accepted just as the port was shut: a port that refuses answers nobody.
    if !gate.is_open() {
        return;
    }
    let service = service_fn(move |req| handler(req));
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = conn => {}
        () = gate.cut() => {}
    }
}

/// A thread that serves doors until it is dropped.
pub(crate) struct Server {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts the thread.
    pub(crate) fn spawn(name: &str, doors: Vec<Door>) -> anyhow::Result<Self> {
        let rt = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = oneshot::channel();
        let run = move || {
            rt.block_on(async move {
                for door in doors {
                    tokio::spawn(door.attend());
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

    /// Ends the thread and closes all its connections.
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
