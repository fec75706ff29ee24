//! Messages from hosts that are not members.

mod common;

use std::time::Duration;

use common::Deployment;
use dunlinrock_node::{
    duties::{
        control::{CONTROL_PATH, STEER_PATH},
        ledger::LEDGER_PATH,
    },
    run::{CALL_PATH, RUN_PATH},
};
use dunlinrock_schema::once::{Claim, Message};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
};

/// Source address that belongs to no member.
const STRANGER: &str = "127.0.0.77:0";

async fn send(d: &Deployment, path: &str, body: &[u8]) -> String {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(STRANGER.parse().expect("an address"))
        .expect("bound");
    let mut stream = socket
        .connect(d.hosts[0].peers_addr())
        .await
        .expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream.write_all(body).await.expect("sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    String::from_utf8_lossy(&answer).into_owned()
}

// A host of another deployment, or any other machine in the network, sends a request or a message
// in the name of a member from an address that is not that member's. It gets 403, or 400 if the
// message is invalid. If the message were accepted, it could run requests beyond the limits and
// close the keys of others.
#[tokio::test]
async fn messages_from_an_address_of_no_member_are_refused() {
    let mut d = Deployment::open("cursuri", Duration::ZERO);
    d.start().await;
    let member = d.hosts[1].shared().me.incarnation;
    let frame = dunlinrock_node::wire::join_frame(&member, b"x").expect("packed");
    for path in [RUN_PATH, CALL_PATH] {
        let answer = send(&d, path, &frame).await;
        assert!(answer.starts_with("HTTP/1.1 403"), "{path}: {answer}");
    }
    for path in [LEDGER_PATH, CONTROL_PATH, STEER_PATH] {
        let answer = send(&d, path, b"nothing that could be read").await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{path}: {answer}");
    }
    let claim = Message::Claim(Claim {
        key: "1.0.2.0.n1".into(),
        caller: 7,
    });
    let claim = dunlinrock_node::wire::pack(&claim).expect("packed");
    let frame = dunlinrock_node::wire::join_frame(&member, &claim).expect("packed");
    let answer = send(&d, LEDGER_PATH, &frame).await;
    assert!(answer.starts_with("HTTP/1.1 403"), "{answer}");
    assert!(d.runs().is_empty());
}
