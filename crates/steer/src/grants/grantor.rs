//! A host lends the room of its own targets, and its part of the region's links.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    FRESH_AGE, GRANT_TTL, Grant, GrantRequest, LinkCapacity, Need, REQUEST_FRACTION, STALE_AGE,
    local_usage::{LocalUsage, Measured},
    outstanding::{Amount, Book},
    window_max::Most,
};
use crate::divide::{Demand, dominant};

/// Part of a need below which a grant is not worth its message.
const LEAST: f64 = 1e-6;

/// A resource that grants use up.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Resource {
    /// Slots of a service.
    Slots(Arc<str>),
    /// The link to a region, for requests from it.
    Requests(Arc<str>),
    /// The link to a region, for answers to it.
    Answers(Arc<str>),
}

/// One host's book of grants.
///
/// Invariant: the grants that may still be used come, with what their grantees were lent before,
/// to no more than the room as it was when each was made.
#[derive(Clone, Debug)]
pub struct Grantor {
    host: Arc<str>,
    region: Arc<str>,
    /// Until when it grants nothing: its region's other hosts have not counted it yet, and what
    /// was lent on its targets before it came may still be used.
    quiet: Duration,
    /// Part of the region's slots that is left free, of 1.
    headroom: f64,
    links: LinkCapacity,
    own: BTreeMap<Arc<str>, Measured>,
    /// Hosts of the region.
    hosts: Most,
    /// The last ask of each host, with the time it came.
    asks: BTreeMap<Arc<str>, (Duration, GrantRequest)>,
    book: Book,
}

impl Grantor {
    /// A host that has lent nothing yet.
    pub fn open(host: &Arc<str>, region: &Arc<str>, now: Duration) -> Self {
        Self {
            host: host.clone(),
            region: region.clone(),
            quiet: now + GRANT_TTL,
            headroom: 1.0,
            links: LinkCapacity::new(),
            own: BTreeMap::new(),
            hosts: Most::default(),
            asks: BTreeMap::new(),
            book: Book::default(),
        }
    }

    /// Sets the part of the region's slots to leave free, of 1, and what its links may carry.
    pub fn set_limits(&mut self, headroom: f64, links: LinkCapacity) {
        self.headroom = headroom;
        self.links = links;
    }

    /// Notes a measurement of the host's own targets.
    pub fn record_usage(&mut self, service: &Arc<str>, own: LocalUsage, now: Duration) {
        match self.own.get_mut(service) {
            Some(measured) => measured.add(own, now),
            None => {
                let measured = Measured::open(own, now);
                self.own.insert(service.clone(), measured);
            }
        }
    }

    /// Notes how many hosts of the region may grant, this one, suspect and leaving ones included.
    pub fn set_hosts(&mut self, hosts: usize, now: Duration) {
        self.hosts.add(hosts as f64, now);
    }

    /// Notes what a host wants; it is answered by the next [`Grantor::grant`].
    pub fn on_request(&mut self, ask: GrantRequest, now: Duration) {
        // A late ask must not take the place of a newer one.
        if let Some((_, known)) = self.asks.get(&ask.host)
            && known.sent_at > ask.sent_at
        {
            return;
        }
        self.asks.insert(ask.host.clone(), (now, ask));
    }

    /// Divides the room among all that asked lately and gives the grants to send.
    pub fn grant(&mut self, now: Duration) -> Vec<Grant> {
        self.book.expire(now);
        self.asks
            .retain(|_, (came, _)| now.saturating_sub(*came) < GRANT_TTL);
        let wants = self.wants(now);
        let room = self.room(now);
        let targets = divide(&room, &wants);
        let mut free = self.free(&room);
        let mut grants = Vec::new();
        for (want, target) in wants.iter().zip(targets) {
            let units = self.fit(want, target, &mut free);
            if units * want.slots > LEAST * want.slots && units > 0.0 {
                grants.push(self.lend(want, units, now));
            }
        }
        grants
    }

    /// Requests a second of a service that the host's own callers may send here beyond what they
    /// do, lent room left out; none where the last measurement is old.
    pub fn spare_rate(&self, service: &str, now: Duration) -> f64 {
        let Some(measured) = self.own.get(service) else {
            return 0.0;
        };
        if now.saturating_sub(measured.at) > FRESH_AGE {
            return 0.0;
        }
        let lent = self.book.iter().filter(|(name, _, _)| ***name == *service);
        let lent: f64 = lent.map(|(_, _, amount)| amount.slots).sum();
        (measured.room(self.headroom) - lent).max(0.0) / measured.work()
    }

    /// All that is asked for, in a fixed order. Needs without a target here are left out.
    fn wants(&self, now: Duration) -> Vec<Want> {
        let mut wants = Vec::new();
        for (_, ask) in self.asks.values() {
            for need in &ask.needs {
                let Some(measured) = self.own.get(&need.service) else {
                    continue;
                };
                let age = now.saturating_sub(measured.at);
                let key = (ask.host.clone(), need.service.clone());
                let lent = self.book.lent(&key).slots / measured.work();
                let most = match age {
                    age if age <= FRESH_AGE => need.rate,
                    age if age < STALE_AGE => need.rate.min(lent),
                    _ => 0.0,
                };
                if sound(need) && most > 0.0 {
                    wants.push(Want {
                        key,
                        region: ask.region.clone(),
                        asked: ask.sent_at,
                        most,
                        slots: measured.work(),
                        request_bytes: need.request_bytes,
                        answer_bytes: need.answer_bytes,
                    });
                }
            }
        }
        wants
    }

    /// What the host may lend in all, by resource.
    fn room(&self, now: Duration) -> BTreeMap<Resource, f64> {
        let mut room = BTreeMap::new();
        for (service, measured) in &self.own {
            let slots = match now < self.quiet {
                true => 0.0,
                false => measured.room(self.headroom),
            };
            room.insert(Resource::Slots(service.clone()), slots);
        }
        let hosts = self.hosts.get().unwrap_or(0.0);
        for (region, bytes) in &self.links {
            let part = match now < self.quiet || hosts < 1.0 {
                true => 0.0,
                false => bytes / hosts,
            };
            room.insert(Resource::Requests(region.clone()), part * REQUEST_FRACTION);
            room.insert(
                Resource::Answers(region.clone()),
                part * (1.0 - REQUEST_FRACTION),
            );
        }
        room
    }

    /// What is left of the room beside all that is lent; below 0 where the room has shrunk.
    fn free(&self, room: &BTreeMap<Resource, f64>) -> BTreeMap<Resource, f64> {
        let mut free = room.clone();
        for (service, region, amount) in self.book.iter() {
            let mut take = |resource, amount| {
                if let Some(free) = free.get_mut(&resource) {
                    *free -= amount;
                }
            };
            take(Resource::Slots(service.clone()), amount.slots);
            if *region != self.region {
                take(Resource::Requests(region.clone()), amount.request_bytes);
                take(Resource::Answers(region.clone()), amount.answer_bytes);
            }
        }
        free
    }

    /// Units of a target that fit beside all other grants; takes what it adds out of `free`.
    fn fit(&self, want: &Want, target: f64, free: &mut BTreeMap<Resource, f64>) -> f64 {
        let lent = self.book.lent(&want.key);
        let uses = want.uses(&self.region);
        let mut units = target;
        for (resource, uses, lent) in uses.iter(&lent) {
            let Some(free) = free.get(resource) else {
                return 0.0;
            };
            if uses > 0.0 {
                // What the host was lent already is its own to use again.
                units = units.min((lent + free.max(0.0)) / uses);
            }
        }
        for (resource, uses, lent) in uses.iter(&lent) {
            if let Some(free) = free.get_mut(resource) {
                *free -= (units * uses - lent).max(0.0);
            }
        }
        units
    }

    fn lend(&mut self, want: &Want, units: f64, now: Duration) -> Grant {
        let amount = Amount {
            slots: units * want.slots,
            request_bytes: units * want.request_bytes,
            answer_bytes: units * want.answer_bytes,
        };
        let key = want.key.clone();
        self.book.add(key, &want.region, now + GRANT_TTL, amount);
        let (grantee, service) = want.key.clone();
        Grant {
            grantor: self.host.clone(),
            region: self.region.clone(),
            grantee,
            service,
            rate: units,
            request_bytes: amount.request_bytes,
            answer_bytes: amount.answer_bytes,
            requested_at: want.asked,
        }
    }
}

/// One need of one host; a unit is a request a second.
struct Want {
    /// Host and service.
    key: (Arc<str>, Arc<str>),
    region: Arc<str>,
    asked: Duration,
    most: f64,
    /// Slots that a unit takes up.
    slots: f64,
    request_bytes: f64,
    answer_bytes: f64,
}

/// What a unit uses of each resource; no link where the host is in the grantor's own region.
struct Uses {
    list: Vec<(Resource, f64)>,
}

impl Uses {
    /// Each resource with its use and with what of it is lent already.
    fn iter(&self, lent: &Amount) -> impl Iterator<Item = (&Resource, f64, f64)> {
        let lent = *lent;
        self.list.iter().map(move |(resource, uses)| {
            let lent = match resource {
                Resource::Slots(_) => lent.slots,
                Resource::Requests(_) => lent.request_bytes,
                Resource::Answers(_) => lent.answer_bytes,
            };
            (resource, *uses, lent)
        })
    }
}

impl Want {
    fn uses(&self, own: &Arc<str>) -> Uses {
        let mut list = vec![(Resource::Slots(self.key.1.clone()), self.slots)];
        if self.region != *own {
            list.push((Resource::Requests(self.region.clone()), self.request_bytes));
            list.push((Resource::Answers(self.region.clone()), self.answer_bytes));
        }
        Uses { list }
    }
}

/// Whether a need's figures can be reckoned with; they come from another host.
fn sound(need: &Need) -> bool {
    let figures = [need.rate, need.request_bytes, need.answer_bytes];
    figures.iter().all(|n| n.is_finite() && *n >= 0.0)
}

/// Units for each want, by dominant-resource fairness over all resources.
fn divide(room: &BTreeMap<Resource, f64>, wants: &[Want]) -> Vec<f64> {
    let resources: Vec<&Resource> = room.keys().collect();
    let capacity: Vec<f64> = room.values().copied().collect();
    let demands: Vec<Demand> = wants
        .iter()
        .map(|want| Demand {
            uses: resources
                .iter()
                .map(|resource| want.unit(resource))
                .collect(),
            max_units: want.most,
        })
        .collect();
    dominant(&capacity, &demands)
}

impl Want {
    /// What a unit uses of a resource.
    fn unit(&self, resource: &Resource) -> f64 {
        match resource {
            Resource::Slots(service) if *service == self.key.1 => self.slots,
            Resource::Requests(region) if *region == self.region => self.request_bytes,
            Resource::Answers(region) if *region == self.region => self.answer_bytes,
            _ => 0.0,
        }
    }
}
