//! The grantor's side: a host grants capacity of its own targets, and its part of the region's
//! links.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    FRESH_AGE, GRANT_TTL, Grant, GrantRequest, LinkCapacity, Need, REQUEST_FRACTION, STALE_AGE,
    local_usage::{LocalUsage, UsageHistory},
    outstanding::{GrantAmount, OutstandingGrants},
    window_max::WindowMax,
};
use crate::divide::{Demand, dominant};

/// Fraction of a need below which a grant is too small to send.
const EPSILON: f64 = 1e-6;

/// A resource that grants consume.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Resource {
    /// Slots of a service.
    Slots(Arc<str>),
    /// The link to a region, for requests from it.
    Requests(Arc<str>),
    /// The link to a region, for responses to it.
    Answers(Arc<str>),
}

/// Issues one host's grants.
///
/// Invariant: a grant is issued only if it fits, together with all unexpired grants, into the
/// capacity at that time.
#[derive(Clone, Debug)]
pub struct Grantor {
    host: Arc<str>,
    region: Arc<str>,
    /// Time until which this host grants nothing: its region's other hosts may not have counted it
    /// yet, and grants on its targets from before it joined may still be in use.
    quiet_until: Duration,
    /// Fraction of the region's slots to leave free.
    headroom: f64,
    links: LinkCapacity,
    usage: BTreeMap<Arc<str>, UsageHistory>,
    /// Number of hosts of the region.
    hosts: WindowMax,
    /// The last request of each host, with its time of receipt.
    requests: BTreeMap<Arc<str>, (Duration, GrantRequest)>,
    outstanding: OutstandingGrants,
}

impl Grantor {
    /// Creates a grantor without grants.
    pub fn open(host: &Arc<str>, region: &Arc<str>, now: Duration) -> Self {
        Self {
            host: host.clone(),
            region: region.clone(),
            quiet_until: now + GRANT_TTL,
            headroom: 1.0,
            links: LinkCapacity::new(),
            usage: BTreeMap::new(),
            hosts: WindowMax::default(),
            requests: BTreeMap::new(),
            outstanding: OutstandingGrants::default(),
        }
    }

    /// Sets the fraction of the region's slots to leave free, and the usable capacity of its links.
    pub fn set_limits(&mut self, headroom: f64, links: LinkCapacity) {
        self.headroom = headroom;
        self.links = links;
    }

    /// Records a measurement of the host's own targets.
    pub fn record_usage(&mut self, service: &Arc<str>, usage: LocalUsage, now: Duration) {
        match self.usage.get_mut(service) {
            Some(measured) => measured.add(usage, now),
            None => {
                let measured = UsageHistory::open(usage, now);
                self.usage.insert(service.clone(), measured);
            }
        }
    }

    /// Sets the number of the region's hosts that may grant, including this one and suspect and
    /// leaving ones.
    pub fn set_hosts(&mut self, hosts: usize, now: Duration) {
        self.hosts.add(hosts as f64, now);
    }

    /// Stores a host's request; the next [`Grantor::grant`] answers it.
    pub fn on_request(&mut self, request: GrantRequest, now: Duration) {
        // A late request must not replace a newer one.
        if let Some((_, known)) = self.requests.get(&request.host)
            && known.sent_at > request.sent_at
        {
            return;
        }
        self.requests.insert(request.host.clone(), (now, request));
    }

    /// Divides the capacity among all recent requests and returns the grants to send.
    pub fn grant(&mut self, now: Duration) -> Vec<Grant> {
        self.outstanding.expire(now);
        self.requests
            .retain(|_, (received_at, _)| now.saturating_sub(*received_at) < GRANT_TTL);
        let demands = self.demands(now);
        let capacity = self.capacity(now);
        let allocations = divide(&capacity, &demands);
        let mut available = self.unused(&capacity);
        let mut grants = Vec::new();
        for (demand, max_units) in demands.iter().zip(allocations) {
            let units = self.fit(demand, max_units, &mut available);
            if units * demand.slots > EPSILON * demand.slots && units > 0.0 {
                grants.push(self.issue(demand, units, now));
            }
        }
        grants
    }

    /// Returns the requests per second of a service that the host's own callers may send here
    /// beyond their current rate, without the granted capacity; 0 if the last measurement is old.
    pub fn spare_rate(&self, service: &str, now: Duration) -> f64 {
        let Some(measured) = self.usage.get(service) else {
            return 0.0;
        };
        if now.saturating_sub(measured.at) > FRESH_AGE {
            return 0.0;
        }
        let granted = self
            .outstanding
            .iter()
            .filter(|(name, _, _)| ***name == *service);
        let granted: f64 = granted.map(|(_, _, amount)| amount.slots).sum();
        (measured.available_slots(self.headroom) - granted).max(0.0) / measured.service_seconds()
    }

    /// Returns all requested needs in a fixed order. Needs of services without a target here are
    /// left out.
    fn demands(&self, now: Duration) -> Vec<GrantDemand> {
        let mut demands = Vec::new();
        for (_, request) in self.requests.values() {
            for need in &request.needs {
                let Some(measured) = self.usage.get(&need.service) else {
                    continue;
                };
                let age = now.saturating_sub(measured.at);
                let key = (request.host.clone(), need.service.clone());
                let granted = self.outstanding.amount(&key).slots / measured.service_seconds();
                let max_rate = match age {
                    age if age <= FRESH_AGE => need.rate,
                    age if age < STALE_AGE => need.rate.min(granted),
                    _ => 0.0,
                };
                if is_valid(need) && max_rate > 0.0 {
                    demands.push(GrantDemand {
                        key,
                        region: request.region.clone(),
                        requested_at: request.sent_at,
                        max_rate,
                        slots: measured.service_seconds(),
                        request_bytes: need.request_bytes,
                        answer_bytes: need.answer_bytes,
                    });
                }
            }
        }
        demands
    }

    /// Returns the capacity that the host may grant in total, by resource.
    fn capacity(&self, now: Duration) -> BTreeMap<Resource, f64> {
        let mut capacity = BTreeMap::new();
        for (service, measured) in &self.usage {
            let slots = match now < self.quiet_until {
                true => 0.0,
                false => measured.available_slots(self.headroom),
            };
            capacity.insert(Resource::Slots(service.clone()), slots);
        }
        let hosts = self.hosts.get().unwrap_or(0.0);
        for (region, bytes) in &self.links {
            let share = match now < self.quiet_until || hosts < 1.0 {
                true => 0.0,
                false => bytes / hosts,
            };
            capacity.insert(Resource::Requests(region.clone()), share * REQUEST_FRACTION);
            capacity.insert(
                Resource::Answers(region.clone()),
                share * (1.0 - REQUEST_FRACTION),
            );
        }
        capacity
    }

    /// Returns the capacity minus all outstanding grants; below 0 if the capacity has shrunk.
    fn unused(&self, capacity: &BTreeMap<Resource, f64>) -> BTreeMap<Resource, f64> {
        let mut available = capacity.clone();
        for (service, region, amount) in self.outstanding.iter() {
            let mut take = |resource, amount| {
                if let Some(available) = available.get_mut(&resource) {
                    *available -= amount;
                }
            };
            take(Resource::Slots(service.clone()), amount.slots);
            if *region != self.region {
                take(Resource::Requests(region.clone()), amount.request_bytes);
                take(Resource::Answers(region.clone()), amount.answer_bytes);
            }
        }
        available
    }

    /// Returns how many of `max_units` fit beside all other grants, and subtracts what they add from
    /// `available`.
    fn fit(
        &self,
        demand: &GrantDemand,
        max_units: f64,
        available: &mut BTreeMap<Resource, f64>,
    ) -> f64 {
        let granted = self.outstanding.amount(&demand.key);
        let uses = demand.uses(&self.region);
        let mut units = max_units;
        for (resource, uses, granted) in uses.iter(&granted) {
            let Some(available) = available.get(resource) else {
                return 0.0;
            };
            if uses > 0.0 {
                // The host may reuse what it was granted already.
                units = units.min((granted + available.max(0.0)) / uses);
            }
        }
        for (resource, uses, granted) in uses.iter(&granted) {
            if let Some(available) = available.get_mut(resource) {
                *available -= (units * uses - granted).max(0.0);
            }
        }
        units
    }

    fn issue(&mut self, demand: &GrantDemand, units: f64, now: Duration) -> Grant {
        let amount = GrantAmount {
            slots: units * demand.slots,
            request_bytes: units * demand.request_bytes,
            answer_bytes: units * demand.answer_bytes,
        };
        let key = demand.key.clone();
        self.outstanding
            .add(key, &demand.region, now + GRANT_TTL, amount);
        let (grantee, service) = demand.key.clone();
        Grant {
            grantor: self.host.clone(),
            region: self.region.clone(),
            grantee,
            service,
            rate: units,
            request_bytes: amount.request_bytes,
            answer_bytes: amount.answer_bytes,
            requested_at: demand.requested_at,
        }
    }
}

/// One need of one host; a unit is one request per second.
struct GrantDemand {
    /// Host and service.
    key: (Arc<str>, Arc<str>),
    region: Arc<str>,
    requested_at: Duration,
    max_rate: f64,
    /// Slots that a unit occupies.
    slots: f64,
    request_bytes: f64,
    answer_bytes: f64,
}

/// The use of each resource by one unit; no link if the host is in the grantor's own region.
struct UnitUses {
    list: Vec<(Resource, f64)>,
}

impl UnitUses {
    /// Iterates over the resources, each with its use by a unit and the amount granted already.
    fn iter(&self, granted: &GrantAmount) -> impl Iterator<Item = (&Resource, f64, f64)> {
        let granted = *granted;
        self.list.iter().map(move |(resource, uses)| {
            let granted = match resource {
                Resource::Slots(_) => granted.slots,
                Resource::Requests(_) => granted.request_bytes,
                Resource::Answers(_) => granted.answer_bytes,
            };
            (resource, *uses, granted)
        })
    }
}

impl GrantDemand {
    fn uses(&self, own: &Arc<str>) -> UnitUses {
        let mut list = vec![(Resource::Slots(self.key.1.clone()), self.slots)];
        if self.region != *own {
            list.push((Resource::Requests(self.region.clone()), self.request_bytes));
            list.push((Resource::Answers(self.region.clone()), self.answer_bytes));
        }
        UnitUses { list }
    }
}

/// Whether a need's numbers are usable; they come from another host.
fn is_valid(need: &Need) -> bool {
    let figures = [need.rate, need.request_bytes, need.answer_bytes];
    figures.iter().all(|n| n.is_finite() && *n >= 0.0)
}

/// Computes the units of each demand by dominant resource fairness over all resources.
fn divide(capacity: &BTreeMap<Resource, f64>, demands: &[GrantDemand]) -> Vec<f64> {
    let resources: Vec<&Resource> = capacity.keys().collect();
    let capacity: Vec<f64> = capacity.values().copied().collect();
    let unit_demands: Vec<Demand> = demands
        .iter()
        .map(|demand| Demand {
            uses: resources
                .iter()
                .map(|resource| demand.unit(resource))
                .collect(),
            max_units: demand.max_rate,
        })
        .collect();
    dominant(&capacity, &unit_demands)
}

impl GrantDemand {
    /// Returns what a unit uses of a resource.
    fn unit(&self, resource: &Resource) -> f64 {
        match resource {
            Resource::Slots(service) if *service == self.key.1 => self.slots,
            Resource::Requests(region) if *region == self.region => self.request_bytes,
            Resource::Answers(region) if *region == self.region => self.answer_bytes,
            _ => 0.0,
        }
    }
}
