//! Channels between workers.

use dunlinrock_node::ring::{self, Full};

// A worker is behind and its channel is full: the sender gets its item back and decides what to do.
// An item that is dropped silently would leave its caller waiting for the deadline.
#[tokio::test]
async fn a_full_channel_returns_the_item() {
    let (sender, mut receiver) = ring::channel(2);
    assert!(sender.try_send(1).is_ok() && sender.try_send(2).is_ok());
    assert!(matches!(sender.try_send(3), Err(Full(3))));
    assert_eq!(receiver.recv().await, Some(1));
    assert!(sender.try_send(3).is_ok());
    assert_eq!(
        (receiver.recv().await, receiver.recv().await),
        (Some(2), Some(3))
    );
}

// The notice of a free slot is sent while the channel is full. It must arrive, even if late;
// otherwise the slot would count as taken indefinitely.
#[tokio::test]
async fn an_item_that_must_not_be_lost_is_retried() {
    let (sender, mut receiver) = ring::channel(1);
    sender.send_retrying("first");
    sender.send_retrying("second");
    assert_eq!(receiver.recv().await, Some("first"));
    assert_eq!(receiver.recv().await, Some("second"));
}

// The last sender is dropped on another thread while the receiver waits. If the receiver were woken
// before the sender is dropped, it would find the channel open and wait indefinitely.
#[test]
fn a_receiver_notices_that_its_last_sender_is_dropped() {
    for _ in 0..20_000 {
        let (sender, mut receiver) = ring::channel::<u8>(1);
        let (begun, begin) = std::sync::mpsc::channel();
        let (ended, end) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().build();
            begun.send(()).expect("the test waits");
            let last = runtime.expect("a runtime").block_on(receiver.recv());
            ended.send(last).ok();
        });
        begin.recv().expect("it begins");
        drop(sender);
        // Long, so that only a hang reaches it.
        let last = end.recv_timeout(std::time::Duration::from_secs(10));
        assert_eq!(last, Ok(None), "the receiver still waits");
    }
}
