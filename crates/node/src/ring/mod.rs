//! Bounded channels between the workers of a host.
//!
//! A channel has many senders and one receiver, which waits for the next item without blocking its
//! thread. A full channel returns the item to the sender, because only the sender knows what to do
//! with it: a caller's request is refused (it has not run), a report is dropped (the next one
//! replaces it), a command is sent again.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rtrb::{Consumer, Producer, PushError, RingBuffer};
use tokio::sync::Notify;

/// Interval at which a send to a full channel is retried. A worker empties its channel of some
/// thousand items in a few milliseconds; shorter intervals would only take processor time from it.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Sending end of a channel; clones share the channel.
#[derive(Debug)]
pub struct Sender<T> {
    /// Declared before `wake`, since fields are dropped in order of declaration: see [`Wake`].
    producer: Arc<Mutex<Producer<T>>>,
    wake: Wake,
}

/// Wakes the receiver, also on drop.
///
/// The receiver notices that the last sender was dropped when it polls again. A wake-up before the
/// producer is dropped would come too early, and the receiver would then wait indefinitely; so this
/// field is dropped after the producer. A permit that is stored while the receiver is awake is
/// consumed by its next wait, so the last drop is never missed.
#[derive(Debug)]
struct Wake(Arc<Notify>);

impl Drop for Wake {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

/// Receiving end of a channel.
#[derive(Debug)]
pub struct Receiver<T> {
    consumer: Consumer<T>,
    wake: Arc<Notify>,
}

/// The channel is full; contains the item that was not sent.
#[derive(Debug)]
pub struct Full<T>(pub T);

/// Creates a channel with space for `capacity` items.
pub fn channel<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let wake = Arc::new(Notify::new());
    let sender = Sender {
        producer: Arc::new(Mutex::new(producer)),
        wake: Wake(Arc::clone(&wake)),
    };
    (sender, Receiver { consumer, wake })
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Sender {
            producer: Arc::clone(&self.producer),
            wake: Wake(Arc::clone(&self.wake.0)),
        }
    }
}

impl<T> Sender<T> {
    /// Sends an item, or returns it in [`Full`] if the channel is full.
    pub fn try_send(&self, item: T) -> Result<(), Full<T>> {
        let mut producer = self.producer.lock().unwrap_or_else(PoisonError::into_inner);
        let result = producer.push(item);
        drop(producer);
        match result {
            Ok(()) => {
                self.wake.0.notify_one();
                Ok(())
            }
            Err(PushError::Full(item)) => Err(Full(item)),
        }
    }
}

impl<T: Send + 'static> Sender<T> {
    /// Sends an item that must not be lost, such as the notice that a slot is free again. If the
    /// channel is full, a spawned task retries until the item is sent. Must be called within a
    /// Tokio runtime.
    pub fn send_retrying(&self, item: T) {
        let Err(Full(item)) = self.try_send(item) else {
            return;
        };
        let sender = self.clone();
        tokio::spawn(async move {
            let mut item = item;
            while let Err(Full(back)) = sender.try_send(item) {
                item = back;
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        });
    }
}

impl<T> Receiver<T> {
    /// Waits for the next item. Returns `None` once all senders are dropped and the channel is
    /// empty.
    pub async fn recv(&mut self) -> Option<T> {
        loop {
            if let Some(item) = self.try_recv() {
                return Some(item);
            }
            if self.consumer.is_abandoned() {
                return self.try_recv();
            }
            self.wake.notified().await;
        }
    }

    /// Returns the next item, if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// Returns the number of items in the channel.
    pub fn len(&self) -> usize {
        self.consumer.slots()
    }

    /// Returns whether the channel is empty.
    pub fn is_empty(&self) -> bool {
        self.consumer.is_empty()
    }
}
