//! Log appender that writes structured lines to standard output from a dedicated thread.
//!
//! The reader of standard output may stall, and a thread that wrote there directly would block with
//! it. Lines therefore go through a bounded queue. Lines that find the queue full are dropped and
//! counted, and the count is logged once the writer makes progress.

use std::{
    fmt::Write as _,
    io::{self, Write as _},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};
use log4rs::append::Append;
use serde_json::json;

/// Capacity of the queue, in lines: a few seconds of a host at its line budget.
const QUEUE_CAPACITY: usize = 4096;

/// Initial buffer capacity for a line, in bytes; fits a typical line.
const LINE_BYTES: usize = 320;

/// Size at which a batch of lines is written, in bytes; batching saves system calls.
const BATCH_BYTES: usize = 32 << 10;

/// Appender that queues lines for the writer thread.
#[derive(Debug)]
pub(super) struct AsyncAppender {
    queue: Mutex<SyncSender<String>>,
    dropped: Arc<AtomicU64>,
}

impl AsyncAppender {
    /// Spawns the writer thread.
    pub(super) fn spawn() -> anyhow::Result<AsyncAppender> {
        let (queue, lines) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&lines, &counted))
            .context("starting the log's writer")?;
        Ok(AsyncAppender {
            queue: Mutex::new(queue),
            dropped,
        })
    }
}

impl Append for AsyncAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let line = line(record)?;
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        match queue.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes queued lines in batches until standard output is closed.
fn write(lines: &Receiver<String>, dropped: &AtomicU64) {
    let mut out = io::stdout().lock();
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        while batch.len() < BATCH_BYTES
            && let Ok(next) = lines.try_recv()
        {
            batch.push_str(&next);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let notice = json!({"time": seconds(), "level": "WARN", "of": "log", "event": "dropped", "lines": lost});
            batch.push_str(&format!("{notice}\n"));
        }
        // The reader has closed the pipe, so the failure cannot be logged either.
        if out
            .write_all(batch.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            return;
        }
    }
}

/// Formats a record as a JSON object: time, level, module, the record's fields, and its message.
///
/// Fields are written directly, which avoids allocating a map of values for every line.
fn line(record: &Record<'_>) -> anyhow::Result<String> {
    let mut line = String::with_capacity(LINE_BYTES);
    write!(
        line,
        "{{\"time\":{:.3},\"level\":\"{}\"",
        seconds(),
        record.level()
    )?;
    field(&mut line, "of", record.target())?;
    record.key_values().visit(&mut Fields(&mut line))?;
    match record.args().as_str() {
        Some(text) => field(&mut line, "text", text)?,
        None => field(&mut line, "text", &record.args().to_string())?,
    }
    line.push_str("}\n");
    Ok(line)
}

/// Appends a string field.
fn field(line: &mut String, name: &str, text: &str) -> anyhow::Result<()> {
    line.push_str(",\"");
    line.push_str(name);
    line.push_str("\":");
    line.push_str(&serde_json::to_string(text)?);
    Ok(())
}

/// Returns the seconds since 1970, to the millisecond.
fn seconds() -> f64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as f64 / 1000.0
}

struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    /// Appends a field. Names are literals in the source and need no escaping.
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let line = &mut *self.0;
        if let Some(text) = value.to_borrowed_str() {
            return field(line, key.as_str(), text).map_err(Error::boxed);
        }
        if let Some(truth) = value.to_bool() {
            return write!(line, ",\"{key}\":{truth}").map_err(Error::boxed);
        }
        match (value.to_i64(), value.to_f64().filter(|n| n.is_finite())) {
            (Some(n), _) => write!(line, ",\"{key}\":{n}").map_err(Error::boxed),
            (None, Some(n)) => write!(line, ",\"{key}\":{n}").map_err(Error::boxed),
            (None, None) => field(line, key.as_str(), &value.to_string()).map_err(Error::boxed),
        }
    }
}
