//! Counters, gauges and histograms in memory.

use std::{
    collections::BTreeMap,
    fmt::Write,
    io,
    sync::{Arc, Mutex, PoisonError},
};

use cadence::MetricSink;
use hdrhistogram::Histogram;

/// Upper end of the histograms, in milliseconds: longer than any deadline.
const MAX_TIME_MS: u64 = 60_000;

/// Significant digits of the histograms: a hundredth is finer than any use of the values needs.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles that are served.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)];

/// All metric values; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct MemorySink {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    counts: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    times: BTreeMap<String, Histogram<u64>>,
}

impl MetricSink for MemorySink {
    /// Records a metric in the form `name:value|type`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let unread = || io::Error::new(io::ErrorKind::InvalidInput, metric.to_owned());
        let (name, rest) = metric.split_once(':').ok_or_else(unread)?;
        let (value, kind) = rest.split_once('|').ok_or_else(unread)?;
        let value: u64 = value.parse().map_err(|_| unread())?;
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if kind.starts_with('c') {
            *inner.counts.entry(name.to_owned()).or_default() += value;
        } else if kind.starts_with('g') {
            inner.gauges.insert(name.to_owned(), value);
        } else {
            let times = inner.times.entry(name.to_owned());
            let open = || {
                Histogram::new_with_max(MAX_TIME_MS, SIGNIFICANT_DIGITS).map_err(io::Error::other)
            };
            let histogram = match times {
                std::collections::btree_map::Entry::Occupied(held) => held.into_mut(),
                std::collections::btree_map::Entry::Vacant(place) => place.insert(open()?),
            };
            histogram.saturating_record(value);
        }
        Ok(metric.len())
    }
}

impl MemorySink {
    pub(super) fn text(&self) -> String {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (name, count) in inner.counts.iter().chain(&inner.gauges) {
            let _ = writeln!(text, "{name} {count}");
        }
        for (name, times) in &inner.times {
            let _ = writeln!(text, "{name}.count {}", times.len());
            for (label, quantile) in QUANTILES {
                let _ = writeln!(text, "{name}.{label} {}", times.value_at_quantile(quantile));
            }
        }
        text
    }
}
