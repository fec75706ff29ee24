//! Targets that report how fast they are: slow homes are passed over, and requests whose runs take
//! unusually long are sent a second time.

mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
        mpsc::{Receiver, channel},
    },
    thread,
    time::Duration,
};

use dunlinrock_edge::model::{Config, Route};
use support::{Deployment, Head, Script, ScriptedTarget, config, read_all, request};

/// Requests after which a host knows the usual time of a route's runs.
const KNOWN_AFTER: usize = 40;

const OBJECT: &str = "Object: a\r\nConnection: close\r\n";

/// Returns an answer that reports a pace; a question for it has no id.
fn answer(head: &Head, pace: u32, body: &str) -> String {
    let more = format!("Stamp: s\r\nRunning: 1\r\nPace: {pace}\r\n");
    let text = head.answer_with("200 OK", &more, body);
    text.replace("Id: -\r\n", "")
}

/// Returns a configuration with this objective.
fn with_objective(objective: Duration) -> Config {
    let mut config = config(1);
    for route in &mut config.routes {
        let changed = Route {
            objective,
            ..Route::clone(route)
        };
        *route = Arc::new(changed);
    }
    config
}

/// Starts two targets, of which the first to get a request under `/…/hang` never answers it; the
/// channel gets a message when that send is cancelled.
fn hanging_pair() -> (ScriptedTarget, ScriptedTarget, Receiver<()>) {
    let (sender, cancelled) = channel();
    let (sender, hangs) = (
        Arc::new(Mutex::new(sender)),
        Arc::new(AtomicBool::new(true)),
    );
    let open = |name: &'static str| {
        let (sender, hangs) = (Arc::clone(&sender), Arc::clone(&hangs));
        ScriptedTarget::open(move |head: &Head| {
            if head.text.contains("/hang") && hangs.swap(false, Ordering::SeqCst) {
                return Script::UntilClosed(sender.lock().unwrap().clone());
            }
            Script::Write(answer(head, 100, name))
        })
    };
    (open("t0"), open("t1"), cancelled)
}

fn call(hosts: &Deployment, path: &str, id: &str, more: &str) -> String {
    let text = request("GET", path, id, &format!("{more}{OBJECT}"));
    read_all(&mut hosts.send(&text))
}

/// Guards against callers that wait for one run that takes many times as long as others, and
/// against the first run going on for nobody.
#[test]
fn a_request_whose_run_hangs_is_answered_by_a_second_send() {
    let (t0, t1, cancelled) = hanging_pair();
    let hosts = Deployment::open(with_objective(Duration::from_millis(400)), &[&t0, &t1]);
    for n in 0..KNOWN_AFTER {
        call(&hosts, "/read/a", &format!("r{n}"), "");
    }
    let answered = call(&hosts, "/read/hang", "last", "");
    assert!(answered.starts_with("HTTP/1.1 200"), "{answered}");
    cancelled.recv().expect("the first send is cancelled");
}

/// A request that may run only once must not be sent twice, however long its run takes.
#[test]
fn a_request_that_may_run_once_gets_no_second_send() {
    let (t0, t1, cancelled) = hanging_pair();
    let hosts = Deployment::open(with_objective(Duration::from_millis(100)), &[&t0, &t1]);
    for n in 0..KNOWN_AFTER {
        call(&hosts, "/once/a", &format!("r{n}"), "");
    }
    let text = request("POST", "/once/hang", "last", OBJECT).replace("Left: 20000", "Left: 800");
    let ended = read_all(&mut hosts.send(&text));
    assert!(ended.starts_with("HTTP/1.1 504"), "{ended}");
    cancelled.recv().expect("its time is over");
    let sent = [&t0, &t1].map(|t| t.heads().iter().filter(|h| h.id() == "last").count());
    assert_eq!(sent.iter().sum::<usize>(), 1);
}

/// Machines that are slow for a moment: the host asks before it sends, and the object's other home
/// takes the request.
#[test]
fn a_home_that_says_that_it_is_slow_is_passed_over() {
    let paces = [(); 2].map(|()| Arc::new(AtomicU32::new(100)));
    let [t0, t1] = [0, 1].map(|n| {
        let pace = Arc::clone(&paces[n]);
        ScriptedTarget::open(move |head: &Head| {
            if !head.text.contains("/health") {
                thread::sleep(Duration::from_millis(120));
            }
            Script::Write(answer(head, pace.load(Ordering::SeqCst), &format!("t{n}")))
        })
    });
    let hosts = Deployment::open(with_objective(Duration::from_secs(10)), &[&t0, &t1]);
    let answers = (0..KNOWN_AFTER).map(|n| call(&hosts, "/read/a", &format!("r{n}"), ""));
    let at_first = answers.filter(|answer| answer.ends_with("t0")).count();
    let home = usize::from(at_first * 2 < KNOWN_AFTER);
    paces[home].store(250, Ordering::SeqCst);
    // Until then the host goes by the last answer.
    thread::sleep(Duration::from_millis(150));
    let answered = call(&hosts, "/read/a", "last", "");
    let other = format!("t{}", 1 - home);
    assert!(answered.ends_with(&other), "{answered}");
}
