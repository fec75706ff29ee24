//! The program `edge`, as a process, between stand-ins of the platform.

mod support;

use std::{
    collections::BTreeSet,
    io::Read,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::{Child, Stdio},
    time::Duration,
};

use dunlinrock_edge::model;
use dunlinrock_node::wire::Client;
use dunlinrock_platform::standin::{self, Draft, Ledger, Store, Target, TargetRules};
use http::{Request, StatusCode};
use http_body_util::Full;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use support::program::program;

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Ports of this test's host, on an address of its own.
const HOST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 41, 7, 9));

/// Host name of the route.
const NAME: &str = "shop";

/// A hang guard; no call takes so long.
const LONG: Duration = Duration::from_secs(60);

struct Deployment {
    child: Child,
    ledger: Ledger,
    client: Client,
    _store: Store,
    _target: Target,
    _dir: tempfile::TempDir,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // It has ended where the test went well.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Deployment {
    /// Starts a host whose standard output nobody reads.
    fn open(port: u16) -> Deployment {
        let store = Store::bind(SocketAddr::new(LOCAL, 0)).unwrap();
        let ledger = Ledger::default();
        let rules = TargetRules {
            id: "t0".into(),
            slots: 64,
            work: Duration::ZERO,
            is_down: false,
            loses: false,
            sheds: false,
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
            _target: target,
            _dir: dir,
        }
    }

    async fn get(&self, port: u16, path: &str, id: &str) -> Option<(StatusCode, String)> {
        let mut request = Request::get(format!("http://{HOST}:{port}{path}"))
            .body(Full::default())
            .unwrap();
        *request.headers_mut() = standin::headers(NAME, &id.into(), 1, LONG);
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
    });
    store.write_config(&Draft {
        version: 1,
        host: NAME,
        service: "work",
        routes: &[("/read/", true)],
        timeout: Duration::from_secs(20),
    });
}

fn settings(port: u16, store: SocketAddr) -> String {
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

/// Nobody reads the host's log: its pipe is full after a few hundred lines. The host serves on, and a
/// planned stop ends in order.
#[tokio::test]
async fn a_log_that_nobody_reads_holds_nobody_up() {
    const PORT: u16 = 17301;
    const REQUESTS: usize = 3000;
    let mut deployment = Deployment::open(PORT);
    while deployment
        .get(PORT, "/read/0", "first")
        .await
        .is_none_or(|a| a.0 != StatusCode::OK)
    {
        tokio::task::yield_now().await;
    }
    for n in 0..REQUESTS {
        let id = format!("r{n}");
        let (status, body) = deployment
            .get(PORT, "/read/a", &id)
            .await
            .expect("an answer");
        assert_eq!((status, body), (StatusCode::OK, format!("{id} /read/a")));
        assert_eq!(deployment.ledger.runs(&id), 1);
    }
    let id = i32::try_from(deployment.child.id()).unwrap();
    kill(Pid::from_raw(id), Signal::SIGTERM).unwrap();
    assert_eq!(deployment.child.wait().unwrap().code(), Some(0));
}

/// A settings file with a mistake: the program says which key and how to mend it, and does not start.
#[test]
fn a_mistake_in_the_settings_is_told_with_its_mend() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("host.toml");
    let text = settings(17311, "127.0.0.1:9".parse().unwrap()).replace("2s", "two");
    std::fs::write(&path, text).unwrap();
    let out = program(&["edge", "--settings", path.to_str().unwrap()])
        .output()
        .unwrap();
    assert!(!out.status.success());
    let error = String::from_utf8_lossy(&out.stderr);
    assert!(
        error.contains("bounds.grace") && error.contains("as in 1500ms"),
        "{error}"
    );
}

/// Every line of the log is a JSON object of its own, whatever the texts in it hold.
#[tokio::test]
async fn every_line_of_the_log_is_an_object_with_its_event() {
    const PORT: u16 = 17321;
    let mut deployment = Deployment::open(PORT);
    while deployment
        .get(PORT, "/read/0", "fi\"rst")
        .await
        .is_none_or(|a| a.0 != StatusCode::OK)
    {
        tokio::task::yield_now().await;
    }
    deployment
        .get(PORT, "/nowhere/\\", "second")
        .await
        .expect("an answer");
    let id = i32::try_from(deployment.child.id()).unwrap();
    kill(Pid::from_raw(id), Signal::SIGTERM).unwrap();
    let mut text = String::new();
    deployment
        .child
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut text)
        .unwrap();
    let mut events = BTreeSet::new();
    for line in text.lines() {
        let fields: serde_json::Value = serde_json::from_str(line).expect(line);
        assert!(
            fields["time"].is_number() && fields["text"].is_string(),
            "{line}"
        );
        events.insert(fields["event"].as_str().expect(line).to_owned());
    }
    for event in ["start", "config", "targets", "sent", "answered", "stop"] {
        assert!(events.contains(event), "{event} is missing in {events:?}");
    }
}
