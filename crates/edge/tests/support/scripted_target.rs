//! A target that does what its script says, byte by byte.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread::{self, JoinHandle},
};

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Head {
    /// Number among the requests of this target, from 0.
    pub number: usize,
    pub text: String,
}

impl Head {
    /// Value of a header.
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

    /// A sound answer with this body.
    pub fn answer(&self, body: &str) -> String {
        self.answer_with("200 OK", "Stamp: s\r\n", body)
    }

    pub fn answer_with(&self, status: &str, more: &str, body: &str) -> String {
        let (id, length) = (self.id(), body.len());
        format!("HTTP/1.1 {status}\r\nId: {id}\r\n{more}Content-Length: {length}\r\n\r\n{body}")
    }
}

/// What a target does with a request.
pub enum Script {
    /// Writes and goes on.
    Write(String),
    /// Writes and closes.
    Close(String),
    /// Waits until told what to write.
    Wait(Receiver<String>),
    /// Waits until the host closes the connection, and tells.
    UntilClosed(Sender<()>),
}

type Rules = Arc<dyn Fn(&Head) -> Script + Send + Sync>;

/// A running target.
pub struct Stand {
    address: SocketAddr,
    heads: Arc<Mutex<Vec<Head>>>,
    is_over: Arc<AtomicBool>,
    acceptor: Mutex<Option<JoinHandle<()>>>,
    arrivals: Mutex<Receiver<Head>>,
}

impl Stand {
    pub fn open(rules: impl Fn(&Head) -> Script + Send + Sync + 'static) -> Stand {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let heads = Arc::new(Mutex::new(Vec::new()));
        let (tell, arrivals) = channel();
        let (rules, noted): (Rules, _) = (Arc::new(rules), Arc::clone(&heads));
        let is_over = Arc::new(AtomicBool::new(false));
        let over = Arc::clone(&is_over);
        let acceptor = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let (rules, noted, tell) = (Arc::clone(&rules), Arc::clone(&noted), tell.clone());
                thread::spawn(move || serve(stream, &rules, &noted, &tell));
            }
        });
        Stand {
            address,
            heads,
            is_over,
            acceptor: Mutex::new(Some(acceptor)),
            arrivals: Mutex::new(arrivals),
        }
    }

    /// A target that answers every request with `body`.
    pub fn sound(body: &'static str) -> Stand {
        Stand::open(move |head| Script::Write(head.answer(body)))
    }

    /// A target whose answers wait; for each word one of them goes out, and all once the sender is dropped.
    pub fn held(body: &'static str) -> (Stand, Sender<()>) {
        let (tell, told) = channel::<()>();
        let told = Arc::new(Mutex::new(told));
        let stand = Stand::open(move |head| {
            let (answer, script) = channel();
            let (told, text) = (Arc::clone(&told), head.answer(body));
            thread::spawn(move || {
                let _ = told.lock().unwrap().recv();
                let _ = answer.send(text);
            });
            Script::Wait(script)
        });
        (stand, tell)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections from now on; open ones stay.
    pub fn stop_listening(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        // Wakes the acceptor, which ends and with it the listener.
        let _ = TcpStream::connect(self.address);
        let acceptor = self.acceptor.lock().unwrap().take();
        acceptor
            .expect("it listens")
            .join()
            .expect("the acceptor ends");
    }

    /// Requests that arrived.
    pub fn heads(&self) -> Vec<Head> {
        self.heads.lock().unwrap().clone()
    }

    pub fn count(&self) -> usize {
        self.heads().len()
    }

    /// Waits for the next request.
    pub fn next(&self) -> Head {
        self.arrivals
            .lock()
            .unwrap()
            .recv()
            .expect("the target runs")
    }
}

fn serve(mut stream: TcpStream, rules: &Rules, heads: &Mutex<Vec<Head>>, tell: &Sender<Head>) {
    while let Some(text) = read_head(&mut stream) {
        let head = {
            let mut heads = heads.lock().unwrap();
            let head = Head {
                number: heads.len(),
                text,
            };
            heads.push(head.clone());
            head
        };
        let script = rules(&head);
        let _ = tell.send(head);
        if !act(&mut stream, script) {
            return;
        }
    }
}

/// Does what the script says; tells whether the connection stays.
fn act(stream: &mut TcpStream, script: Script) -> bool {
    match script {
        Script::Write(text) => stream.write_all(text.as_bytes()).is_ok(),
        Script::Close(text) => {
            let _ = stream.write_all(text.as_bytes());
            let _ = stream.shutdown(Shutdown::Both);
            false
        }
        Script::Wait(told) => {
            let text = told.recv().unwrap_or_default();
            stream.write_all(text.as_bytes()).is_ok()
        }
        Script::UntilClosed(tell) => {
            let mut byte = [0];
            while matches!(stream.read(&mut byte), Ok(n) if n > 0) {}
            let _ = tell.send(());
            false
        }
    }
}

/// Reads a head and the body of its length.
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
