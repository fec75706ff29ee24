//! Memory for buffered responses, shared by all that hold some.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use dunlinrock_decide::admit::direct::BodyBudget;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::connection::ExchangeError;

/// Maximum size of a buffer that is allocated for the length that a target states, in bytes. Larger
/// bodies grow as they arrive.
const MAX_RESERVED: usize = 64 << 10;

/// Memory for responses. A lock, as the bytes of a response may be dropped by any thread.
#[derive(Clone, Debug)]
pub(super) struct ResponseMemory(Arc<Mutex<BodyBudget>>);

impl ResponseMemory {
    /// Opens the unused memory of a process with `memory` bytes.
    pub(super) fn open(memory: u64) -> ResponseMemory {
        ResponseMemory(Arc::new(Mutex::new(BodyBudget::for_responses(memory))))
    }

    /// Returns the bytes that are held.
    pub(super) fn used(&self) -> u64 {
        self.with(|budget| budget.used())
    }

    /// Whether so much is held that no further response should be asked for.
    pub(super) fn is_pressed(&self) -> bool {
        self.with(|budget| budget.is_pressed())
    }

    /// Reads a body of at most `max_bytes` bytes. Its bytes count as held until the last reference
    /// to them is dropped.
    pub(super) async fn collect(
        &self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, ExchangeError> {
        let sent = |e: &dyn std::fmt::Display| ExchangeError::Sent(e.to_string());
        let mut held = HeldBody {
            bytes: Vec::with_capacity((body.size_hint().lower() as usize).min(MAX_RESERVED)),
            memory: self.clone(),
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| sent(&e))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if held.bytes.len() + data.len() > max_bytes {
                return Err(sent(&"the response is too large"));
            }
            if !held.extend(&data) {
                return Err(ExchangeError::NoRoom);
            }
        }
        held.bytes.shrink_to_fit();
        Ok(Bytes::from_owner(held))
    }

    fn with<T>(&self, f: impl FnOnce(&mut BodyBudget) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The body of a response; its bytes are released when it is dropped.
#[derive(Debug)]
struct HeldBody {
    bytes: Vec<u8>,
    memory: ResponseMemory,
}

impl HeldBody {
    /// Appends bytes, unless the memory does not allow it.
    fn extend(&mut self, data: &[u8]) -> bool {
        let (held, more) = (self.bytes.len() as u64, data.len() as u64);
        let is_granted = self.memory.with(|budget| budget.try_grow(held, more));
        if is_granted {
            self.bytes.extend_from_slice(data);
        }
        is_granted
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let held = self.bytes.len() as u64;
        self.memory.with(|budget| budget.release(held));
    }
}
