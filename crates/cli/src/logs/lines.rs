//! Structured lines on standard output, written by a thread of their own.
//!
//! Whoever reads the standard output may stand still. A duty that wrote there itself would stand
//! still with it; so lines go through a bounded ring, and what the ring cannot take is counted and
//! told once there is room.

use std::{
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
use serde_json::{Map, json};

/// Lines that may wait for the writer: a few seconds of a host at its line budget.
const RING: usize = 4096;

/// Bytes written at once at most; each write costs a system call.
const BATCH_BYTES: usize = 32 << 10;

/// Hands lines to the writer.
#[derive(Debug)]
pub(super) struct Lines {
    ring: Mutex<SyncSender<String>>,
    dropped: Arc<AtomicU64>,
}

impl Lines {
    /// Spawns the writer.
    pub(super) fn spawn() -> anyhow::Result<Lines> {
        let (ring, lines) = sync_channel(RING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&lines, &counted))
            .context("starting the log's writer")?;
        Ok(Lines {
            ring: Mutex::new(ring),
            dropped,
        })
    }
}

impl Append for Lines {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let line = line(record)?;
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        match ring.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes lines until standard output is closed, as many at once as wait.
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
            let told = json!({"time": seconds(), "level": "WARN", "of": "log", "event": "dropped", "lines": lost});
            batch.push_str(&format!("{told}\n"));
        }
        // With its reader gone there is nobody to tell.
        if out
            .write_all(batch.as_bytes())
            .and_then(|()| out.flush())
            .is_err()
        {
            return;
        }
    }
}

/// One JSON object: time, level, module, the record's fields, and its message.
fn line(record: &Record<'_>) -> anyhow::Result<String> {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".to_owned(), json!(seconds()));
    fields
        .0
        .insert("level".to_owned(), json!(record.level().as_str()));
    fields.0.insert("of".to_owned(), json!(record.target()));
    record.key_values().visit(&mut fields)?;
    fields
        .0
        .insert("text".to_owned(), json!(record.args().to_string()));
    let mut line = serde_json::to_string(&fields.0)?;
    line.push('\n');
    Ok(line)
}

/// Seconds since 1970, to the millisecond.
fn seconds() -> f64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as f64 / 1000.0
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_i64(), value.to_f64()) {
            (Some(n), _) => json!(n),
            (None, Some(n)) => json!(n),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
