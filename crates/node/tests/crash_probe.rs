//! Targets that accept connections while their process exits.

mod common;

use std::{io::Read, net::TcpListener, thread, time::Duration};

use common::{Deployment, wait_until};

// A request makes a target's process exit. The system closes its connections first and its listener
// last, so the target still accepts the host's probe connection for a moment. If that counted as
// alive, the crash would make no request a suspect, and the request would go on to crash other
// targets.
#[tokio::test]
async fn a_target_that_accepts_a_connection_while_it_exits_counts_as_crashed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            // Closed as soon as data arrives, or shortly after if none does.
            let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
            let _ = stream.read(&mut [0; 1024]);
        }
    });
    let mut d = Deployment::open_with("cursuri", Duration::ZERO, |config| {
        for service in config.services.values_mut() {
            service.spread.clear();
        }
    });
    for target in d.config.targets.values_mut() {
        target.address = address.as_str().into();
    }
    d.start().await;
    let host = d.hosts[0].callers_addr();
    let answer = d.get(host, "/v1/call/records/kill/7").await;
    assert_ne!(answer.status, 200);
    wait_until("a quarantine of the request", || {
        !d.hosts[0].shared().view.load().quarantines.is_empty()
    })
    .await;
}
