//! Host processes, started with the command and the settings of the deploy file; and callers.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::{
        fd::{AsRawFd, FromRawFd},
        unix::process::CommandExt,
    },
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{platform::Store, record};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;
const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 0o2000001;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Makes the end of a connection a reset.
pub fn reset_at_end(stream: &TcpStream) {
    let linger = [1, 0];
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        )
    };
}

/// Figures of a host's settings that cases choose.
#[derive(Clone, Copy)]
pub struct Size {
    pub memory_mb: u32,
    pub processor: f64,
    pub link_mbps: u32,
}

/// The machines of the small sites.
pub const SMALL: Size = Size {
    memory_mb: 260,
    processor: 0.2,
    link_mbps: 1000,
};

/// A running host; it is killed when this is dropped.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
    dir: PathBuf,
}

impl Host {
    /// Starts a host and waits until it is ready; `None` if it is not in time.
    pub fn start(store: &Store, number: u8, zone: &str, size: Size) -> Option<Host> {
        let name = format!("front-{zone}-{number}");
        let ip = format!("127.77.{}.{number}", std::process::id() % 200 + 1);
        let free = || TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let free: Vec<TcpListener> = (0..5).map(|_| free()).collect();
        let ports: Vec<SocketAddr> = free.iter().filter_map(|l| l.local_addr().ok()).collect();
        drop(free);
        let [callers, lookup, ready, peers, metrics] = ports[..] else {
            unreachable!()
        };
        let dir = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let Size {
            memory_mb,
            processor,
            link_mbps,
        } = size;
        let settings = format!(
            "name = \"{name}\"\nregion = \"north\"\ndomain = \"{zone}\"\nfirst_start = true\nseeds = []\n\
             [domains]\na = \"north\"\nb = \"north\"\n\
             [listen]\ncallers = \"{callers}\"\nlookup = \"{lookup}\"\nready = \"{ready}\"\n\
             peers = \"{peers}\"\nmetrics = \"{metrics}\"\n[store]\naddress = \"{}\"\n\
             [limits]\ndescriptors = 4100\nprocessor = {processor}\nlink_mbps = {link_mbps}\n\
             memory_mb = {memory_mb}\n\
             [bounds]\ngrace = \"6s\"\nlookup_ttl = \"5s\"\nretry_ratio = 0.2\nretry_window = \"10s\"\n\
             retry_slack = 58\ncold_factor = 1.5\ncold_slack = 5\nload_period = \"300ms\"\n",
            store.address
        );
        let path = dir.join("local.toml");
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(dir.join("log")).expect("a log");
        let mut command = Command::new("target/release/dunlinrock");
        command
            .args(["edge", "--settings"])
            .arg(&path)
            .stdout(Stdio::from(log));
        // The host ends with this process, whatever ends it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            })
        };
        let child = command.spawn().ok()?;
        record::line(&format!(
            "{name} starts, callers at {callers}, memory {memory_mb} MB"
        ));
        let host = Host {
            name,
            callers,
            ready,
            child,
            dir,
        };
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if host.is_ready() {
                // Workers may be known a moment later than the configuration.
                thread::sleep(Duration::from_millis(1500));
                return Some(host);
            }
            thread::sleep(Duration::from_millis(50));
        }
        record::line("the host is not ready in 20 s");
        None
    }

    /// Whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let text = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut first = [0; 12];
        let asked = TcpStream::connect(self.ready).and_then(|mut stream| {
            stream.write_all(text.as_bytes())?;
            stream.read_exact(&mut first)
        });
        asked.is_ok() && first.ends_with(b"200")
    }

    pub fn terminate(&self) {
        record::line(&format!("SIGTERM to {}", self.name));
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the last lines of the host's log that contain a text.
    pub fn log(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        log.lines()
            .filter(|l| l.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A caller's connection.
pub struct Caller {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

/// What a caller got.
pub struct Got {
    pub status: u16,
    pub head: String,
    /// Length that the head states.
    pub length: usize,
}

impl Caller {
    /// Connects; `receive` limits the buffer of the kernel for unread bytes, in bytes.
    pub fn connect(address: SocketAddr, receive: Option<i32>) -> std::io::Result<Caller> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        if let Some(bytes) = receive {
            unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
        }
        Ok(Caller {
            stream,
            ahead: Vec::new(),
        })
    }

    /// Connects with segments as on an Ethernet and a receive buffer of so many bytes, which the
    /// kernel doubles. For the segments of a loopback connection, 64 KB, the sender's kernel holds
    /// several megabytes.
    pub fn connect_as_remote(address: SocketAddr, receive: i32) -> std::io::Result<Caller> {
        const SEGMENT: i32 = 1460;
        let SocketAddr::V4(v4) = address else {
            return Err(std::io::ErrorKind::Unsupported.into());
        };
        let mut raw = [0; 16];
        raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
        raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
        raw[4..8].copy_from_slice(&v4.ip().octets());
        let stream = unsafe {
            let socket = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
            if socket < 0 {
                return Err(std::io::Error::last_os_error());
            }
            TcpStream::from_raw_fd(socket)
        };
        let fd = stream.as_raw_fd();
        let is_connected = unsafe {
            setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4);
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive, 4);
            connect(fd, raw.as_ptr(), 16) == 0
        };
        if !is_connected {
            return Err(std::io::Error::last_os_error());
        }
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        Ok(Caller {
            stream,
            ahead: Vec::new(),
        })
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u32,
        body: &[u8],
    ) -> std::io::Result<()> {
        self.stream
            .write_all(head(method, path, id, deadline_ms, body.len()).as_bytes())?;
        self.stream.write_all(body)
    }

    /// Reads the head of a response.
    pub fn head(&mut self) -> std::io::Result<Got> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let status = head
                    .split(' ')
                    .nth(1)
                    .and_then(|s| s.parse().ok())
                    .unwrap_or(0);
                let lower = head.to_ascii_lowercase();
                let length = lower.split("content-length:").nth(1);
                let length = length.and_then(|l| l.lines().next()?.trim().parse().ok());
                return Ok(Got {
                    status,
                    head,
                    length: length.unwrap_or(0),
                });
            }
            let mut chunk = [0; 2048];
            let n = self.stream.read(&mut chunk)?;
            if n == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            self.ahead.extend_from_slice(&chunk[..n]);
        }
    }

    /// Reads a piece of a body; 0 at the end of the connection.
    pub fn piece(&mut self, most: usize) -> std::io::Result<usize> {
        if !self.ahead.is_empty() {
            let n = most.min(self.ahead.len());
            self.ahead.drain(..n);
            return Ok(n);
        }
        self.stream.read(&mut vec![0; most])
    }

    /// Sends a request and reads its whole response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u32,
        body: &[u8],
    ) -> std::io::Result<Got> {
        self.send(method, path, id, deadline_ms, body)?;
        let got = self.head()?;
        self.skip(got.length)?;
        Ok(got)
    }

    /// Reads a body of a length.
    pub fn skip(&mut self, length: usize) -> std::io::Result<()> {
        let mut read = 0;
        while read < length {
            match self.piece((length - read).min(64 << 10))? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                n => read += n,
            }
        }
        Ok(())
    }
}

/// Returns the head of a caller's request.
pub fn head(method: &str, path: &str, id: &str, deadline_ms: u32, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\n\
         Cookie: Affinity-Key=1\r\nDeadline-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Writes a configuration with one service and routes of a prefix, kind and timeout.
pub fn configure(store: &Store, routes: &[(&str, &str, u32)]) {
    let routes = routes.iter().map(|(prefix, kind, timeout)| {
        format!(
            "{{\"name\":\"r{prefix}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout\":\"{timeout}ms\",\"latencyTarget\":\"1000ms\",\"priority\":1,\"service\":\"packs\",\
             \"maxAttempts\":2,\"sticky\":false,\"homeRegions\":[]}}"
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    let text = format!(
        "{{\"version\":\"r7\",\"routes\":[{routes}],\"services\":[{{\"name\":\"packs\",\
         \"healthPath\":\"/health\",\"maxConns\":330,\"coldStart\":\"3s\",\"coldPerS\":2.1}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\"}}}}"
    );
    store.put("op/config", &text);
}
