//! Counters, gauges and latency histograms, served as text.
//!
//! Calls go through `cadence`; the sink here keeps them in memory, since the platform reads metrics
//! instead of receiving them.

mod sink;
mod workspaces;

use std::{sync::Arc, time::Duration};

use cadence::{Counted, CountedExt, Gauged, StatsdClient, Timed};
use viz::{IntoResponse, Request, Router};

use self::{sink::MemorySink, workspaces::Workspaces};
use crate::host::Shared;

/// Stands before every name.
const PREFIX: &str = "dunlinrock.edge";

/// Path on which metrics are served.
pub const PATH: &str = "/metrics";

/// Counters and histograms of one host; shared by its duties.
#[derive(Debug)]
pub struct Meters {
    client: StatsdClient,
    sink: MemorySink,
    workspaces: Workspaces,
}

impl Meters {
    /// Opens meters that have counted nothing.
    pub fn open() -> Meters {
        let sink = MemorySink::default();
        let client = StatsdClient::from_sink(PREFIX, sink.clone());
        Meters {
            client,
            sink,
            workspaces: Workspaces::default(),
        }
    }

    /// Counts one.
    pub fn count(&self, name: &str) {
        if let Err(e) = self.client.incr(name) {
            log::debug!(target: "metrics", error:% = e; "a count is lost");
        }
    }

    /// Counts several.
    pub fn add(&self, name: &str, count: usize) {
        if let Err(e) = self.client.count(name, count as u64) {
            log::debug!(target: "metrics", error:% = e; "a count is lost");
        }
    }

    /// Counts a request of a workspace.
    pub fn workspace(&self, name: &Arc<str>, is_limited: bool) {
        self.workspaces.count(name, is_limited);
    }

    /// Notes a time.
    pub fn time(&self, name: &str, time: Duration) {
        if let Err(e) = self.client.time(name, time) {
            log::debug!(target: "metrics", error:% = e; "a time is lost");
        }
    }

    /// Notes how much there is of something now.
    pub fn gauge(&self, name: &str, value: u64) {
        if let Err(e) = self.client.gauge(name, value) {
            log::debug!(target: "metrics", error:% = e; "a gauge is lost");
        }
    }

    /// All of them as text, a line each.
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
