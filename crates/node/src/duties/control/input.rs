//! Inputs of the control worker and replies to other hosts.

use std::net::IpAddr;

use bytes::Bytes;
use serde_json::Value;
use tokio::sync::oneshot;

/// Input of the worker. The comment of each variant states what happens if the channel is full.
#[derive(Debug)]
pub enum Input {
    /// A control message of another host. Full channel: refused; the sender sends its next one.
    Message {
        /// Source address.
        from: IpAddr,
        /// The encoded message.
        frame: Bytes,
        /// Channel for the reply.
        reply: oneshot::Sender<Reply>,
    },
    /// A request of another host for traffic shares and grants. Full channel: refused; the host
    /// asks again a second later.
    Steer {
        /// Source address.
        from: IpAddr,
        /// The encoded request.
        frame: Bytes,
        /// Channel for the reply.
        reply: oneshot::Sender<Reply>,
    },
    /// Begins a graceful shutdown. Full channel: the requester tries again.
    Shutdown,
    /// Requests the state. Full channel: the request is dropped.
    GetState(oneshot::Sender<Value>),
}

/// Reply to a message of another host.
#[derive(Debug)]
pub enum Reply {
    /// The encoded response.
    Frame(Vec<u8>),
    /// The message was accepted; there is no response.
    Accepted,
    /// The sender is not a member.
    NotMember,
    /// The message cannot be decoded.
    Unreadable,
}
