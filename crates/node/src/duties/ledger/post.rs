//! Ledger messages between hosts.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dunlinrock_coord::once::Message;

use crate::wire::{self, Client, CodecError};

/// Path on which hosts receive ledger messages.
pub const LEDGER_PATH: &str = "/peer/v1/ledger";
/// Timeout of a message. The ledger sends it again long before.
const POST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a message without waiting for its delivery.
pub(super) fn send(client: &Client, to: SocketAddr, from: u64, message: &Message) {
    let frame = match wire::pack(message).and_then(|body| wire::join_frame(&from, &body)) {
        Ok(frame) => frame,
        Err(e) => {
            log::error!(error:% = e; "a ledger message could not be encoded");
            return;
        }
    };
    let client = client.clone();
    tokio::spawn(async move {
        if let Err(e) = client.post(to, LEDGER_PATH, frame, POST_TIMEOUT).await {
            log::debug!(to:% = to, error:% = e; "a ledger message was not delivered");
        }
    });
}

/// Decodes a message and the incarnation that claims to have sent it.
pub fn read_message(frame: &Bytes) -> Result<(u64, Message), CodecError> {
    let (from, body) = wire::split_frame::<u64>(frame)?;
    Ok((from, wire::unpack(&body)?))
}
