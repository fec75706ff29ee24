//! A host uses what others lent it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use thiserror::Error;

use super::{GRANT_TTL, Grant, GrantRequest, Need, token_bucket::Bucket};

/// No room for a request now.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no room was lent for it; try again after {} ms", retry_after.as_millis())]
pub struct NoCapacity {
    /// Time after which there is room for one request at the rate that is lent now; a grant's
    /// lifetime where none is, and a round trip where none was ever heard of.
    pub retry_after: Duration,
}

/// Shortest time to wait; rounding would else end a wait just before its time.
const SHORTEST: Duration = Duration::from_millis(1);

/// Time after which a request tries again where no grant was ever heard of. Room is asked for once a
/// lane has traffic, and the answer is a round trip away; told to wait for a grant's whole life, the
/// first requests of a lane were refused while most slots were free.
const UNHEARD: Duration = Duration::from_millis(50);

/// Buckets of one region and service.
#[derive(Clone, Debug)]
struct Pool {
    /// By grantor, with the time at which each ends.
    grants: BTreeMap<Arc<str>, (Duration, Grant)>,
    requests: Bucket,
    request_bytes: Bucket,
    answer_bytes: Bucket,
    /// Sizes of the last request and of its expected answer.
    sizes: (f64, f64),
}

/// Sums of the grants that hold now.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    rate: f64,
    request_bytes: f64,
    answer_bytes: f64,
}

impl Pool {
    fn open(now: Duration) -> Self {
        Self {
            grants: BTreeMap::new(),
            requests: Bucket::open(now),
            request_bytes: Bucket::open(now),
            answer_bytes: Bucket::open(now),
            sizes: (0.0, 0.0),
        }
    }

    fn sum(&self, now: Duration) -> Sum {
        let live = self.grants.values().filter(|(until, _)| *until > now);
        live.fold(Sum::default(), |sum, (_, grant)| Sum {
            rate: sum.rate + grant.rate,
            request_bytes: sum.request_bytes + grant.request_bytes,
            answer_bytes: sum.answer_bytes + grant.answer_bytes,
        })
    }

    /// Fills the buckets by what was lent up to now.
    fn fill(&mut self, now: Duration) {
        let (request, answer) = self.sizes;
        let sum = self.sum(now);
        self.requests.fill(sum.rate, 1.0, now);
        self.request_bytes.fill(sum.request_bytes, request, now);
        self.answer_bytes.fill(sum.answer_bytes, answer, now);
        self.grants.retain(|_, (until, _)| *until > now);
    }
}

/// What one host may send to other regions.
#[derive(Clone, Debug)]
pub struct Grantee {
    host: Arc<str>,
    region: Arc<str>,
    pools: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Pool>>,
}

impl Grantee {
    /// A host that was lent nothing yet.
    pub fn open(host: &Arc<str>, region: &Arc<str>) -> Self {
        Self {
            host: host.clone(),
            region: region.clone(),
            pools: BTreeMap::new(),
        }
    }

    /// An ask to one of `grantors` hosts of a region: its even part of what is needed.
    pub fn request(&self, needs: &[Need], grantors: usize, now: Duration) -> GrantRequest {
        let part = |need: &Need| Need {
            rate: need.rate / grantors.max(1) as f64,
            ..need.clone()
        };
        GrantRequest {
            host: self.host.clone(),
            region: self.region.clone(),
            sent_at: now,
            needs: needs.iter().map(part).collect(),
        }
    }

    /// Takes a grant in. One for another host, or one that was asked for before the grant it would
    /// replace, is left aside.
    pub fn receive(&mut self, grant: Grant, now: Duration) {
        let until = grant.requested_at + GRANT_TTL;
        if grant.grantee != self.host || until <= now || grant.requested_at > now {
            return;
        }
        let pools = self.pools.entry(grant.region.clone()).or_default();
        let pool = pools
            .entry(grant.service.clone())
            .or_insert_with(|| Pool::open(now));
        if let Some((known, _)) = pool.grants.get(&grant.grantor)
            && *known > until
        {
            return;
        }
        pool.fill(now);
        pool.grants.insert(grant.grantor.clone(), (until, grant));
    }

    /// Takes room for one request, by its size and the size that its answer is expected to have.
    ///
    /// # Errors
    ///
    /// [`NoCapacity`] where there is no room now; then nothing is taken. A request whose deadline
    /// allows it may wait for so long and try again.
    pub fn try_acquire(
        &mut self,
        region: &str,
        service: &str,
        (request, answer): (f64, f64),
        now: Duration,
    ) -> Result<(), NoCapacity> {
        let Some(pool) = self.pool(region, service) else {
            return Err(NoCapacity {
                retry_after: UNHEARD,
            });
        };
        pool.sizes = (request, answer);
        pool.fill(now);
        let sum = pool.sum(now);
        let wait = pool
            .requests
            .wait(1.0, sum.rate)
            .max(pool.request_bytes.wait(request, sum.request_bytes))
            .max(pool.answer_bytes.wait(answer, sum.answer_bytes));
        if wait > 0.0 || pool.grants.is_empty() {
            let wait = Duration::try_from_secs_f64(wait).unwrap_or(GRANT_TTL);
            return Err(NoCapacity {
                retry_after: wait.clamp(SHORTEST, GRANT_TTL),
            });
        }
        pool.requests.take(1.0);
        pool.request_bytes.take(request);
        pool.answer_bytes.take(answer);
        Ok(())
    }

    /// Puts an answer's size right, once it is known: `more` bytes than expected, below 0 for
    /// less.
    pub fn adjust_bytes(&mut self, region: &str, service: &str, more: f64) {
        if let Some(pool) = self.pool(region, service) {
            pool.answer_bytes.take(more);
        }
    }

    /// Requests a second that a region takes now, by rate and by bytes.
    pub fn rate(&self, region: &str, need: &Need, now: Duration) -> f64 {
        let pool = self
            .pools
            .get(region)
            .and_then(|pools| pools.get(&need.service));
        let sum = pool.map(|pool| pool.sum(now)).unwrap_or_default();
        let by = |bytes: f64, size: f64| match size > 0.0 {
            true => bytes / size,
            false => f64::INFINITY,
        };
        sum.rate
            .min(by(sum.request_bytes, need.request_bytes))
            .min(by(sum.answer_bytes, need.answer_bytes))
    }

    fn pool(&mut self, region: &str, service: &str) -> Option<&mut Pool> {
        self.pools.get_mut(region)?.get_mut(service)
    }
}
