//! Tests of signals that arrive while a command starts, and of those that must not end it.

mod support;

use std::{
    fs::{self, File, OpenOptions},
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use nix::{
    errno::Errno,
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use support::{
    edge::settings,
    program::{program, store, unused_addr},
};

/// A process that is still reading its settings file.
struct Starting {
    child: Child,
    settings: String,
    /// The end of the settings file, a pipe, that the process reads from.
    writer: File,
    path: PathBuf,
    _dir: tempfile::TempDir,
}

impl Starting {
    fn open(command: &str, settings: String) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("host.toml");
        let made = Command::new("mkfifo").arg(&path).status().unwrap();
        assert!(made.success());
        let child = program(&[command, "--settings", path.to_str().unwrap()])
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        // Blocks until the process has opened the other end.
        let writer = OpenOptions::new().write(true).open(&path).unwrap();
        Self {
            child,
            settings,
            writer,
            path,
            _dir: dir,
        }
    }

    fn signal(&self, signal: Signal) {
        kill(pid(self.child.id()), signal).unwrap();
    }

    /// Lets the process read its settings; later reads get them from a regular file.
    fn finish(&mut self) {
        let beside = self.path.with_extension("new");
        fs::write(&beside, &self.settings).unwrap();
        fs::rename(beside, &self.path).unwrap();
        self.writer.write_all(self.settings.as_bytes()).unwrap();
        self.writer = File::open(&self.path).unwrap();
    }

    /// Returns the lines of standard output, the log of an edge host.
    fn output(&mut self) -> Log {
        log_lines(self.child.stdout.take().unwrap())
    }

    /// Returns the lines of standard error, the log of a host.
    fn errors(&mut self) -> Log {
        log_lines(self.child.stderr.take().unwrap())
    }

    fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        // Errors are ignored: the process has already exited if the test passed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn pid(id: u32) -> Pid {
    Pid::from_raw(i32::try_from(id).unwrap())
}

type Log = Box<dyn Iterator<Item = String>>;

fn log_lines(log: impl Read + 'static) -> Log {
    let lines = BufReader::new(log).lines();
    Box::new(lines.map(|line| line.expect("the log is text")))
}

fn wait_for_line(log: &mut Log, text: &str) {
    assert!(log.any(|line| line.contains(text)), "no line with {text}");
}

fn edge_settings(port: u16) -> String {
    settings(port, "127.0.0.1:9".parse().unwrap())
}

fn serve_settings(store: &dunlinrock_fakes::Store) -> String {
    format!(
        "name = \"h\"\nregion = \"north\"\ndomain = \"north-1\"\ncallers = \"{}\"\npeers = \"{}\"\n\
         [store]\naddress = \"{}\"\n[list]\naddress = \"{}\"\n[timing]\nanswer_ttl_ms = 100\n",
        unused_addr(),
        unused_addr(),
        store.addr(),
        unused_addr()
    )
}

/// A SIGHUP while an edge host reads its settings ended the process: its handlers came later.
#[test]
fn a_reload_during_the_start_of_an_edge_host_is_done_after_it() {
    let mut host = Starting::open("edge", edge_settings(17341));
    host.signal(Signal::SIGHUP);
    host.finish();
    let mut log = host.output();
    wait_for_line(&mut log, "\"event\":\"start\"");
    wait_for_line(&mut log, "\"event\":\"reload\"");
    host.signal(Signal::SIGTERM);
    assert_eq!(host.wait(), Some(0));
}

/// A SIGTERM while an edge host reads its settings ended the process without a graceful shutdown.
#[test]
fn a_stop_during_the_start_of_an_edge_host_is_graceful() {
    let mut host = Starting::open("edge", edge_settings(17351));
    host.signal(Signal::SIGTERM);
    host.finish();
    assert_eq!(host.wait(), Some(0));
}

/// A SIGTERM while a host reads its settings ended the process without a graceful shutdown.
#[test]
fn a_stop_during_the_start_of_a_host_is_graceful() {
    let store = store();
    let mut host = Starting::open("serve", serve_settings(&store));
    host.signal(Signal::SIGTERM);
    host.finish();
    assert_eq!(host.wait(), Some(0));
}

/// A SIGHUP, as when its terminal closes, ended a host at once and broke off its requests.
#[test]
fn a_hangup_does_not_end_a_host() {
    let store = store();
    let mut host = Starting::open("serve", serve_settings(&store));
    host.signal(Signal::SIGHUP);
    host.finish();
    let mut log = host.errors();
    wait_for_line(&mut log, "SIGHUP ignored");
    host.signal(Signal::SIGHUP);
    wait_for_line(&mut log, "SIGHUP ignored");
    host.signal(Signal::SIGTERM);
    assert_eq!(host.wait(), Some(0));
}

/// Under `nohup` a command without settings must go on after its terminal has closed: its own handler
/// of SIGHUP would end it.
#[test]
fn a_fake_that_was_started_with_hangups_ignored_goes_on() {
    let command = format!(
        "trap '' HUP; exec {} fake store --bind 127.0.0.1:0",
        program(&[]).get_program().to_str().unwrap()
    );
    let mut fake = Command::new("sh")
        .args(["-c", &command])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = log_lines(fake.stdout.take().unwrap());
    let line = log.next().unwrap();
    let at = line.rsplit(' ').next().unwrap();
    kill(pid(fake.id()), Signal::SIGHUP).unwrap();
    for _ in 0..100 {
        TcpStream::connect(at).unwrap();
        assert!(fake.try_wait().unwrap().is_none(), "ended by SIGHUP");
        thread::sleep(Duration::from_millis(2));
    }
    kill(pid(fake.id()), Signal::SIGTERM).unwrap();
    assert_eq!(fake.wait().unwrap().code(), Some(0));
}

/// A soak that was ended by a signal left its host processes running.
#[test]
fn a_soak_ended_by_a_signal_ends_its_hosts() {
    for signal in [Signal::SIGTERM, Signal::SIGHUP] {
        let dir = tempfile::tempdir().unwrap();
        let keep = dir.path().to_str().unwrap();
        let mut soak = program(&["soak", "--seed", "1", "--hosts", "2", "--keep", keep])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let hosts = loop {
            let hosts = children(soak.id());
            if hosts.len() == 2 {
                break hosts;
            }
        };
        kill(pid(soak.id()), signal).unwrap();
        assert_eq!(soak.wait().unwrap().code(), Some(1));
        let alive: Vec<_> = hosts.into_iter().filter(|id| is_alive(*id)).collect();
        for id in &alive {
            kill(pid(*id), Signal::SIGKILL).unwrap();
        }
        assert!(alive.is_empty(), "{signal}: hosts {alive:?} still run");
    }
}

/// Returns the processes that the main thread of a process has started.
fn children(id: u32) -> Vec<u32> {
    let path = format!("/proc/{id}/task/{id}/children");
    let text = fs::read_to_string(Path::new(&path)).unwrap_or_default();
    text.split_whitespace()
        .map(|child| child.parse().unwrap())
        .collect()
}

fn is_alive(id: u32) -> bool {
    kill(pid(id), None) != Err(Errno::ESRCH)
}
