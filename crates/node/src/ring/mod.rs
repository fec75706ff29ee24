//! Bounded rings that join the duties of a host.
//!
//! A ring has many senders and one receiver, which waits for the next item without blocking its
//! thread. A full ring gives the item back: what then happens is the sender's to say, because only
//! it knows whether the item is a caller's request (turned away, it has not run), a report (the
//! next one replaces it) or a command (tried again).

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rtrb::{Consumer, Producer, PushError, RingBuffer};
use tokio::sync::Notify;

/// Pause before a full ring is tried again. A duty empties its ring of some thousand items in a few
/// milliseconds; trying more often would only take its processor time.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// The sending end of a ring; clones share the ring.
#[derive(Debug)]
pub struct Sender<T> {
    /// Stands before `wake`, since fields are dropped in their order: see [`Wake`].
    producer: Arc<Mutex<Producer<T>>>,
    wake: Wake,
}

/// Wakes the receiver, also when it is dropped.
///
/// The receiver finds out that the last sender has gone by looking again. Woken before the producer
/// is gone, it would look too early and wait for good; so this is dropped after it. A permit stored
/// while the receiver is awake is used up by its next wait, so the last drop is never missed.
#[derive(Debug)]
struct Wake(Arc<Notify>);

impl Drop for Wake {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

/// The receiving end of a ring.
#[derive(Debug)]
pub struct Receiver<T> {
    consumer: Consumer<T>,
    wake: Arc<Notify>,
}

/// A ring had no room; the item comes back.
#[derive(Debug)]
pub struct Full<T>(pub T);

/// Opens a ring for `capacity` items.
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
    /// Appends an item, or gives it back where the ring is full.
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
    /// Appends an item that must not be lost, such as the word that a slot is free again: a full
    /// ring is tried again by a task of its own until it has room. To be called on a runtime.
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
    /// Waits for the next item; `None` once every sender is gone and the ring is empty.
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

    /// Takes the next item if there is one.
    pub fn try_recv(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// Items that wait now.
    pub fn len(&self) -> usize {
        self.consumer.slots()
    }

    /// Whether no item waits now.
    pub fn is_empty(&self) -> bool {
        self.consumer.is_empty()
    }
}
