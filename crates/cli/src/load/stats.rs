//! Statistics of the results that callers got.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::Deserialize;

use super::response_check::ResponseCheck;
use crate::caller::{CallResult, Outcome, TargetResponse};

/// Maximum latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of one service.
#[derive(Clone, Debug)]
pub struct ServiceCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests with their own complete response.
    pub answered: u64,
    /// Requests for which the target returned an error.
    pub failed: u64,
    /// Requests that got the response to another request.
    pub wrong: u64,
    /// Requests that were answered `run: no`.
    pub refused: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Requests that ran but whose response was lost.
    pub response_lost: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Latencies of answered requests, in microseconds.
    pub latencies: Histogram<u64>,
}

impl ServiceCounts {
    fn open() -> Self {
        Self {
            sent: 0,
            answered: 0,
            failed: 0,
            wrong: 0,
            refused: 0,
            unknown: 0,
            response_lost: 0,
            attempts: 0,
            // Cannot fail: the constants are within the histogram's limits.
            latencies: Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| unreachable!()),
        }
    }

    /// Returns the number of requests that have ended.
    pub fn ended(&self) -> u64 {
        self.answered + self.failed + self.wrong + self.refused + self.unknown + self.response_lost
    }
}

/// Statistics of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadStats {
    /// Counts by service.
    pub services: BTreeMap<Arc<str>, ServiceCounts>,
    /// Idempotency keys that were answered `run: no`; no target may have run them.
    pub not_run_keys: BTreeSet<Arc<str>>,
    /// Bytes of responses, by the host that sent them and the target that they name.
    pub bytes: BTreeMap<(SocketAddr, Arc<str>), u64>,
    /// Number of requests without a response, by reason.
    pub reasons: BTreeMap<Arc<str>, u64>,
}

/// The field of a fake target's response that names the target.
#[derive(Deserialize)]
struct Named<'a> {
    target: &'a str,
}

impl LoadStats {
    /// Counts a sent request.
    pub(crate) fn sent(&mut self, service: &Arc<str>) {
        self.service_counts(service).sent += 1;
    }

    /// Counts a request that has ended.
    pub(crate) fn ended(
        &mut self,
        service: &Arc<str>,
        result: &CallResult,
        check: ResponseCheck,
        time: Duration,
    ) {
        self.not_run_keys
            .extend(result.not_run_keys.iter().cloned());
        let counts = self.service_counts(service);
        counts.attempts += u64::from(result.attempts);
        let reason = match &result.outcome {
            Outcome::Answered(answered) => {
                match check {
                    ResponseCheck::Matching => {
                        counts.answered += 1;
                        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                        counts.latencies.saturating_record(micros);
                    }
                    ResponseCheck::Mismatched => counts.wrong += 1,
                    ResponseCheck::Error => counts.failed += 1,
                }
                self.count_bytes(answered);
                return;
            }
            Outcome::NotRun(reason) => {
                counts.refused += 1;
                Arc::clone(reason)
            }
            Outcome::Unknown(reason) => {
                counts.unknown += 1;
                Arc::clone(reason)
            }
            Outcome::ResponseLost => {
                counts.response_lost += 1;
                "the answer is gone".into()
            }
        };
        *self.reasons.entry(reason).or_default() += 1;
    }

    /// Counts the bytes of a response by host and target.
    fn count_bytes(&mut self, answered: &TargetResponse) {
        if let Ok(named) = serde_json::from_slice::<Named<'_>>(&answered.body) {
            let bytes = self
                .bytes
                .entry((answered.host, named.target.into()))
                .or_default();
            *bytes += u64::try_from(answered.body.len()).unwrap_or(u64::MAX);
        }
    }

    fn service_counts(&mut self, service: &Arc<str>) -> &mut ServiceCounts {
        self.services
            .entry(Arc::clone(service))
            .or_insert_with(ServiceCounts::open)
    }
}
