//! A link between one host and one target, which can be cut and restored.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

use socket2::{Domain, SockRef, Socket, Type};

use super::scripted_target::own_address;

/// Length of the listen queue of a link that works, and of one that hangs.
const QUEUE: i32 = 128;
const SHORT_QUEUE: i32 = 0;

/// Timeout of a connection that fills the listen queue of a hanging link.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Open connections go silent, and new ones are neither accepted nor refused.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections work, and new ones are refused.
    RefuseNew,
    /// Open connections go silent, and new ones are accepted and carry nothing.
    AcceptSilent,
    /// Open connections are reset, and new ones are accepted and closed at once.
    AcceptClose,
}

/// Ways in which a link carries nothing over open connections.
const SILENT: &[Cut] = &[Cut::Hang, Cut::AcceptSilent];

#[derive(Default)]
struct State {
    cut: Option<Cut>,
    /// Both ends of the open connections.
    open: Vec<(TcpStream, TcpStream)>,
    /// Connections that fill the listen queue.
    queued: Vec<TcpStream>,
    /// Whether the acceptor has taken a connection and waits for the end of a cut.
    is_held: bool,
    listener: Option<Arc<TcpListener>>,
}

impl State {
    fn reset_open(&mut self) {
        self.open.drain(..).for_each(|(near, far)| {
            SockRef::from(&near)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
            let _ = near.shutdown(Shutdown::Both);
            let _ = far.shutdown(Shutdown::Both);
        });
    }
}

/// A loopback proxy. Clones share it.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    target: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Link {
    /// Opens a link to a target.
    pub fn open(target: SocketAddr) -> Link {
        let listener = listen(SocketAddr::new(own_address().into(), 0));
        let link = Link {
            address: listener.local_addr().expect("the listener is bound"),
            target,
            state: Arc::default(),
        };
        link.accept(listener);
        link
    }

    /// Returns the address at which the host reaches the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link.
    pub fn cut(&self, cut: Cut) {
        let mut state = self.state.0.lock().unwrap();
        state.cut = Some(cut);
        match cut {
            Cut::Hang => {
                let listener = state.listener.as_ref().expect("the link works");
                SockRef::from(&**listener).listen(SHORT_QUEUE).unwrap();
                drop(state);
                self.fill_queue();
            }
            Cut::AcceptSilent => {}
            Cut::AcceptClose => state.reset_open(),
            Cut::Reset | Cut::RefuseNew => {
                state.listener = None;
                if cut == Cut::Reset {
                    state.reset_open();
                }
                drop(state);
                // Wakes the acceptor, which closes the listener.
                while TcpStream::connect(self.address).is_ok() {}
            }
        }
    }

    /// Restores the link.
    pub fn restore(&self) {
        let mut state = self.state.0.lock().unwrap();
        let cut = state.cut.take();
        state.queued.clear();
        if let Some(listener) = &state.listener {
            SockRef::from(&**listener).listen(QUEUE).unwrap();
        }
        drop(state);
        self.state.1.notify_all();
        if matches!(cut, Some(Cut::Reset | Cut::RefuseNew)) {
            self.accept(listen(self.address));
        }
    }

    /// Fills the listen queue, and waits until the acceptor takes nothing more from it.
    fn fill_queue(&self) {
        loop {
            let connected = TcpStream::connect_timeout(&self.address, FILL_TIMEOUT);
            let is_full = connected.is_err();
            let mut state = self.state.0.lock().unwrap();
            state.queued.extend(connected);
            if is_full && state.is_held {
                return;
            }
        }
    }

    /// Accepts connections until the listener is replaced.
    fn accept(&self, listener: TcpListener) {
        let (link, listener) = (self.clone(), Arc::new(listener));
        link.state.0.lock().unwrap().listener = Some(Arc::clone(&listener));
        thread::spawn(move || {
            while let Ok((near, _)) = listener.accept() {
                link.state.0.lock().unwrap().is_held = true;
                link.wait_while(&[Cut::Hang]);
                link.state.0.lock().unwrap().is_held = false;
                if link.state.0.lock().unwrap().cut == Some(Cut::AcceptClose) {
                    continue;
                }
                if link.state.0.lock().unwrap().listener.is_none() {
                    return;
                }
                let link = link.clone();
                thread::spawn(move || link.serve(&near));
            }
        });
    }

    /// Waits while the link is cut in one of these ways.
    fn wait_while(&self, cuts: &[Cut]) {
        let (state, changed) = &*self.state;
        let guard = state.lock().unwrap();
        let is_cut = |state: &mut State| state.cut.is_some_and(|cut| cuts.contains(&cut));
        drop(changed.wait_while(guard, is_cut));
    }

    fn serve(&self, near: &TcpStream) {
        let Ok(far) = TcpStream::connect(self.target) else {
            return;
        };
        for stream in [near, &far] {
            stream.set_nodelay(true).expect("a loopback socket");
        }
        let ends = (near.try_clone().unwrap(), far.try_clone().unwrap());
        self.state.0.lock().unwrap().open.push(ends);
        thread::scope(|scope| {
            scope.spawn(|| self.forward(near, &far));
            self.forward(&far, near);
        });
    }

    /// Copies bytes until either side closes; holds them while the link carries nothing.
    fn forward(&self, mut from: &TcpStream, mut to: &TcpStream) {
        let mut chunk = [0; 4096];
        while let Ok(n) = from.read(&mut chunk)
            && n > 0
        {
            self.wait_while(SILENT);
            if to.write_all(&chunk[..n]).is_err() {
                break;
            }
        }
        self.wait_while(SILENT);
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    // The last connections may still keep the address for a moment.
    while socket.bind(&address.into()).is_err() {
        thread::yield_now();
    }
    socket.listen(QUEUE).expect("the socket is bound");
    socket.into()
}
