//! What a load measured, as text and as JSON.

use std::{collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{Pace, Tally, Totals};

/// What one service's callers got.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Share {
    /// Requests sent.
    pub sent: u64,
    /// Requests with the whole answer to themselves.
    pub answered: u64,
    /// Requests answered with an error of the target.
    pub failed: u64,
    /// Requests with an answer to another request; must be 0.
    pub wrong: u64,
    /// Requests that did not run (`run: no`).
    pub refused: u64,
    /// Requests of which nobody knows whether they ran (`run: unknown`).
    pub unknown: u64,
    /// Requests that ran, and whose answer was gone (`run: yes`).
    pub gone: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Time to answer of half the requests, in milliseconds.
    pub p50_ms: f64,
    /// Time to answer of 90% of the requests, in milliseconds.
    pub p90_ms: f64,
    /// Time to answer of 99% of the requests, in milliseconds.
    pub p99_ms: f64,
    /// Longest time to answer, in milliseconds.
    pub max_ms: f64,
}

impl Share {
    /// Sums up the counts of a service.
    pub fn of(totals: &Totals) -> Self {
        let millis = |micros: u64| micros as f64 / 1000.0;
        let at = |quantile| millis(totals.times.value_at_quantile(quantile));
        Self {
            sent: totals.sent,
            answered: totals.answered,
            failed: totals.failed,
            wrong: totals.wrong,
            refused: totals.refused,
            unknown: totals.unknown,
            gone: totals.gone,
            attempts: totals.attempts,
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            max_ms: millis(totals.times.max()),
        }
    }
}

/// What a load measured.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Requests a second that were sent.
    pub rate: f64,
    /// Seconds it went on for.
    pub seconds: f64,
    /// Seed.
    pub seed: u64,
    /// Results by service.
    pub services: BTreeMap<Arc<str>, Share>,
    /// Reasons of requests without an answer, with their number.
    pub reasons: BTreeMap<Arc<str>, u64>,
}

impl Report {
    /// Sums up a load.
    pub fn of(pace: &Pace, tally: &Tally) -> Self {
        let services = tally.services.iter();
        Self {
            rate: pace.rate,
            seconds: pace.time.as_secs_f64(),
            seed: pace.seed,
            services: services
                .map(|(name, totals)| (Arc::clone(name), Share::of(totals)))
                .collect(),
            reasons: tally.reasons.clone(),
        }
    }

    /// Tells whether a caller got an answer that was not its own.
    pub fn has_wrong(&self) -> bool {
        self.services.values().any(|share| share.wrong > 0)
    }
}

/// Reasons that are shown; details with numbers in them make many that differ.
const SHOWN: usize = 8;

impl Report {
    /// Shows the most frequent reasons.
    fn show_reasons(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut reasons: Vec<_> = self.reasons.iter().collect();
        reasons.sort_by_key(|(_, number)| std::cmp::Reverse(**number));
        let shown = reasons.len().min(SHOWN);
        for (reason, number) in &reasons[..shown] {
            writeln!(f, "{number} without an answer: {reason}")?;
        }
        let rest: u64 = reasons[shown..].iter().map(|(_, number)| **number).sum();
        match rest {
            0 => Ok(()),
            _ => writeln!(
                f,
                "{rest} without an answer, for other reasons (see --json)"
            ),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14}{:>8}{:>9}{:>8}{:>7}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}",
            "service",
            "sent",
            "answered",
            "failed",
            "wrong",
            "run: no",
            "unknown",
            "p50 ms",
            "p90 ms",
            "p99 ms",
            "max ms"
        )?;
        for (name, share) in &self.services {
            writeln!(
                f,
                "{:<14}{:>8}{:>9}{:>8}{:>7}{:>9}{:>9}{:>9.1}{:>9.1}{:>9.1}{:>9.1}",
                name,
                share.sent,
                share.answered,
                share.failed,
                share.wrong,
                share.refused,
                share.unknown + share.gone,
                share.p50_ms,
                share.p90_ms,
                share.p99_ms,
                share.max_ms
            )?;
        }
        self.show_reasons(f)
    }
}
