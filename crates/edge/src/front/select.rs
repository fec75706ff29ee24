//! Selects the target of one attempt, from the current view and from what this host itself has
//! measured (load, round-trip times, failures).

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use dunlinrock_decide::{
    admit::direct::{Admission, ColdStartLimits, RateHosts},
    steer::{
        affinity::{self, Candidate, Choice},
        hash::{hash_str, mix64, to_unit_f64},
    },
};

use http::{HeaderMap, Uri, header};

use super::{
    Front, access::Access, no_target::NoTarget, request::MIN_BACKOFF, targets::TargetHandle,
};
use crate::{
    model::Route,
    replica::{KnownTarget, View},
};

/// A selected target, and the inputs of the decision.
#[derive(Debug)]
pub(super) struct SelectedTarget {
    pub(super) handle: Rc<TargetHandle>,
    /// Region of the target.
    pub(super) region: Arc<str>,
    /// Place of the target in the affinity ranking; 0 is the preferred target.
    pub(super) rank: usize,
    /// Estimated number of requests that the target ran or queued when it was selected.
    pub(super) busy: u32,
    /// Time that work took there, as a multiple of the usual, when it was selected.
    pub(super) pace: f64,
    /// Whether the target started recently or had no requests for a while.
    pub(super) is_cold: bool,
    /// Number of the last change in the view that the selection used.
    pub(super) change: u64,
}

impl SelectedTarget {
    /// Returns the same selection once more.
    pub(super) fn again(&self) -> SelectedTarget {
        SelectedTarget {
            handle: Rc::clone(&self.handle),
            region: Arc::clone(&self.region),
            ..*self
        }
    }
}

/// What a target is selected for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Criteria<'a> {
    pub(super) service: &'a Arc<str>,
    pub(super) affinity_hash: u64,
    /// Drawn uniformly in 0 to 1, once for each request.
    pub(super) draw: f64,
    /// Region whose targets are preferred.
    pub(super) region: &'a Arc<str>,
    /// Targets that are left out.
    pub(super) excluded: &'a BTreeSet<Arc<str>>,
}

/// Hashes an affinity key together with its route, since a request on one route does not warm a
/// target for another. Without a key, the hash is random.
pub(super) fn affinity_hash(route: &Route, key: Option<&str>) -> u64 {
    match key {
        Some(key) => mix64(hash_str(key) ^ mix64(hash_str(&route.prefix))),
        None => rand::random(),
    }
}

/// Picks the service of a route for an affinity hash, in proportion to the services' weights. A key
/// keeps its service while the weights are unchanged; a change of weights moves only as many keys
/// as the weights differ by.
pub(super) fn pick_service(route: &Route, affinity_hash: u64) -> Option<&Arc<str>> {
    let total: f64 = route.parts.iter().map(|p| p.weight).sum();
    let mut offset = to_unit_f64(mix64(affinity_hash)) * total;
    for part in &route.parts {
        offset -= part.weight;
        if offset < 0.0 {
            return Some(&part.service);
        }
    }
    route.parts.last().map(|p| &p.service)
}

impl Front {
    /// Selects a target.
    pub(super) fn select_target(
        &self,
        view: &View,
        access: &Access,
        criteria: &Criteria<'_>,
    ) -> Result<SelectedTarget, NoTarget> {
        let route = &*access.route;
        let Criteria {
            service,
            affinity_hash,
            draw,
            region,
            excluded,
        } = *criteria;
        let now = self.shared.now();
        let all = view.services.get(service).map_or(&[][..], Vec::as_slice);
        let known = all.iter().filter(|k| allows(access, k, excluded));
        let known = known.map(|known| (known, self.targets.get(&known.target)));
        let (known, handles): (Vec<_>, Vec<_>) = known
            .filter(|(_, handle)| self.admission(handle) == Admission::Open)
            .unzip();
        if known.is_empty()
            && let Some(closed) = self.all_closed(view, access, service)
        {
            return Err(closed);
        }
        let mut candidates: Vec<_> = known
            .iter()
            .zip(&handles)
            .map(|(known, handle)| self.candidate(route, known, handle, region, now))
            .collect();
        let (mut rate_limited, mut is_limited) = (Vec::<usize>::new(), false);
        let hash = if route.sticky {
            affinity_hash
        } else {
            rand::random()
        };
        let paces: Vec<_> = handles.iter().map(|handle| handle.pace(now)).collect();
        let has_homes = route.sticky && handles.iter().any(|handle| handle.reports_pace());
        let pick = |candidates: &[Candidate], rate_limited: &[usize]| match has_homes {
            true => self
                .pick_home(route, (hash, draw), candidates, &paces)
                .filter(|choice| !rate_limited.contains(&choice.index)),
            false => pick(route, hash, candidates, rate_limited),
        };
        let mut held = self.hold_starting(view, criteria, hash, (&handles, &mut candidates));
        loop {
            let choice = pick(&candidates, &rate_limited);
            if !held.is_empty() && lacks_room(choice, &candidates) {
                self.shared.meters.count("start_gave_way");
                held.drain(..).for_each(|i| candidates[i].healthy = true);
                continue;
            }
            let Some(Choice { index, rank }) = choice else {
                break;
            };
            if !self.admits_rate(view, &handles[index], now) {
                is_limited = true;
                rate_limited.push(index);
                candidates[index].healthy = false;
                continue;
            }
            let cold = known[index].cold_until > now;
            if cold && !self.admits_cold(view, service, &handles[index], now) {
                handles[index].rate.borrow_mut().cancel();
                rate_limited.push(index);
                candidates[index].healthy = false;
                continue;
            }
            let busy = candidates[index].busy;
            handles[index].ejection.borrow_mut().on_start(now);
            let handle = Rc::clone(&handles[index]);
            return Ok(SelectedTarget {
                handle,
                region: Arc::clone(&known[index].region),
                rank,
                busy,
                pace: paces[index],
                is_cold: cold,
                change: view.change,
            });
        }
        Err(match (is_limited, rate_limited.is_empty()) {
            (true, _) => NoTarget::Limited,
            (false, true) => NoTarget::Absent,
            (false, false) => NoTarget::Cold,
        })
    }

    /// Returns why none of the targets that may run a request takes it now, going by what they have
    /// said; `None` if one does, or if there are none.
    fn all_closed(&self, view: &View, access: &Access, service: &Arc<str>) -> Option<NoTarget> {
        let all = view.services.get(service).into_iter().flatten();
        let allowed = all.filter(|known| access.allows(&known.region));
        let closed = allowed.map(|k| NoTarget::of(self.admission(&self.targets.get(&k.target))));
        let closed: Option<Vec<_>> = closed.collect();
        // One that is leaving takes none later either.
        let when = |closed: &NoTarget| (*closed == NoTarget::Leaving, closed.retry_after());
        closed?.into_iter().min_by_key(when)
    }

    /// Returns when a caller whose request got no answer should come back: at once, unless no target
    /// takes requests.
    pub(super) fn retry_after(&self, access: &Access, service: &Arc<str>) -> Duration {
        let closed = self.all_closed(&self.shared.view.load(), access, service);
        closed.map_or(MIN_BACKOFF, |closed| closed.retry_after())
    }

    fn candidate(
        &self,
        route: &Route,
        known: &KnownTarget,
        handle: &TargetHandle,
        region: &Arc<str>,
        now: Duration,
    ) -> Candidate {
        let rtt = self.region_rtts.borrow().get(&known.region).copied();
        let rtt = rtt.unwrap_or_default().as_secs_f64();
        Candidate {
            rtt_ratio: rtt / route.objective.as_secs_f64().max(f64::MIN_POSITIVE),
            name_hash: handle.id_hash,
            slots: known.target.slots,
            is_local: known.region == *region,
            busy: handle.busy(now),
            healthy: handle.ejection.borrow().is_usable(now),
        }
    }

    /// Whether the rate that a target names for all hosts allows one more request of this host now.
    fn admits_rate(&self, view: &View, handle: &TargetHandle, now: Duration) -> bool {
        if handle.rate.borrow().rate().is_none() {
            return true;
        }
        let hosts = RateHosts {
            me: self.name_hash,
            all: &view.sharer_hashes,
            target: handle.id_hash,
            is_partial: self.shared.host_share().since.is_none(),
        };
        let is_admitted = handle.rate.borrow_mut().try_admit(&hosts, now);
        if !is_admitted {
            self.shared.meters.count("rate_passed_over");
        }
        is_admitted
    }

    /// Returns the limits on requests to a cold target of a service.
    pub(super) fn cold_limits(&self, view: &View, service: &Arc<str>) -> ColdStartLimits {
        let services = view.config.as_ref().map(|c| &c.services);
        let service = services.and_then(|services| services.get(service));
        ColdStartLimits {
            rate: service.map(|s| s.rate).unwrap_or_default(),
            ..self.shared.reloadable.load().cold
        }
    }

    /// Whether this host's share of a cold target's rate allows one more request now.
    fn admits_cold(
        &self,
        view: &View,
        service: &Arc<str>,
        handle: &TargetHandle,
        now: Duration,
    ) -> bool {
        let limits = self.cold_limits(view, service);
        let host_rate = limits.host_rate(self.name_hash, &view.sharer_hashes, handle.id_hash);
        // Without a usable share, this host may not know the others: one request may be too many
        // already, but a cold target that gets none from anybody never becomes warm.
        let host_rate = match self.shared.host_share().since {
            Some(_) => host_rate,
            None => host_rate.min(1),
        };
        handle.cold_limiter.borrow_mut().try_admit(host_rate, now)
    }
}

/// Chooses among the candidates that are not rate limited.
fn pick(
    route: &Route,
    hash: u64,
    candidates: &[Candidate],
    rate_limited: &[usize],
) -> Option<Choice> {
    let config = affinity::AffinityConfig::default();
    let choice = match route.sticky {
        true => affinity::choose_affine(hash, candidates, &config)?,
        false => affinity::choose_least_loaded(hash, candidates, &config)?,
    };
    // If no healthy candidate is left, the choice may fall on a rate-limited one.
    (!rate_limited.contains(&choice.index)).then_some(choice)
}

/// Whether a choice has no free slot.
fn lacks_room(choice: Option<Choice>, candidates: &[Candidate]) -> bool {
    let candidate = choice.map(|choice| &candidates[choice.index]);
    candidate.is_none_or(|c| !c.healthy || c.busy >= c.slots)
}

fn allows(access: &Access, known: &KnownTarget, excluded: &BTreeSet<Arc<str>>) -> bool {
    access.allows(&known.region) && !excluded.contains(&known.target.id)
}

/// Returns the route that matches the request's host name and path.
pub(super) fn find_route<'a>(
    view: &'a View,
    headers: &HeaderMap,
    uri: &Uri,
) -> Option<&'a Arc<Route>> {
    let host = headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or_else(|| uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    view.routes.find(name, uri.path())
}
