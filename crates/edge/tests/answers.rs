//! What callers get: their own whole answer, or an error that says truly whether the request ran.

mod support;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, mpsc::channel},
};

use dunlinrock_edge::{
    model::{Entry, Route, Target},
    settings::Settings,
};
use support::{Deployment, Script, ScriptedTarget, config, count_matches, request};

#[test]
fn a_response_is_forwarded_unchanged_with_the_targets_signature() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let answer = deployment.call("GET", "/read/a", "r1");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(
        answer.contains("stamp: s") && answer.ends_with("\r\n\r\nhello"),
        "{answer}"
    );
    let head = &scripted.heads()[0];
    assert_eq!(head.get("only"), Some("t0"), "any other target refuses it");
    let left: u64 = head.get("left").unwrap().parse().unwrap();
    assert!(left <= 20_000, "no more time than the caller gave: {left}");
}

#[test]
fn a_request_without_a_route_is_not_found() {
    let scripted = ScriptedTarget::healthy("hello");
    let deployment = Deployment::open(config(1), &[&scripted]);
    assert!(
        deployment
            .call("GET", "/other/a", "r1")
            .starts_with("HTTP/1.1 404")
    );
    assert_eq!(scripted.count(), 0);
}

/// The caller sends an order once; the target takes it and its connection breaks. The order may
/// have run. The caller must not be told that it has not, since it would send it again, and no
/// other target may get it.
#[test]
fn a_non_idempotent_request_whose_response_is_lost_is_not_retried() {
    let closing = ScriptedTarget::open(|_| Script::Close(String::new()));
    let other = ScriptedTarget::open(|_| Script::Close(String::new()));
    let deployment = Deployment::open(config(1), &[&closing, &other]);
    let answer = deployment.call("POST", "/once/a", "r1");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(closing.count() + other.count(), 1);
}

/// The same fault under a request that may run again: the second target answers it, and the caller
/// sees nothing of the first.
#[test]
fn an_idempotent_request_whose_response_is_lost_is_retried_at_another_target() {
    let script = |head: &support::Head| match head.number {
        0 => Script::Close(String::new()),
        _ => Script::Write(head.answer("second")),
    };
    let (a, b) = (ScriptedTarget::open(script), ScriptedTarget::open(script));
    let deployment = Deployment::open(config(1), &[&a, &b]);
    // Each target breaks its first request: the first call fails at both, the next gets an answer.
    deployment.call("GET", "/read/a", "r1");
    let answer = deployment.call("GET", "/read/a", "r2");
    assert!(answer.ends_with("second"), "{answer}");
}

/// A target writes half of its body and its connection breaks. The caller must not take the half
/// for the whole: it gets an error instead.
#[test]
fn a_truncated_response_is_not_forwarded() {
    let truncated = "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Length: 100\r\n\r\nhalf";
    let scripted = ScriptedTarget::open(move |_| Script::Close(truncated.to_owned()));
    let deployment = Deployment::open(config(1), &[&scripted]);
    let answer = deployment.call("POST", "/once/a", "r1");
    assert!(
        answer.starts_with("HTTP/1.1 502") && !answer.contains("half"),
        "{answer}"
    );
}

/// A target answers the first request twice. The second answer lies where that of the next request
/// is expected, and must not reach its caller.
#[test]
fn a_surplus_response_on_an_idle_connection_is_not_forwarded() {
    let scripted = ScriptedTarget::open(|head| match head.number {
        0 => Script::Write(head.answer("first") + &head.answer("again")),
        _ => Script::Write(head.answer("own")),
    });
    let deployment = Deployment::open(config(1), &[&scripted]);
    assert!(deployment.call("GET", "/read/a", "r1").ends_with("first"));
    let answer = deployment.call("GET", "/read/a", "r2");
    assert!(!answer.contains("again"), "{answer}");
}

/// A target that is full says that it has not run the request. Another one runs it; the caller sees
/// one answer, also of a request that may run once only.
#[test]
fn a_request_that_a_target_shed_goes_to_another() {
    let not_run = |head: &support::Head| {
        let full = "Unrun: 1\r\nRunning: 4\r\n";
        Script::Write(head.answer_with("503 Service Unavailable", full, ""))
    };
    let full = ScriptedTarget::open(not_run);
    let healthy = ScriptedTarget::healthy("run");
    let deployment = Deployment::open(config(1), &[&full, &healthy]);
    for n in 0..8 {
        let answer = deployment.call("POST", "/once/a", &format!("r{n}"));
        assert!(answer.ends_with("run"), "{answer}");
    }
}

/// Targets shed, and a host is killed and starts again. The second runs of its forerunner are still
/// in the window that bounds them, and it does not know how many they were: a request that its first
/// target has not run is refused, so that its caller comes back by itself.
#[test]
fn a_host_that_may_replace_a_killed_one_does_not_retry_at_once() {
    let not_run =
        |head: &support::Head| Script::Write(head.answer_with("503 Busy", "Unrun: 1\r\n", ""));
    let (a, b) = (ScriptedTarget::open(not_run), ScriptedTarget::open(not_run));
    let successor = Settings {
        first_start: false,
        ..support::settings()
    };
    let deployment = Deployment::open_with(successor, config(1), &[&a, &b]);
    let answer = deployment.call("GET", "/read/a", "r1");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(a.count() + b.count(), 1);
}

/// Load: every target sheds the first send of each request, free slots or not. Once that is seen, the second
/// send goes to the object's own target again: another one would shed it too, and does not have the object
/// at hand.
#[test]
fn where_all_targets_shed_a_request_stays_at_its_preferred_target() {
    let shedding = || {
        let seen = Mutex::new(BTreeSet::new());
        ScriptedTarget::open(move |head| {
            let is_first = seen.lock().unwrap().insert(head.id().to_owned());
            Script::Write(match is_first {
                true => head.answer_with("503 Busy", "Unrun: 1\r\nRunning: 0\r\n", ""),
                false => head.answer("run"),
            })
        })
    };
    let (a, b) = (shedding(), shedding());
    let mut settings = support::settings();
    settings.reloadable.budget.slack = 1000.0;
    let deployment = Deployment::open_with(settings, config(1), &[&a, &b]);
    let call = |n: usize| {
        let more = "Object: cart-7\r\nConnection: close\r\n";
        let text = support::request("GET", "/read/a", &format!("r{n}"), more);
        support::read_all(&mut deployment.send(&text))
    };
    (0..10).for_each(|n| drop(call(n)));
    let before = [a.count(), b.count()];
    let answers: Vec<_> = (10..20).map(call).collect();
    assert!(answers.iter().all(|a| a.ends_with("run")), "{answers:?}");
    let sends = [a.count() - before[0], b.count() - before[1]];
    assert!(sends.contains(&20) && sends.contains(&0), "{sends:?}");
}

/// Every target says that it has not run the request: the caller is told so, and when to come back.
#[test]
fn a_request_that_all_targets_shed_is_refused_with_retry_after() {
    let not_run =
        |head: &support::Head| Script::Write(head.answer_with("503 Busy", "Unrun: 1\r\n", ""));
    let (a, b) = (ScriptedTarget::open(not_run), ScriptedTarget::open(not_run));
    let deployment = Deployment::open(config(1), &[&a, &b]);
    let answer = deployment.call("POST", "/once/a", "r1");
    assert!(
        answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after: "),
        "{answer}"
    );
}

/// A target answers 503 and does not say that it has not run the request. Passed on, that status
/// would promise the caller that nothing ran; the caller gets one that promises nothing.
#[test]
fn a_503_that_does_not_say_whether_it_ran_becomes_a_502() {
    let scripted = ScriptedTarget::open(|head| {
        Script::Write(head.answer_with("503 Service Unavailable", "Stamp: s\r\n", ""))
    });
    let deployment = Deployment::open(config(1), &[&scripted]);
    let answer = deployment.call("POST", "/once/a", "r1");
    assert!(
        answer.starts_with("HTTP/1.1 502") && !answer.contains("stamp"),
        "{answer}"
    );
}

/// The caller sends two requests at once and asks that the connection end with the first answer.
/// The first answer must arrive whole although the second request lies unread behind it: a close
/// with unread bytes would reset the connection, and the reset overtakes the answer.
#[test]
fn a_complete_response_arrives_although_unread_requests_wait_at_the_close() {
    let scripted = ScriptedTarget::healthy("first");
    let deployment = Deployment::open(config(1), &[&scripted]);
    let more = "Content-Length: 4\r\nConnection: close\r\n";
    let both =
        request("POST", "/once/a", "r1", more) + "body" + &request("POST", "/once/b", "r2", "");
    let answer = support::read_all(&mut deployment.send(&both));
    assert!(answer.ends_with("first"), "{answer}");
    assert_eq!(count_matches(&answer, "HTTP/1.1 200"), 1, "{answer}");
    assert_eq!(scripted.count(), 1, "what was not read must not run");
}

/// The caller sends two searches at once. The target answers the first only once it has both: run
/// one after the other, neither would ever be answered. The answers come in the requests' order.
#[test]
fn pipelined_requests_start_early_and_are_answered_in_order() {
    let (sender, receiver) = channel();
    let receiver = std::sync::Mutex::new(Some(receiver));
    let scripted = ScriptedTarget::open(move |head| match head.id() {
        "r1" => Script::Wait(receiver.lock().unwrap().take().expect("sent once")),
        _ => Script::Write(head.answer("second")),
    });
    let deployment = Deployment::open(config(1), &[&scripted]);
    let both = request("GET", "/read/a", "r1", "")
        + &request("GET", "/read/b", "r2", "Connection: close\r\n");
    // A request that names the end of the connection waits for its turn; one without does not.
    let both = both.replace("Connection: close\r\n", "");
    let last = request("GET", "/read/c", "r3", "Connection: close\r\n");
    let mut stream = deployment.send(&(both + &last));
    let (one, two) = (scripted.next(), scripted.next());
    let first = if one.id() == "r1" { one } else { two };
    sender.send(first.answer("first")).unwrap();
    let answer = support::read_all(&mut stream);
    let (a, b) = (
        answer.find("first").unwrap(),
        answer.find("second").unwrap(),
    );
    assert!(a < b, "{answer}");
    assert_eq!(count_matches(&answer, "HTTP/1.1 200"), 3, "{answer}");
}

/// An order behind a search must not run before its turn: if the connection ends with the search's
/// answer, the caller takes the order for unread and sends it again.
#[test]
fn a_non_idempotent_pipelined_request_waits_for_its_turn() {
    let (sender, receiver) = channel();
    let receiver = std::sync::Mutex::new(Some(receiver));
    let scripted = ScriptedTarget::open(move |head| match head.id() {
        "r1" => Script::Wait(receiver.lock().unwrap().take().expect("sent once")),
        _ => Script::Write(head.answer("later")),
    });
    let deployment = Deployment::open(config(1), &[&scripted]);
    let both = request("GET", "/read/a", "r1", "")
        + &request("GET", "/once/b", "r2", "Connection: close\r\n");
    let mut stream = deployment.send(&both);
    let first = scripted.next();
    assert_eq!((first.id(), scripted.count()), ("r1", 1));
    sender.send(first.answer("first")).unwrap();
    assert!(support::read_all(&mut stream).ends_with("later"));
}

/// The body of an order looks like a search. It is a body: nothing in it may run.
#[test]
fn a_body_that_looks_like_a_request_does_not_run() {
    let (sender, receiver) = channel();
    let receiver = std::sync::Mutex::new(Some(receiver));
    let scripted = ScriptedTarget::open(move |head| match head.id() {
        "r1" => Script::Wait(receiver.lock().unwrap().take().expect("sent once")),
        _ => Script::Write(head.answer("other")),
    });
    let deployment = Deployment::open(config(1), &[&scripted]);
    let body = request("GET", "/read/inside", "inside", "");
    let more = format!("Content-Length: {}\r\nConnection: close\r\n", body.len());
    let mut stream = deployment.send(
        &(request("GET", "/read/a", "r1", "") + &request("POST", "/once/b", "r2", &more) + &body),
    );
    let first = scripted.next();
    sender.send(first.answer("first")).unwrap();
    support::read_all(&mut stream);
    assert!(scripted.heads().iter().all(|head| head.id() != "inside"));
}

/// A caller leaves while its search runs and further requests of its own lie unread behind it. The
/// target must see its connection end, or it works on for nobody.
#[test]
fn a_disconnect_cancels_the_run_even_with_requests_unread() {
    let (sender, ended) = channel();
    let sender = std::sync::Mutex::new(sender);
    let scripted =
        ScriptedTarget::open(move |_| Script::UntilClosed(sender.lock().unwrap().clone()));
    let deployment = Deployment::open(config(1), &[&scripted]);
    let both = request("GET", "/read/a", "r1", "")
        + &request("POST", "/once/b", "r2", "Content-Length: 0\r\n");
    let stream = deployment.send(&both);
    scripted.next();
    drop(stream);
    ended.recv().expect("the run ends");
}

/// A target loses power with a search and an order at it: their connections stay open and say
/// nothing, and new ones fail. The search is given up as soon as two trials in a row have failed,
/// and does not wait for its deadline. The order stays: the target may yet answer it.
#[test]
fn an_idempotent_request_at_a_down_target_does_not_wait_for_its_deadline() {
    let (sender, order) = channel();
    let sender = std::sync::Mutex::new(sender);
    let unresponsive = ScriptedTarget::open(move |head| {
        let sender = sender.lock().unwrap().clone();
        let ignored = channel().0;
        Script::UntilClosed(if head.id() == "order" {
            sender
        } else {
            ignored
        })
    });
    let deployment = Deployment::open(config(1), &[&unresponsive]);
    let order_text = request("POST", "/once/a", "order", "Content-Length: 0\r\n");
    let _order_connection = deployment.send(&order_text);
    unresponsive.next();
    let mut idempotent = deployment.send(&request("GET", "/read/a", "r1", "Connection: close\r\n"));
    unresponsive.next();
    unresponsive.stop_listening();
    let meters = &deployment.host.shared().meters;
    while !meters.text().contains("edge.lost 1\n") && !meters.text().contains("edge.late 1\n") {
        deployment.call("GET", "/read/b", "trial");
    }
    let answer = support::read_all(&mut idempotent);
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(order.try_recv().is_err(), "the order was taken away");
}

/// A route may run in the south only, and both a northern and a southern target are there. Requests
/// run in the south; without a southern target they are refused, also where others are free.
#[test]
fn a_route_with_allowed_regions_runs_only_there() {
    let (north, south) = (
        ScriptedTarget::healthy("north"),
        ScriptedTarget::healthy("south"),
    );
    let mut config = config(1);
    let route = &config.routes[0];
    let homes = ["south".into()].into();
    config.routes[0] = Arc::new(Route {
        homes,
        ..Route::clone(route)
    });
    let deployment = Deployment::open(config, &[&north]);
    assert!(
        deployment
            .call("GET", "/read/a", "r1")
            .starts_with("HTTP/1.1 503")
    );
    let entry = Target {
        domain: "south-1".into(),
        ..support::target("s", south.address())
    };
    deployment.store.put("s", Entry::Target(Arc::new(entry)));
    deployment.wait_until_ready();
    for n in 0..20 {
        let answer = deployment.call("GET", &format!("/read/{n}"), "r2");
        assert!(answer.ends_with("south"), "{answer}");
    }
    assert_eq!(north.count(), 0);
}
