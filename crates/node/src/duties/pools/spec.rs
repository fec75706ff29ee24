//! What a host is told about a pool it owns.

use std::sync::Arc;

use dunlinrock_decide::admit::{PoolConfig, QuarantineUpdate, TargetSpec};

/// Names a pool: the targets of one service in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolId {
    /// Service that its targets run.
    pub service: Arc<str>,
    /// Failure domain that they stand in.
    pub domain: Arc<str>,
}

/// A pool to own.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// Which pool.
    pub id: Arc<PoolId>,
    /// Its rules.
    pub rules: PoolConfig,
    /// Its targets.
    pub targets: Vec<TargetSpec>,
    /// Requests known to kill their targets, for a pool that is new here.
    pub quarantines: Vec<QuarantineUpdate>,
}
