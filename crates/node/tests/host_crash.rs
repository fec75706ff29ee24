//! Hosts that crash or pause during a request. Each runs in its own process: this test program,
//! restarted to run only one host.

mod common;

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command},
    sync::Arc,
    time::Duration,
};

use common::{Deployment, FIRST_ATTEMPT, kind, problem, wait_until};
use dunlinrock_node::{Host, view::Member};
use dunlinrock_schema::{api::Run, settings::Settings};

/// Environment variable with the path of the settings of the host that a child runs.
const SETTINGS: &str = "DUNLINROCK_TEST_SETTINGS";
/// Test that a child runs.
const CHILD: &str = "child_runs_one_host";

const PATH: &str = "/v1/call/records/pay/7";

/// A host in its own process, which is killed on drop.
struct Remote {
    child: Child,
    settings: PathBuf,
}

impl Remote {
    fn spawn(d: &Deployment, name: &str, domain: &str) -> Remote {
        let text = serde_json::to_vec(&d.settings(name, domain)).expect("settings");
        let file = format!("dunlinrock-{name}-{}.json", d.store.addr().port());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).expect("written");
        let child = Command::new(std::env::current_exe().expect("this program"))
            .args(["--exact", CHILD, "--nocapture", "--test-threads", "1"])
            .env(SETTINGS, &settings)
            .spawn()
            .expect("a child");
        Remote { child, settings }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("reaped");
    }
}

impl Drop for Remote {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Not a test: runs a host in a child process until it is killed. Does nothing without settings.
#[test]
fn child_runs_one_host() {
    let Some(path) = std::env::var_os(SETTINGS) else {
        return;
    };
    let text = std::fs::read(path).expect("the settings of the parent");
    let settings: Settings = serde_json::from_slice(&text).expect("settings");
    let host = Host::spawn(settings).expect("the host starts");
    host.wait().expect("ends when killed");
}

/// Starts a host in this process and one in another process. Both are alone in a region, so each is
/// the witness of the other.
async fn pair(work: Duration) -> (Deployment, Remote) {
    let mut d = Deployment::open("cursuri", work);
    d.host("here", "cluj-a");
    d.apply().await;
    let remote = Remote::spawn(&d, "there", "cluj-b");
    d.hosts[0]
        .wait_for(|view| view.ready && view.members.len() == 2)
        .await;
    (d, remote)
}

/// Looks up until the owner of the binding is in the other process (`owned_there`) or in this one.
async fn bind(d: &Deployment, owned_there: bool) -> (String, SocketAddr, SocketAddr) {
    let here = d.hosts[0].callers_addr();
    // Each block of callers has its own binding.
    for n in 1..=250 {
        let path = format!("/v1/hosts/records?client=10.0.{n}.1");
        let answer = d.get(here, &path).await;
        let hosts: dunlinrock_schema::api::Hosts =
            serde_json::from_slice(&answer.body).expect("a look-up");
        let binding = hosts.binding.expect("a binding");
        let owner: SocketAddr = binding.owner.parse().expect("an address");
        let witness: SocketAddr = binding.witness.parse().expect("an address");
        if (owner != here) == owned_there && owner != witness {
            return (format!("{}.n1", binding.prefix), owner, witness);
        }
    }
    panic!("no binding of 250 has the owner asked for");
}

// The owner of a key has the witness's claim and sends the payment to a target; then the owner
// crashes. The caller's connection breaks, and it turns to the witness, which granted the claim and
// cannot know whether the owner ran the request. A second run would charge twice, so the witness
// answers `unknown`, on every retry, and never runs it.
#[tokio::test]
async fn a_key_whose_owner_crashed_after_its_claim_is_not_run_by_the_witness() {
    let (d, mut remote) = pair(Duration::from_millis(800)).await;
    let d = Arc::new(d);
    let (key, owner, witness) = bind(&d, true).await;
    let (caller, text) = (Arc::clone(&d), key.clone());
    let first = tokio::spawn(async move {
        let request = hyper::Request::post(format!("http://{owner}{PATH}"))
            .header("idempotency-key", &text)
            .header("dunlinrock-attempts", FIRST_ATTEMPT)
            .header("dunlinrock-caller", "a test")
            .body(http_body_util::Full::new("seat 4".into()))
            .expect("a request");
        caller.client.call(request, common::HANG_TIMEOUT).await
    });
    wait_until("it starts", || d.runs().contains_key(key.as_str())).await;
    remote.kill();
    assert!(first.await.expect("no panic").is_err(), "the owner is dead");
    let mut attempts = 0;
    loop {
        let stated = format!("owner=1, witness={attempts}");
        let answer = d.post(witness, PATH, &key, &stated).await;
        assert_eq!(problem(&answer).run, Run::Unknown, "{answer:?}");
        attempts += 1;
        // One more attempt after the owner is known to be unresponsive here.
        let view = d.hosts[0].shared().view.load();
        let heard = |member: &Member| member.callers == owner && !member.suspect;
        if !view.members.values().any(|member| heard(member)) && attempts > 1 {
            break;
        }
    }
    assert_eq!(d.runs().get(key.as_str()), Some(&1));
}

// The owner of a key crashes before the request reaches it. The witness has no record of the key,
// takes it and runs the request; no owner is left that could claim it.
#[tokio::test]
async fn a_key_whose_owner_crashed_before_the_request_runs_at_the_witness() {
    let (d, mut remote) = pair(Duration::ZERO).await;
    let (key, _, witness) = bind(&d, true).await;
    remote.kill();
    let mut answer = d.post(witness, PATH, &key, FIRST_ATTEMPT).await;
    // The targets of the crashed host are taken over a little later; until then the request is not
    // run.
    let mut n = 1;
    while answer.status != 200 {
        assert_ne!(problem(&answer).run, Run::Yes, "{answer:?}");
        let nonce = format!("{key}-{n}");
        answer = d.post(witness, PATH, &nonce, FIRST_ATTEMPT).await;
        n += 1;
    }
    assert!(d.runs().values().all(|runs| *runs == 1), "{:?}", d.runs());
}

// The witness is paused, so the owner closes the key and answers `run: no`. The request itself is
// valid, so the caller must be told when to send it under a new key: without that it gives up.
#[tokio::test]
async fn a_key_whose_claim_was_not_answered_may_be_replaced_by_a_new_one() {
    let (d, remote) = pair(Duration::ZERO).await;
    let (key, owner, _) = bind(&d, false).await;
    remote.signal("STOP");
    let told = problem(&d.post(owner, PATH, &key, FIRST_ATTEMPT).await);
    assert_eq!((kind(&told), told.run), ("key-refused", Run::No));
    assert!(told.retry_after_ms.is_some(), "{told:?}");
}

// The witness is paused, so the owner's claim is not answered, and the owner closes the key after
// the claim timeout and answers `run: no`. The witness resumes and grants a claim that no request
// waits for any more. The late grant must not start the request, since the caller was told that it
// did not run. Only a new attempt of the caller at the witness may run it: if the claim was lost,
// the witness has no record, and the key runs there, once.
#[tokio::test]
async fn a_late_answer_to_a_claim_is_not_used() {
    let (d, remote) = pair(Duration::ZERO).await;
    let (key, owner, witness) = bind(&d, false).await;
    remote.signal("STOP");
    let answer = d.post(owner, PATH, &key, FIRST_ATTEMPT).await;
    let told = problem(&answer);
    assert_eq!(
        (kind(&told), told.run),
        ("key-refused", Run::No),
        "{told:?}"
    );
    remote.signal("CONT");
    d.hosts[0]
        .wait_for(|view| view.members.values().all(|m| !m.suspect) && view.members.len() == 2)
        .await;
    let answer = d.post(owner, PATH, &key, "owner=1, witness=0").await;
    assert_eq!(problem(&answer).run, Run::No, "{answer:?}");
    assert!(d.runs().is_empty(), "{:?}", d.runs());
    let answer = d.post(witness, PATH, &key, "owner=2, witness=0").await;
    let ran = u64::from(answer.status == 200);
    assert_eq!(d.runs().values().sum::<u64>(), ran, "{answer:?}");
    let answer = d.post(owner, PATH, &key, "owner=2, witness=1").await;
    let told = answer.status != 200 && problem(&answer).run == Run::No;
    assert!(!(told && ran == 1), "{answer:?}");
    assert_eq!(d.runs().values().sum::<u64>(), ran, "{answer:?}");
}
