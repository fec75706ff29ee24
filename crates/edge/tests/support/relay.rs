//! A loopback proxy that counts bytes and aborted responses and may limit the rate.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Time between two pieces on a rate-limited link.
const PIECE_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes forwarded at once without a rate limit.
const CHUNK: usize = 16 << 10;

#[derive(Debug, Default)]
struct Counters {
    /// Bytes forwarded towards the client.
    bytes: AtomicUsize,
    /// Responses that the client did not read to their end.
    aborted: AtomicUsize,
}

/// A running proxy. Clones share it.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    upstream: Arc<OnceLock<SocketAddr>>,
    counters: Arc<Counters>,
}

impl Relay {
    /// Opens a proxy that forwards `rate` bytes per second towards the client, or is not limited.
    pub fn open(rate: Option<usize>) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let relay = Relay {
            address: listener.local_addr().expect("the listener is bound"),
            upstream: Arc::default(),
            counters: Arc::default(),
        };
        let listening = relay.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let relay = listening.clone();
                thread::spawn(move || relay.serve(&client, rate));
            }
        });
        relay
    }

    /// Sets the address to which the proxy connects. Earlier connections wait for it.
    pub fn connect_to(&self, upstream: SocketAddr) {
        self.upstream
            .set(upstream)
            .expect("the address is set once");
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes forwarded so far.
    pub fn bytes(&self) -> usize {
        self.counters.bytes.load(Ordering::SeqCst)
    }

    /// Returns the responses aborted so far.
    pub fn aborted(&self) -> usize {
        self.counters.aborted.load(Ordering::SeqCst)
    }

    fn serve(&self, client: &TcpStream, rate: Option<usize>) {
        let Ok(server) = TcpStream::connect(self.upstream.wait()) else {
            return;
        };
        // Disables Nagle's algorithm, which would delay the small messages that go back and forth.
        for stream in [client, &server] {
            stream.set_nodelay(true).expect("a loopback socket");
        }
        thread::scope(|scope| {
            scope.spawn(|| {
                let _ = std::io::copy(&mut &*client, &mut &server);
                let _ = server.shutdown(Shutdown::Both);
            });
            if self.forward(&server, client, rate).is_err() {
                self.counters.aborted.fetch_add(1, Ordering::SeqCst);
            }
            let _ = client.shutdown(Shutdown::Both);
            let _ = server.shutdown(Shutdown::Both);
        });
    }

    /// Forwards responses. Returns an error if the client closes the connection before the end of
    /// one.
    fn forward(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        rate: Option<usize>,
    ) -> std::io::Result<()> {
        let piece = rate.map_or(CHUNK, |rate| {
            (rate as f64 * PIECE_INTERVAL.as_secs_f64()) as usize
        });
        let mut chunk = vec![0; piece];
        loop {
            let n = match from.read(&mut chunk) {
                Ok(0) => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return Ok(()),
                Ok(n) => n,
            };
            to.write_all(&chunk[..n])?;
            self.counters.bytes.fetch_add(n, Ordering::SeqCst);
            // A limited rate takes real time, but no test depends on how long.
            if rate.is_some() {
                thread::sleep(PIECE_INTERVAL);
            }
        }
    }
}
