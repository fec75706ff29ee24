//! The order in which requests are refused under overload.

mod support;

use std::{collections::BTreeSet, io::Read, net::TcpStream, sync::Arc};

use dunlinrock_edge::model::{Config, KeyDigest, Route, Workspace};
use support::{Deployment, ScriptedTarget, config, request};

/// Number of requests that the target may have before the host knows its run times, and its slots.
const INITIAL_CAPACITY: usize = 8;
const SLOTS: usize = 4;

fn workspace(name: &str, priority: u8) -> Arc<Workspace> {
    Arc::new(Workspace {
        name: name.into(),
        keys: BTreeSet::from([KeyDigest::of(name.as_bytes())]),
        rate: 0.0,
        burst: 0.0,
        rank: Some(priority),
        homes: BTreeSet::new(),
    })
}

/// Returns workspaces whose priorities are the reverse of the priorities of the routes that they
/// use.
fn config_with_priorities() -> Config {
    let mut config = config(1);
    config.workspaces = vec![workspace("club", 0), workspace("desk", 1)];
    for (n, priority) in [(0, 2), (1, 0)] {
        config.routes[n] = Arc::new(Route {
            priority,
            ..Route::clone(&config.routes[n])
        });
    }
    config
}

/// Sends a request. Returns the response as an error if the host refuses it.
fn send(
    deployment: &Deployment,
    scripted: &ScriptedTarget,
    key: &str,
    path: &str,
) -> Result<TcpStream, String> {
    let sent = scripted.count();
    let more = format!("Authorization: Key {key}\r\nConnection: close\r\n");
    let mut stream = deployment.send(&request("GET", path, "r", &more));
    loop {
        if scripted.count() > sent {
            return Ok(stream);
        }
        stream.set_nonblocking(true).unwrap();
        let mut answer = [0; 4096];
        let read = stream.read(&mut answer);
        stream.set_nonblocking(false).unwrap();
        if let Ok(n @ 1..) = read {
            return Err(String::from_utf8_lossy(&answer[..n]).into_owned());
        }
        std::thread::yield_now();
    }
}

/// Under overload, the workspace of higher priority was refused at a full target. When slots are
/// free again, its requests may queue there. Requests of the other workspace may not, although
/// their route has a higher priority.
#[test]
fn a_workspace_of_lower_priority_leaves_the_queue_to_one_that_was_refused() {
    let (scripted, sender) = ScriptedTarget::blocking("own");
    let deployment = Deployment::open(config_with_priorities(), &[&scripted]);
    let club = || send(&deployment, &scripted, "club", "/read/a");
    let desk = || send(&deployment, &scripted, "desk", "/once/a");
    let mut served: Vec<_> = (0..INITIAL_CAPACITY)
        .map(|_| club().expect("the target has capacity"))
        .collect();
    for _ in 0..60 {
        club().expect_err("the target is full");
    }
    let answer_one = |served: &mut Vec<TcpStream>| {
        sender.send(()).unwrap();
        let mut text = [0; 64];
        // Any of the held responses may be released first.
        loop {
            let ready = served.iter().position(|s| {
                s.set_nonblocking(true).unwrap();
                s.peek(&mut text).is_ok()
            });
            if let Some(n) = ready {
                served.swap_remove(n);
                return;
            }
        }
    };
    while served.len() > SLOTS {
        answer_one(&mut served);
    }
    // Some are let in for their floor.
    let refused = (0..100).find_map(|_| match desk() {
        Ok(stream) => {
            served.push(stream);
            answer_one(&mut served);
            None
        }
        Err(refused) => Some(refused),
    });
    let refused = refused.expect("one of them is refused");
    assert!(refused.contains("503"), "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
    served.push(club().expect("the higher priority may queue"));
    for _ in 0..served.len() {
        sender.send(()).unwrap();
    }
}
