//! Specification of a pool that a host owns.

use std::sync::Arc;

use dunlinrock_decide::admit::{PoolConfig, QuarantineUpdate, TargetSpec};

/// Id of a pool: the targets of one service in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolId {
    /// Service of its targets.
    pub service: Arc<str>,
    /// Failure domain of its targets.
    pub domain: Arc<str>,
}

/// A pool that this host owns.
#[derive(Clone, Debug)]
pub struct PoolSpec {
    /// Id of the pool.
    pub id: Arc<PoolId>,
    /// Its rules.
    pub rules: PoolConfig,
    /// Its targets.
    pub targets: Vec<TargetSpec>,
    /// Known quarantine updates, for a pool that is new at this host.
    pub quarantines: Vec<QuarantineUpdate>,
}
