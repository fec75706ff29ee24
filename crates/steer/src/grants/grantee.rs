//! The grantee's side: a host uses the capacity that others granted it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use thiserror::Error;

use super::{GRANT_TTL, Grant, GrantRequest, Need, token_bucket::TokenBucket};

/// Error: no granted capacity is available for a request now.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no granted capacity is available; retry after {} ms", retry_after.as_millis())]
pub struct NoCapacity {
    /// Time until one request fits at the currently granted rate; the TTL of a grant if no grant is
    /// valid, and about a round trip if none was ever received.
    pub retry_after: Duration,
}

/// Minimum retry-after; rounding would otherwise end a wait just before its time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Retry-after before the first grant of a flow. Capacity is requested once a flow has traffic, and
/// the response takes a round trip. With the TTL of a grant as retry-after, the first requests of a
/// flow were refused while most slots were free.
const FIRST_GRANT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Grants and token buckets of one region and service.
#[derive(Clone, Debug)]
struct RegionGrants {
    /// Grants by grantor, each with its expiry time.
    by_grantor: BTreeMap<Arc<str>, (Duration, Grant)>,
    requests: TokenBucket,
    request_bytes: TokenBucket,
    answer_bytes: TokenBucket,
    /// Sizes of the last request and of its expected response.
    sizes: (f64, f64),
}

/// Sum of the valid grants.
#[derive(Clone, Copy, Debug, Default)]
struct GrantSum {
    rate: f64,
    request_bytes: f64,
    answer_bytes: f64,
}

impl RegionGrants {
    fn open(now: Duration) -> Self {
        Self {
            by_grantor: BTreeMap::new(),
            requests: TokenBucket::open(now),
            request_bytes: TokenBucket::open(now),
            answer_bytes: TokenBucket::open(now),
            sizes: (0.0, 0.0),
        }
    }

    fn sum(&self, now: Duration) -> GrantSum {
        let active = self
            .by_grantor
            .values()
            .filter(|(expires_at, _)| *expires_at > now);
        active.fold(GrantSum::default(), |sum, (_, grant)| GrantSum {
            rate: sum.rate + grant.rate,
            request_bytes: sum.request_bytes + grant.request_bytes,
            answer_bytes: sum.answer_bytes + grant.answer_bytes,
        })
    }

    /// Fills the buckets by the rates granted up to now.
    fn fill(&mut self, now: Duration) {
        let (request, answer) = self.sizes;
        let sum = self.sum(now);
        self.requests.fill(sum.rate, 1.0, now);
        self.request_bytes.fill(sum.request_bytes, request, now);
        self.answer_bytes.fill(sum.answer_bytes, answer, now);
        self.by_grantor
            .retain(|_, (expires_at, _)| *expires_at > now);
    }
}

/// The capacity that one host may use in other regions.
#[derive(Clone, Debug)]
pub struct Grantee {
    host: Arc<str>,
    region: Arc<str>,
    regions: BTreeMap<Arc<str>, BTreeMap<Arc<str>, RegionGrants>>,
}

impl Grantee {
    /// Creates a grantee without grants.
    pub fn open(host: &Arc<str>, region: &Arc<str>) -> Self {
        Self {
            host: host.clone(),
            region: region.clone(),
            regions: BTreeMap::new(),
        }
    }

    /// Returns a request to one of `grantors` hosts of a region, for an even part of the needs.
    pub fn request(&self, needs: &[Need], grantors: usize, now: Duration) -> GrantRequest {
        let share = |need: &Need| Need {
            rate: need.rate / grantors.max(1) as f64,
            ..need.clone()
        };
        GrantRequest {
            host: self.host.clone(),
            region: self.region.clone(),
            sent_at: now,
            needs: needs.iter().map(share).collect(),
        }
    }

    /// Stores a received grant. A grant for another host, or one requested before the grant that it
    /// would replace, is ignored.
    pub fn receive(&mut self, grant: Grant, now: Duration) {
        let expires_at = grant.requested_at + GRANT_TTL;
        if grant.grantee != self.host || expires_at <= now || grant.requested_at > now {
            return;
        }
        let services = self.regions.entry(grant.region.clone()).or_default();
        let grants = services
            .entry(grant.service.clone())
            .or_insert_with(|| RegionGrants::open(now));
        if let Some((known, _)) = grants.by_grantor.get(&grant.grantor)
            && *known > expires_at
        {
            return;
        }
        grants.fill(now);
        grants
            .by_grantor
            .insert(grant.grantor.clone(), (expires_at, grant));
    }

    /// Takes the capacity for one request, given its size and the expected size of its response.
    ///
    /// # Errors
    ///
    /// Returns [`NoCapacity`] if the capacity is not available now; then nothing is taken. The
    /// caller may wait for the returned time and retry if the request's deadline allows it.
    pub fn try_acquire(
        &mut self,
        region: &str,
        service: &str,
        (request, answer): (f64, f64),
        now: Duration,
    ) -> Result<(), NoCapacity> {
        let Some(grants) = self.grants(region, service) else {
            return Err(NoCapacity {
                retry_after: FIRST_GRANT_RETRY_AFTER,
            });
        };
        grants.sizes = (request, answer);
        grants.fill(now);
        let sum = grants.sum(now);
        let wait = grants
            .requests
            .wait(1.0, sum.rate)
            .max(grants.request_bytes.wait(request, sum.request_bytes))
            .max(grants.answer_bytes.wait(answer, sum.answer_bytes));
        if wait > 0.0 || grants.by_grantor.is_empty() {
            let wait = Duration::try_from_secs_f64(wait).unwrap_or(GRANT_TTL);
            return Err(NoCapacity {
                retry_after: wait.clamp(MIN_RETRY_AFTER, GRANT_TTL),
            });
        }
        grants.requests.take(1.0);
        grants.request_bytes.take(request);
        grants.answer_bytes.take(answer);
        Ok(())
    }

    /// Corrects the charged size of a response once it is known: `difference` is the number of
    /// bytes above the expected size, negative if it is smaller.
    pub fn adjust_bytes(&mut self, region: &str, service: &str, difference: f64) {
        if let Some(grants) = self.grants(region, service) {
            grants.answer_bytes.take(difference);
        }
    }

    /// Returns the requests per second that a region accepts now, limited by rate and by bytes.
    pub fn rate(&self, region: &str, need: &Need, now: Duration) -> f64 {
        let grants = self
            .regions
            .get(region)
            .and_then(|services| services.get(&need.service));
        let sum = grants.map(|grants| grants.sum(now)).unwrap_or_default();
        let rate_limit = |bytes: f64, size: f64| match size > 0.0 {
            true => bytes / size,
            false => f64::INFINITY,
        };
        sum.rate
            .min(rate_limit(sum.request_bytes, need.request_bytes))
            .min(rate_limit(sum.answer_bytes, need.answer_bytes))
    }

    fn grants(&mut self, region: &str, service: &str) -> Option<&mut RegionGrants> {
        self.regions.get_mut(region)?.get_mut(service)
    }
}
