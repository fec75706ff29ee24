//! A link between callers and a host, which can be cut for a time.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::host::reset_at_end;

/// A proxy. While it is cut, bytes are held up both ways and new connections get no answer. A
/// connection that its caller resets meanwhile stays silent for the host: what was held up is lost.
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn open(to: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let cut = Arc::clone(&cut);
                thread::spawn(move || {
                    wait(&cut);
                    let Ok(host) = TcpStream::connect(to) else {
                        return;
                    };
                    let (Ok(c), Ok(h)) = (caller.try_clone(), host.try_clone()) else {
                        return;
                    };
                    let other = Arc::clone(&cut);
                    thread::spawn(move || pass(h, c, &other));
                    pass(caller, host, &cut);
                });
            }
        });
        Link { address, is_cut }
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Passes bytes one way until the end. A sender that resets the connection during a cut takes the
/// bytes with it that were held up.
fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(5)));
    let (mut chunk, mut held) = (vec![0; 16 << 10], Vec::new());
    loop {
        let is_cut = cut.load(Ordering::SeqCst);
        match from.read(&mut chunk) {
            Ok(0) => {
                wait(cut);
                let _ = to.write_all(&held);
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(n) => held.extend_from_slice(&chunk[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) if is_cut => loop {
                thread::sleep(Duration::from_secs(1));
            },
            Err(_) => {
                reset_at_end(&to);
                return;
            }
        }
        if !is_cut && !held.is_empty() {
            if to.write_all(&held).is_err() {
                return;
            }
            held.clear();
        }
    }
}
