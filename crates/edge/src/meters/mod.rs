//! Counters, gauges and latency histograms, served as text.
//!
//! Calls go through `cadence`; the sink here keeps the values in memory, since the platform pulls
//! metrics.

mod sink;
mod workspaces;

use std::{sync::Arc, time::Duration};

use cadence::{Counted, CountedExt, Gauged, StatsdClient, Timed};
use viz::{IntoResponse, Request, Router};

use self::{sink::MemorySink, workspaces::Workspaces};
use crate::host::Shared;

/// Prefix of all names.
const PREFIX: &str = "dunlinrock.edge";

/// Path on which metrics are served.
pub const PATH: &str = "/metrics";

/// Metrics of one host, shared by its threads.
#[derive(Debug)]
pub struct Meters {
    client: StatsdClient,
    sink: MemorySink,
    workspaces: Workspaces,
}

impl Meters {
    /// Creates metrics with no values.
    pub fn open() -> Meters {
        let sink = MemorySink::default();
        let client = StatsdClient::from_sink(PREFIX, sink.clone());
        Meters {
            client,
            sink,
            workspaces: Workspaces::default(),
        }
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        if let Err(e) = self.client.incr(name) {
            log::debug!(target: "metrics", error:% = e; "cannot record a count");
        }
    }

    /// Adds to a counter.
    pub fn add(&self, name: &str, count: usize) {
        if let Err(e) = self.client.count(name, count as u64) {
            log::debug!(target: "metrics", error:% = e; "cannot record a count");
        }
    }

    /// Counts a request of a workspace.
    pub fn workspace(&self, name: &Arc<str>, is_limited: bool) {
        self.workspaces.count(name, is_limited);
    }

    /// Records a duration in a histogram.
    pub fn time(&self, name: &str, time: Duration) {
        if let Err(e) = self.client.time(name, time) {
            log::debug!(target: "metrics", error:% = e; "cannot record a time");
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Err(e) = self.client.gauge(name, value) {
            log::debug!(target: "metrics", error:% = e; "cannot record a gauge");
        }
    }

    /// Returns all metrics as text, one a line.
    pub fn text(&self) -> String {
        let mut text = self.sink.text();
        self.workspaces.write(PREFIX, &mut text);
        text
    }
}

/// Serves the metrics.
pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    let shared = Arc::clone(shared);
    Router::new().get(PATH, move |_: Request| {
        let text = shared.meters.text();
        async move { Ok(text.into_response()) }
    })
}
