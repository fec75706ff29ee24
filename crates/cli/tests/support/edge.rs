//! A host process of the command `edge`, with fakes of the platform.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Stdio},
    time::Duration,
};

use dunlinrock_edge::model;
use dunlinrock_node::wire::Client;
use dunlinrock_platform::standin::{self, ConfigDraft, RunLog, Store, Target, TargetOptions};
use http::{Request, StatusCode};
use http_body_util::Full;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use super::program::program;

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Loopback address of these tests' hosts, not used otherwise, so that their fixed ports are free.
const HOST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 41, 7, 9));

/// Host name of the route.
const NAME: &str = "shop";

/// Timeout that only ends a hang; no call takes that long.
const LONG: Duration = Duration::from_secs(60);

pub(crate) struct Deployment {
    pub(crate) child: Child,
    pub(crate) ledger: RunLog,
    client: Client,
    _store: Store,
    pub(crate) target: Target,
    /// The host's settings file.
    pub(crate) path: PathBuf,
    _dir: tempfile::TempDir,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // Errors are ignored: the process has already exited if the test passed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Deployment {
    /// Starts a host whose standard output is a pipe that is not read.
    pub(crate) fn open(port: u16) -> Deployment {
        let store = Store::bind(SocketAddr::new(LOCAL, 0)).unwrap();
        let ledger = RunLog::default();
        let rules = TargetOptions {
            id: "t0".into(),
            slots: 64,
            work: Duration::ZERO,
            is_down: false,
            drops_responses: false,
            sheds_all: false,
            is_silent: false,
            rate: None,
            says_leaving: false,
            backoff: None,
        };
        let target = Target::bind(SocketAddr::new(LOCAL, 0), rules, ledger.clone()).unwrap();
        fill(&store, target.address());
        let dir = tempfile::tempdir().unwrap();
        let path = dir.path().join("host.toml");
        std::fs::write(&path, settings(port, store.address())).unwrap();
        let child = program(&["edge", "--settings", path.to_str().unwrap()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let client = Client::open(1 << 20);
        Deployment {
            child,
            ledger,
            client,
            _store: store,
            target,
            path,
            _dir: dir,
        }
    }

    /// Waits until a request is answered.
    pub(crate) async fn until_serves(&self, port: u16, id: &str) {
        let served = async || self.get(port, "/read/0", id).await;
        while served().await.is_none_or(|a| a.0 != StatusCode::OK) {
            tokio::task::yield_now().await;
        }
    }

    /// Edits the settings file and replaces it atomically.
    pub(crate) fn edit(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.path).unwrap();
        assert!(text.contains(from), "{from} stands in {text}");
        let beside = self.path.with_extension("new");
        fs::write(&beside, text.replace(from, to)).unwrap();
        fs::rename(beside, &self.path).unwrap();
    }

    /// Starts a graceful shutdown by SIGTERM.
    pub(crate) fn stop(&self) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(id), Signal::SIGTERM).unwrap();
    }

    pub(crate) async fn get(
        &self,
        port: u16,
        path: &str,
        id: &str,
    ) -> Option<(StatusCode, String)> {
        self.get_within(port, path, id, LONG).await
    }

    /// Sends a request whose caller states `left` as its deadline.
    pub(crate) async fn get_within(
        &self,
        port: u16,
        path: &str,
        id: &str,
        left: Duration,
    ) -> Option<(StatusCode, String)> {
        let mut request = Request::get(format!("http://{HOST}:{port}{path}"))
            .body(Full::default())
            .unwrap();
        *request.headers_mut() = standin::caller_headers(NAME, &id.into(), 1, left, None);
        let answer = self.client.call(request, LONG).await.ok()?;
        Some((
            answer.status,
            String::from_utf8_lossy(&answer.body).into_owned(),
        ))
    }
}

fn fill(store: &Store, target: SocketAddr) {
    store.write_target(&model::Target {
        id: "t0".into(),
        service: "work".into(),
        address: target,
        domain: "north-1".into(),
        slots: 64,
        leaving: false,
        cold: Duration::ZERO,
        born: 0,
    });
    store.write_config(&ConfigDraft {
        workspaces: &[],
        version: 1,
        host: NAME,
        service: "work",
        routes: &[("/read/", true), ("/once/", false)],
        timeout: Duration::from_secs(20),
    });
}

pub(crate) fn settings(port: u16, store: SocketAddr) -> String {
    let listen = ["callers", "lookup", "ready", "peers", "metrics"];
    let listen = listen
        .iter()
        .zip(port..)
        .map(|(name, port)| format!("{name} = \"{HOST}:{port}\""));
    let listen: Vec<_> = listen.collect();
    format!(
        "name = \"h\"\nregion = \"north\"\ndomain = \"north-1\"\n[domains]\nnorth-1 = \"north\"\n\
         [listen]\n{}\n[store]\naddress = \"{store}\"\n[bounds]\ngrace = \"2s\"\n",
        listen.join("\n")
    )
}
