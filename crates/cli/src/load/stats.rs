//! Counts of what callers got.

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

/// Longest time that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Digits of a time that are kept.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of one service.
#[derive(Clone, Debug)]
pub struct ServiceCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests with the whole answer to themselves.
    pub answered: u64,
    /// Requests answered with an error of the target.
    pub failed: u64,
    /// Requests with an answer to another request.
    pub wrong: u64,
    /// Requests that did not run, and whose caller was told so.
    pub refused: u64,
    /// Requests whose caller could not be told whether they ran.
    pub unknown: u64,
    /// Requests that ran, and whose answer was gone.
    pub response_lost: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Times to answer, in microseconds.
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
            // The bounds are constants that fit.
            latencies: Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .unwrap_or_else(|_| unreachable!()),
        }
    }

    /// Requests that have ended.
    pub fn ended(&self) -> u64 {
        self.answered + self.failed + self.wrong + self.refused + self.unknown + self.response_lost
    }
}

/// Counts of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadStats {
    /// Counts by service.
    pub services: BTreeMap<Arc<str>, ServiceCounts>,
    /// Keys that were answered `run: no`; none of them may be found at a target.
    pub not_run_keys: BTreeSet<Arc<str>>,
    /// Bytes of answers, by the host that gave them and the target that it names.
    pub bytes: BTreeMap<(SocketAddr, Arc<str>), u64>,
    /// Reasons of requests without an answer, with their number.
    pub reasons: BTreeMap<Arc<str>, u64>,
}

/// The part of a stand-in's answer that names the target.
#[derive(Deserialize)]
struct Named<'a> {
    target: &'a str,
}

impl LoadStats {
    /// Counts a request that is sent.
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

    /// Counts the bytes that came from a target over a host.
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
