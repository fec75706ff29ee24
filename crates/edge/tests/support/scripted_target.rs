//! A target that follows a script byte by byte.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use socket2::SockRef;

/// The head of a received request.
#[derive(Clone, Debug)]
pub struct Head {
    /// Index among the requests of this target, from 0.
    pub number: usize,
    /// How long its connection had rested; zero for a new one.
    pub rest: Duration,
    pub text: String,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut lines = self.text.lines();
        lines.find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn id(&self) -> &str {
        self.get("id").unwrap_or("-")
    }

    /// Returns a valid response with this body.
    pub fn answer(&self, body: &str) -> String {
        self.answer_with("200 OK", "Stamp: s\r\n", body)
    }

    pub fn answer_with(&self, status: &str, more: &str, body: &str) -> String {
        let (id, length) = (self.id(), body.len());
        format!("HTTP/1.1 {status}\r\nId: {id}\r\n{more}Content-Length: {length}\r\n\r\n{body}")
    }
}

/// The reaction of a target to a request.
pub enum Script {
    /// Writes the text and keeps the connection open.
    Write(String),
    /// Writes the text and closes the connection.
    Close(String),
    /// Writes the text that arrives on the channel.
    Wait(Receiver<String>),
    /// Waits until the host closes the connection, and then sends on the channel.
    UntilClosed(Sender<()>),
    /// Resets the connection.
    Reset,
    /// Writes the text and then the other one again and again until the host closes the connection,
    /// and sends how many bytes the connection took.
    Endless(String, String, Sender<usize>),
    /// Ends the target: this connection and new ones are refused.
    Crash,
    /// Ends the target as a loss of power does: no answer on this connection, and new ones are
    /// neither accepted nor refused.
    LosePower,
}

/// Size of the send buffer of a target that writes without end, in bytes.
const SEND_BUFFER: usize = 64 << 10;

/// Times that its text is written at once.
const REPEATS: usize = 200;

/// The target accepts connections.
const LISTENING: u8 = 0;
/// The target refuses connections.
const CLOSED: u8 = 1;
/// The target does not react to connections.
const SILENT: u8 = 2;

/// Timeout of a connection that fills the listen queue of a silent target.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

/// Ends a target from one of its connections.
struct Stop {
    address: SocketAddr,
    state: Arc<AtomicU8>,
}

impl Stop {
    fn set(&self, state: u8) {
        self.state.store(state, Ordering::SeqCst);
        // Wakes the acceptor.
        let _ = TcpStream::connect(self.address);
    }
}

/// Keeps the listener open with a full listen queue, so that the kernel drops the first packet of
/// each new connection.
fn stay_silent(listener: &TcpListener) {
    let address = listener.local_addr().expect("the listener is bound");
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, FILL_TIMEOUT) {
        queued.push(stream);
    }
    loop {
        thread::park();
    }
}

/// Returns a loopback address for one target alone. On a shared address, another target could bind
/// the port of one that has ended, and get its requests.
pub(super) fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 0x40 | (high & 0x3f), low, number)
}

type ScriptFn = Arc<dyn Fn(&Head) -> Script + Send + Sync>;

/// A running target.
pub struct ScriptedTarget {
    address: SocketAddr,
    heads: Arc<Mutex<Vec<Head>>>,
    state: Arc<AtomicU8>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
    received: Mutex<Receiver<Head>>,
}

impl ScriptedTarget {
    pub fn open(script: impl Fn(&Head) -> Script + Send + Sync + 'static) -> ScriptedTarget {
        let listener = TcpListener::bind((own_address(), 0)).expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let heads = Arc::new(Mutex::new(Vec::new()));
        let (sender, received) = channel();
        let (script, recorded): (ScriptFn, _) = (Arc::new(script), Arc::clone(&heads));
        let state = Arc::new(AtomicU8::new(LISTENING));
        let stopped = Arc::clone(&state);
        let acceptor = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                match stopped.load(Ordering::SeqCst) {
                    LISTENING => {}
                    SILENT => return stay_silent(&listener),
                    _ => return,
                }
                let (script, recorded, sender) =
                    (Arc::clone(&script), Arc::clone(&recorded), sender.clone());
                let stop = Stop {
                    address,
                    state: Arc::clone(&stopped),
                };
                thread::spawn(move || serve(stream, &script, &recorded, &sender, &stop));
            }
        });
        ScriptedTarget {
            address,
            heads,
            state,
            acceptor: Mutex::new(Some(acceptor)),
            received: Mutex::new(received),
        }
    }

    /// Starts a target that answers every request with `body`.
    pub fn healthy(body: &'static str) -> ScriptedTarget {
        ScriptedTarget::open(move |head| Script::Write(head.answer(body)))
    }

    /// Starts a target that holds its responses. Each message on the channel releases one of them;
    /// dropping the sender releases all.
    pub fn blocking(body: &'static str) -> (ScriptedTarget, Sender<()>) {
        let (sender, receiver) = channel::<()>();
        let receiver = Arc::new(Mutex::new(receiver));
        let scripted = ScriptedTarget::open(move |head| {
            let (answer, script) = channel();
            let (receiver, text) = (Arc::clone(&receiver), head.answer(body));
            thread::spawn(move || {
                let _ = receiver.lock().unwrap().recv();
                let _ = answer.send(text);
            });
            Script::Wait(script)
        });
        (scripted, sender)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections from now on. Open ones stay.
    pub fn stop_listening(&self) {
        let stop = Stop {
            address: self.address,
            state: Arc::clone(&self.state),
        };
        stop.set(CLOSED);
        let acceptor = self.acceptor.lock().unwrap().take();
        acceptor
            .expect("the target still listens")
            .join()
            .expect("the acceptor ends");
    }

    /// Returns the requests received so far.
    pub fn heads(&self) -> Vec<Head> {
        self.heads.lock().unwrap().clone()
    }

    pub fn count(&self) -> usize {
        self.heads().len()
    }

    /// Waits for the next request.
    pub fn next(&self) -> Head {
        self.received
            .lock()
            .unwrap()
            .recv()
            .expect("the target runs")
    }
}

/// Returns how often a request arrived at targets.
pub fn arrivals(targets: &[ScriptedTarget], id: &str) -> usize {
    let heads = targets.iter().flat_map(ScriptedTarget::heads);
    heads.filter(|head| head.id() == id).count()
}

fn serve(
    mut stream: TcpStream,
    script: &ScriptFn,
    heads: &Mutex<Vec<Head>>,
    sender: &Sender<Head>,
    stop: &Stop,
) {
    let mut used_at: Option<Instant> = None;
    while let Some(text) = read_head(&mut stream) {
        let rest = used_at.map_or(Duration::ZERO, |at| at.elapsed());
        let head = {
            let mut heads = heads.lock().unwrap();
            let head = Head {
                number: heads.len(),
                rest,
                text,
            };
            heads.push(head.clone());
            head
        };
        let script = script(&head);
        let _ = sender.send(head);
        match script {
            Script::Crash => {
                stop.set(CLOSED);
                // The listener must be closed before this connection, as at the end of a process.
                while TcpStream::connect(stop.address).is_ok() {}
                return;
            }
            Script::LosePower => {
                stop.set(SILENT);
                loop {
                    thread::park();
                }
            }
            _ => {}
        }
        if !act(&mut stream, script) {
            return;
        }
        used_at = Some(Instant::now());
    }
}

/// Runs the script. Returns whether the connection stays open.
fn act(stream: &mut TcpStream, script: Script) -> bool {
    match script {
        Script::Write(text) => stream.write_all(text.as_bytes()).is_ok(),
        Script::Close(text) => {
            let _ = stream.write_all(text.as_bytes());
            let _ = stream.shutdown(Shutdown::Both);
            false
        }
        Script::Wait(receiver) => {
            let text = receiver.recv().unwrap_or_default();
            stream.write_all(text.as_bytes()).is_ok()
        }
        Script::Reset => {
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            false
        }
        Script::Endless(text, again, sender) => {
            // Bytes that the kernel holds for this side count as taken.
            let _ = SockRef::from(&*stream).set_send_buffer_size(SEND_BUFFER);
            let mut taken = 0;
            let mut next = text.into_bytes();
            while let Ok(n) = stream.write(&next) {
                taken += n;
                next.drain(..n);
                if next.is_empty() {
                    next = again.repeat(REPEATS).into_bytes();
                }
            }
            let _ = sender.send(taken);
            false
        }
        Script::Crash | Script::LosePower => false,
        Script::UntilClosed(sender) => {
            let mut byte = [0];
            while matches!(stream.read(&mut byte), Ok(n) if n > 0) {}
            let _ = sender.send(());
            false
        }
    }
}

/// Reads the head and the body of a request and returns the head.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = Head {
        number: 0,
        rest: Duration::ZERO,
        text: String::from_utf8_lossy(&bytes).into_owned(),
    };
    let length = head
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head.text)
}
