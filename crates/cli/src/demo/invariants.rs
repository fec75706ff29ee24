//! Checks of the promises against the targets' own records.

use std::{sync::Arc, time::Duration};

use super::{
    StoppedHost,
    deployment::{ActiveDrain, DemoDeployment},
    sampler::Samples,
};
use crate::{
    exit::{CliError, Exit},
    load::LoadStats,
};

/// Time limit after which a drained domain must get no new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

/// Observations that the promises are checked against.
pub(super) struct InvariantChecks {
    /// The drained failure domain.
    pub(super) domain: Arc<str>,
    /// Time from the drain until the domain's targets were last busy.
    pub(super) drain: Duration,
    /// The host that was shut down.
    pub(super) stop: Option<StoppedHost>,
    /// Number of idempotency keys that were run more than once.
    pub(super) repeated: usize,
    /// Number of responses to another request.
    pub(super) wrong: u64,
    /// Number of keys that were answered `run: no` and run by a target.
    pub(super) false_no: usize,
    /// Number of requests with an unknown outcome or a lost response.
    pub(super) unknown: u64,
}

impl InvariantChecks {
    pub(super) fn collect(
        deployment: &DemoDeployment,
        stats: &LoadStats,
        samples: &Samples,
        drain: &ActiveDrain,
        stop: Option<StoppedHost>,
    ) -> Self {
        let runs = deployment.targets.run_counts();
        let last = samples.domains.get(&drain.domain).map(|d| d.last_busy);
        let last = last.map(|last| last.saturating_duration_since(drain.at));
        let counts = || stats.services.values();
        Self {
            domain: Arc::clone(&drain.domain),
            drain: last.unwrap_or_default(),
            stop,
            repeated: runs.values().filter(|n| **n > 1).count(),
            wrong: counts().map(|t| t.wrong).sum(),
            false_no: stats
                .not_run_keys
                .iter()
                .filter(|key| runs.contains_key(*key))
                .count(),
            unknown: counts().map(|t| t.unknown + t.response_lost).sum(),
        }
    }

    /// Returns each promise with the observation and whether it was kept.
    pub(super) fn results(&self) -> Vec<(String, bool)> {
        let empty = format!(
            "drained domain {} had its last work after {:.1} s (at most {:.0} s)",
            self.domain,
            self.drain.as_secs_f64(),
            DRAIN_LIMIT.as_secs_f64()
        );
        vec![
            (
                format!("requests run more than once: {}", self.repeated),
                self.repeated == 0,
            ),
            (format!("wrong answers: {}", self.wrong), self.wrong == 0),
            (
                format!("false `run: no`: {}", self.false_no),
                self.false_no == 0,
            ),
            (
                format!("requests without a certain end: {}", self.unknown),
                self.unknown == 0,
            ),
            (empty, self.drain <= DRAIN_LIMIT),
        ]
    }

    /// Returns an error that lists the broken promises, if any.
    pub(super) fn to_result(&self) -> Result<(), CliError> {
        let broken = self.results().into_iter().filter(|(_, kept)| !kept);
        let broken: Vec<String> = broken.map(|(text, _)| text).collect();
        match broken.is_empty() {
            true => Ok(()),
            false => Err(CliError::open(
                Exit::Failed,
                format!("promises were broken: {}", broken.join("; ")),
            )),
        }
    }
}
