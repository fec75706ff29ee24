//! What the duty takes in and what it answers.

use std::net::IpAddr;

use bytes::Bytes;
use serde_json::Value;
use tokio::sync::oneshot;

/// Something for the duty to do. What a full ring does is said for each.
#[derive(Debug)]
pub enum Input {
    /// A control message of another host. Full ring: refused; the sender sends its next one.
    Message {
        /// Address it came from.
        from: IpAddr,
        /// The message, encoded.
        frame: Bytes,
        /// Where its answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// Another host asks for shares and room. Full ring: refused; it asks again a second later.
    Steer {
        /// Address it came from.
        from: IpAddr,
        /// The ask, packed.
        frame: Bytes,
        /// Where its answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// Begin a planned stop. Full ring: the asker tries again.
    Shutdown,
    /// Asks for the state. Full ring: the asker goes without.
    GetState(oneshot::Sender<Value>),
}

/// Answer to a message of another host.
#[derive(Debug)]
pub enum Reply {
    /// The encoded answer.
    Frame(Vec<u8>),
    /// Taken; there is nothing to answer.
    Accepted,
    /// The sender is no member.
    NotMember,
    /// The message cannot be read.
    Unreadable,
}
