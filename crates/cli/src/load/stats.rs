//! Counts of what callers got.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::Deserialize;

use super::response_check::Verdict;
use crate::caller::{Answered, Done, Outcome};

/// Longest time that is told apart, in microseconds.
const LONGEST: u64 = 120_000_000;

/// Digits of a time that are kept.
const DIGITS: u8 = 3;

/// Counts of one service.
#[derive(Clone, Debug)]
pub struct Totals {
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
    pub gone: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Times to answer, in microseconds.
    pub times: Histogram<u64>,
}

impl Totals {
    fn open() -> Self {
        Self {
            sent: 0,
            answered: 0,
            failed: 0,
            wrong: 0,
            refused: 0,
            unknown: 0,
            gone: 0,
            attempts: 0,
            // The bounds are constants that fit.
            times: Histogram::new_with_max(LONGEST, DIGITS).unwrap_or_else(|_| unreachable!()),
        }
    }

    /// Requests that have ended.
    pub fn ended(&self) -> u64 {
        self.answered + self.failed + self.wrong + self.refused + self.unknown + self.gone
    }
}

/// Counts of a load.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Counts by service.
    pub services: BTreeMap<Arc<str>, Totals>,
    /// Keys that were answered `run: no`; none of them may be found at a target.
    pub closed: BTreeSet<Arc<str>>,
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

impl Tally {
    /// Counts a request that is sent.
    pub(crate) fn sent(&mut self, service: &Arc<str>) {
        self.totals(service).sent += 1;
    }

    /// Counts a request that has ended.
    pub(crate) fn ended(
        &mut self,
        service: &Arc<str>,
        done: &Done,
        verdict: Verdict,
        time: Duration,
    ) {
        self.closed.extend(done.refused.iter().cloned());
        let totals = self.totals(service);
        totals.attempts += u64::from(done.attempts);
        let reason = match &done.outcome {
            Outcome::Answered(answered) => {
                match verdict {
                    Verdict::Right => {
                        totals.answered += 1;
                        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                        totals.times.saturating_record(micros);
                    }
                    Verdict::Wrong => totals.wrong += 1,
                    Verdict::Error => totals.failed += 1,
                }
                self.carry(answered);
                return;
            }
            Outcome::NotRun(reason) => {
                totals.refused += 1;
                Arc::clone(reason)
            }
            Outcome::Unknown(reason) => {
                totals.unknown += 1;
                Arc::clone(reason)
            }
            Outcome::Ran => {
                totals.gone += 1;
                "the answer is gone".into()
            }
        };
        *self.reasons.entry(reason).or_default() += 1;
    }

    /// Counts the bytes that came from a target over a host.
    fn carry(&mut self, answered: &Answered) {
        if let Ok(named) = serde_json::from_slice::<Named<'_>>(&answered.body) {
            let bytes = self
                .bytes
                .entry((answered.host, named.target.into()))
                .or_default();
            *bytes += u64::try_from(answered.body.len()).unwrap_or(u64::MAX);
        }
    }

    fn totals(&mut self, service: &Arc<str>) -> &mut Totals {
        self.services
            .entry(Arc::clone(service))
            .or_insert_with(Totals::open)
    }
}
