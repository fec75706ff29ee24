//! Responses that callers get: the complete response of a target, or an error that states correctly
//! whether the request ran.

mod support;

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, mpsc::channel},
};

use dunlinrock_edge::{
    model::{Entry, Route, Target},
    settings::Settings,
};
use rstest::rstest;
use support::{Deployment, Head, Script, ScriptedTarget, config, count_matches, request};

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
    assert_eq!(head.get("only"), Some("t0"), "other targets refuse it");
    let left: u64 = head.get("left").unwrap().parse().unwrap();
    assert!(
        left <= 20_000,
        "more than the caller's remaining time: {left}"
    );
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

/// Guards against a double run of a non-idempotent request. A target receives it and the connection
/// breaks, so it may have run. The caller must not be told that it did not run, since it would send
/// it again, and no other target may get it.
#[test]
fn a_non_idempotent_request_whose_response_is_lost_is_not_retried() {
    let closing = ScriptedTarget::open(|_| Script::Close(String::new()));
    let other = ScriptedTarget::open(|_| Script::Close(String::new()));
    let deployment = Deployment::open(config(1), &[&closing, &other]);
    let answer = deployment.call("POST", "/once/a", "r1");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(closing.count() + other.count(), 1);
}

/// The same fault with an idempotent request: the second target answers it, and the caller sees
/// nothing of the failure at the first.
#[test]
fn an_idempotent_request_whose_response_is_lost_is_retried_at_another_target() {
    let script = |head: &support::Head| match head.number {
        0 => Script::Close(String::new()),
        _ => Script::Write(head.answer("second")),
    };
    let (a, b) = (ScriptedTarget::open(script), ScriptedTarget::open(script));
    let deployment = Deployment::open(config(1), &[&a, &b]);
    // Each target closes the connection of its first request. The first call fails at both targets,
    // the next one is answered.
    deployment.call("GET", "/read/a", "r1");
    let answer = deployment.call("GET", "/read/a", "r2");
    assert!(answer.ends_with("second"), "{answer}");
}

/// A target's connection breaks after half of the body. The caller must get an error and not the
/// truncated body.
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

/// A target answers the first request twice. The second response arrives where the response to the
/// next request is expected, and must not reach that request's caller.
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

/// A late second answer to an earlier request says that it has not run, while the target runs the
/// next one. Believed, it would let that run twice, or be refused as not run.
#[rstest]
#[case::shed("503 Service Unavailable", "Unrun: 1\r\n")]
#[case::another_process("421 Misdirected Request", "")]
fn a_not_run_answer_to_another_request_is_not_believed(
    #[case] status: &'static str,
    #[case] more: &'static str,
) {
    let open = || {
        ScriptedTarget::open(move |head| {
            let earlier = Head {
                text: "Id: earlier\r\n".to_owned(),
                ..head.clone()
            };
            Script::Write(earlier.answer_with(status, more, ""))
        })
    };
    let (a, b) = (open(), open());
    let deployment = Deployment::open(config(1), &[&a, &b]);
    let answer = deployment.call("POST", "/once/a", "r1");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert_eq!(a.count() + b.count(), 1, "a request that may run once");
}

/// A full target sheds the request and another one runs it. The caller sees one response, also for
/// a request that is not idempotent.
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

/// Guards against more retries than the retry budget allows. Targets shed while a host is killed
/// and restarts. Retries of the previous process still count in the window of the budget, but the
/// new process does not know how many there were. It therefore refuses a request that its first
/// target shed, so that the caller retries by itself.
#[test]
fn a_host_that_may_replace_a_killed_one_does_not_retry_at_once() {
    let not_run =
        |head: &support::Head| Script::Write(head.answer_with("503 Busy", "Unrun: 1\r\n", ""));
    let (a, b) = (ScriptedTarget::open(not_run), ScriptedTarget::open(not_run));
    let mut successor = Settings {
        first_start: false,
        ..support::settings()
    };
    successor.reloadable.budget.ratio = 0.2;
    let deployment = Deployment::open_with(successor, config(1), &[&a, &b]);
    let answer = deployment.call("GET", "/read/a", "r1");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(a.count() + b.count(), 1);
}

/// Every target sheds the first attempt of each request, even with free slots. Once the host has
/// noticed this, it sends the retry to the preferred target again: another target would shed it
/// too, and has not cached the object.
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

/// All targets shed the request. The caller is told that it did not run and when to retry.
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

/// A target answers 503 without saying whether it ran the request. Forwarded, this status would
/// tell the caller that nothing ran. The caller gets a 502 instead, which does not say so.
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

/// The caller sends two requests at once and asks for the connection to be closed after the first
/// response. That response must arrive completely although the second request is unread: closing a
/// socket with unread bytes sends a reset, which overtakes the response.
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
    assert_eq!(scripted.count(), 1, "an unread request must not run");
}

/// The caller pipelines two idempotent requests. The target answers the first only after it has
/// received both, so a host that ran them one after the other would answer neither. The responses
/// come in the order of the requests.
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
    // A request with `Connection: close` waits for its turn, one without it does not.
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

/// A non-idempotent request behind an idempotent one must not start before its turn. If the
/// connection ends with the first response, the caller assumes that the second request was not
/// read, and sends it again.
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

/// The body of a request looks like another request. Nothing in a body may run.
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

/// A caller disconnects during a run, with a further request unread behind it. The connection to
/// the target must be closed, or the target continues to work on a request that has no caller.
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

/// A target loses power with an idempotent and a non-idempotent request in flight: its open
/// connections stay silent and new ones fail. The idempotent request is abandoned once two probes
/// in a row have failed, and does not wait for its deadline. The other one stays, because the
/// target may still answer it.
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
    assert!(
        order.try_recv().is_err(),
        "the non-idempotent request was cancelled"
    );
}

/// A route allows the southern region only, and there are northern and southern targets. Its
/// requests run in the south; without a southern target they are refused, even if others are free.
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
