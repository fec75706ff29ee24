//! Picks the target of one attempt, from what the host believes and has seen.

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use dunlinrock_decide::{
    admit::direct::ColdStartLimits,
    steer::{
        affinity::{self, Candidate, Choice},
        hash::{hash_str, mix64, to_unit_f64},
    },
};

use http::{HeaderMap, Uri, header};

use super::{Front, access::Rights, targets::Lane};
use crate::{
    model::Route,
    replica::{KnownTarget, View},
};

/// Time after its start in which a host sends single requests to cold targets. Hosts that start
/// together know only of themselves at first, and each would take the whole rate for its own; in
/// this time their entries are in the store and back from it.
const FRESH_TIME: Duration = Duration::from_secs(3);

/// Why no target can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoPlace {
    /// None is known in the regions that may run it.
    Nobody,
    /// All that are left are cold and have had their share.
    Cold,
}

/// A picked target and what decided.
#[derive(Debug)]
pub(super) struct Place {
    pub(super) lane: Rc<Lane>,
    /// Region of the target.
    pub(super) region: Arc<str>,
    pub(super) rank: usize,
    pub(super) busy: u32,
    /// Number of the view that it was picked by.
    pub(super) number: u64,
}

/// Identifies an object on a route: a run on one route does not warm another.
pub(super) fn object(route: &Route, name: Option<&str>) -> u64 {
    match name {
        Some(name) => mix64(hash_str(name) ^ mix64(hash_str(&route.prefix))),
        None => rand::random(),
    }
}

/// The part of a route that an object belongs to. Objects keep their part while weights stay, and
/// a change of weights moves only the difference.
pub(super) fn part(route: &Route, object: u64) -> Option<&Arc<str>> {
    let total: f64 = route.parts.iter().map(|p| p.weight).sum();
    let mut point = to_unit_f64(mix64(object)) * total;
    for part in &route.parts {
        point -= part.weight;
        if point < 0.0 {
            return Some(&part.service);
        }
    }
    route.parts.last().map(|p| &p.service)
}

impl Front {
    /// Picks a target of a service for an object; targets in `tried` are left out.
    pub(super) fn place(
        &self,
        view: &View,
        rights: &Rights,
        service: &Arc<str>,
        object: u64,
        tried: &BTreeSet<Arc<str>>,
    ) -> Result<Place, NoPlace> {
        let route = &*rights.route;
        let now = self.shared.now();
        let all = view.services.get(service).map_or(&[][..], Vec::as_slice);
        let known: Vec<_> = all.iter().filter(|k| allows(rights, k, tried)).collect();
        let lanes: Vec<_> = known.iter().map(|k| self.lanes.get(&k.target)).collect();
        let mut candidates: Vec<_> = known
            .iter()
            .zip(&lanes)
            .map(|(known, lane)| self.candidate(route, known, lane, now))
            .collect();
        let mut held: Vec<usize> = Vec::new();
        let point = if route.sticky { object } else { rand::random() };
        while let Some(Choice { index, rank }) = pick(route, point, &candidates, &held) {
            let cold = known[index].cold_until > now;
            if cold && !self.admits_cold(view, service, &lanes[index], now) {
                held.push(index);
                candidates[index].healthy = false;
                continue;
            }
            let busy = candidates[index].busy;
            lanes[index].aside.borrow_mut().on_start(now);
            let lane = Rc::clone(&lanes[index]);
            return Ok(Place {
                lane,
                region: Arc::clone(&known[index].region),
                rank,
                busy,
                number: view.change,
            });
        }
        Err(if held.is_empty() {
            NoPlace::Nobody
        } else {
            NoPlace::Cold
        })
    }

    fn candidate(
        &self,
        route: &Route,
        known: &KnownTarget,
        lane: &Lane,
        now: Duration,
    ) -> Candidate {
        let way = self.ways.borrow().get(&known.region).copied();
        let way = way.unwrap_or_default().as_secs_f64();
        Candidate {
            rtt_ratio: way / route.objective.as_secs_f64().max(f64::MIN_POSITIVE),
            name_hash: lane.seed,
            slots: known.target.slots,
            is_local: known.region == self.shared.settings.region,
            busy: lane.busy(now),
            healthy: lane.aside.borrow().is_usable(now),
        }
    }

    fn admits_cold(&self, view: &View, service: &Arc<str>, lane: &Lane, now: Duration) -> bool {
        let rate = view
            .config
            .as_ref()
            .and_then(|c| c.services.get(service))
            .map(|s| s.rate);
        let rules = ColdStartLimits {
            rate: rate.unwrap_or_default(),
            ..self.shared.reloadable.load().cold
        };
        let part = rules.host_rate(self.seed, &view.sharer_hashes, lane.seed);
        let part = if now < FRESH_TIME { part.min(1) } else { part };
        lane.cold.borrow_mut().try_admit(part, now)
    }
}

/// Chooses among the candidates that are not held back.
fn pick(route: &Route, point: u64, candidates: &[Candidate], held: &[usize]) -> Option<Choice> {
    let rules = affinity::AffinityConfig::default();
    let choice = match route.sticky {
        true => affinity::choose_affine(point, candidates, &rules)?,
        false => affinity::choose_least_loaded(point, candidates, &rules)?,
    };
    // With no sound one left the choice may fall on one that is held back.
    (!held.contains(&choice.index)).then_some(choice)
}

fn allows(rights: &Rights, known: &KnownTarget, tried: &BTreeSet<Arc<str>>) -> bool {
    rights.allows(&known.region) && !tried.contains(&known.target.id)
}

/// The route of a request.
pub(super) fn route<'a>(view: &'a View, headers: &HeaderMap, uri: &Uri) -> Option<&'a Arc<Route>> {
    let host = headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or_else(|| uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    view.routes.find(name, uri.path())
}
