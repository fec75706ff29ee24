//! Report of a load, as text and as JSON.

use std::{collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{LoadSchedule, LoadStats, ServiceCounts};

/// Results of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests with their own complete response.
    pub answered: u64,
    /// Requests for which the target returned an error.
    pub failed: u64,
    /// Requests that got the response to another request; must be 0.
    pub wrong: u64,
    /// Requests that did not run (`run: no`).
    pub refused: u64,
    /// Requests with an unknown outcome (`run: unknown`).
    pub unknown: u64,
    /// Requests that ran but whose response was lost (`run: yes`).
    pub gone: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile of the latency, in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Maximum latency, in milliseconds.
    pub max_ms: f64,
}

impl ServiceReport {
    /// Summarizes the counts of a service.
    pub fn from_counts(counts: &ServiceCounts) -> Self {
        let millis = |micros: u64| micros as f64 / 1000.0;
        let at = |quantile| millis(counts.latencies.value_at_quantile(quantile));
        Self {
            sent: counts.sent,
            answered: counts.answered,
            failed: counts.failed,
            wrong: counts.wrong,
            refused: counts.refused,
            unknown: counts.unknown,
            gone: counts.response_lost,
            attempts: counts.attempts,
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            max_ms: millis(counts.latencies.max()),
        }
    }
}

/// Report of a load.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Requests sent per second.
    pub rate: f64,
    /// Duration in seconds.
    pub seconds: f64,
    /// Seed of the load.
    pub seed: u64,
    /// Results by service.
    pub services: BTreeMap<Arc<str>, ServiceReport>,
    /// Number of requests without a response, by reason.
    pub reasons: BTreeMap<Arc<str>, u64>,
}

impl Report {
    /// Summarizes the statistics of a load.
    pub fn from_stats(schedule: &LoadSchedule, stats: &LoadStats) -> Self {
        let services = stats.services.iter();
        Self {
            rate: schedule.rate,
            seconds: schedule.duration.as_secs_f64(),
            seed: schedule.seed,
            services: services
                .map(|(name, counts)| (Arc::clone(name), ServiceReport::from_counts(counts)))
                .collect(),
            reasons: stats.reasons.clone(),
        }
    }

    /// Returns whether a caller got the response to another request.
    pub fn has_wrong(&self) -> bool {
        self.services.values().any(|service| service.wrong > 0)
    }
}

/// Maximum number of reasons shown. Reasons may contain numbers, so there can be many distinct
/// ones.
const MAX_REASONS: usize = 8;

impl Report {
    /// Writes the most frequent reasons.
    fn show_reasons(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut reasons: Vec<_> = self.reasons.iter().collect();
        reasons.sort_by_key(|(_, number)| std::cmp::Reverse(**number));
        let shown = reasons.len().min(MAX_REASONS);
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
        for (name, service) in &self.services {
            writeln!(
                f,
                "{:<14}{:>8}{:>9}{:>8}{:>7}{:>9}{:>9}{:>9.1}{:>9.1}{:>9.1}{:>9.1}",
                name,
                service.sent,
                service.answered,
                service.failed,
                service.wrong,
                service.refused,
                service.unknown + service.gone,
                service.p50_ms,
                service.p90_ms,
                service.p99_ms,
                service.max_ms
            )?;
        }
        self.show_reasons(f)
    }
}
