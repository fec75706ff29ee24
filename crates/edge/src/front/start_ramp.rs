//! Holds back part of the requests for targets that have just started or recovered.

use std::{rc::Rc, time::Duration};

use dunlinrock_decide::{
    admit::direct::{
        BegunRamp, Evidence, ListedTarget, StartEvidence, StartResult, least_chance, place,
    },
    steer::{
        affinity::{AffinityConfig, Candidate},
        hash::{mix64, to_unit_f64},
    },
};

use super::{Front, request_log::Kind, select::Criteria, targets::TargetHandle};
use crate::{
    model::{ReportedLoad, Revision},
    notices::process,
    replica::View,
};

impl Front {
    /// Brings the ramps up to date with a view.
    pub(super) fn sync_start_paces(&self, view: &View) {
        let now = self.shared.now();
        let mut paces = self.start_paces.borrow_mut();
        let Some(length) = self.shared.reloadable.load().start_ramp else {
            paces.clear();
            return;
        };
        let ended = match paces.is_idle() {
            true => Vec::new(),
            false => paces.take_ended(now),
        };
        let mut begun = Vec::new();
        if self.paced_change.replace(view.change) != view.change {
            let is_complete = view.revision > Revision::NONE;
            begun = paces.observe(listed(view), length, is_complete, now);
        }
        drop(paces);
        begun.iter().for_each(|ramp| self.log_ramp_begun(ramp));
        ended
            .iter()
            .for_each(|(id, time)| self.log_ramp_ended(id, *time));
    }

    /// Marks the targets in their ramps that get no request for this object now as unhealthy, and
    /// returns their indices.
    pub(super) fn hold_starting(
        &self,
        view: &View,
        criteria: &Criteria<'_>,
        object: u64,
        (handles, candidates): (&[Rc<TargetHandle>], &mut [Candidate]),
    ) -> Vec<usize> {
        let paces = self.start_paces.borrow();
        if paces.is_idle() {
            return Vec::new();
        }
        let ramps: Vec<_> = handles.iter().map(|h| paces.get(&h.target.id)).collect();
        let weight = |(_, candidate): &(_, &Candidate)| weight(candidate);
        let all = ramps.iter().zip(&*candidates);
        let ramping = all.clone().filter(|(ramp, _)| ramp.is_some());
        let ramping = ramping.map(|ramp| weight(&ramp)).sum();
        let load = paces.usual_load(criteria.service);
        let least = least_chance(ramping, all.map(|one| weight(&one)).sum(), load);
        let limits = self.cold_limits(view, criteria.service);
        let senders = limits.senders(view.sharer_count());
        let (now, draw) = (self.shared.now(), rand::random::<u64>());
        let mut held = Vec::new();
        for (index, candidate) in candidates.iter_mut().enumerate() {
            let Some(ramp) = ramps[index].filter(|_| candidate.healthy) else {
                continue;
            };
            let target = handles[index].id_hash;
            let chance = ramp.chance(place(object, target), senders, now);
            if to_unit_f64(mix64(draw ^ target)) >= chance.max(least) {
                candidate.healthy = false;
                held.push(index);
            }
        }
        held
    }

    /// Records the load that a target reports.
    pub(super) fn record_start_load(&self, handle: &TargetHandle, load: ReportedLoad) {
        let slots = f64::from(handle.target.slots.max(1));
        let evidence = StartEvidence {
            load: Some(f64::from(load.running + load.waiting) / slots),
            ..StartEvidence::default()
        };
        self.record_start(handle, evidence);
    }

    /// Records the result of an exchange with a target. A failure says nothing about the target if
    /// failures are common among those of its service.
    pub(super) fn record_start_result(
        &self,
        handle: &TargetHandle,
        evidence: Evidence,
        is_common: bool,
    ) {
        let result = match evidence {
            Evidence::Good => Some(StartResult::Good),
            Evidence::Bad | Evidence::Down => (!is_common).then_some(StartResult::Bad),
        };
        let evidence = StartEvidence { result, load: None };
        self.record_start(handle, evidence);
    }

    /// Records that a target is ejected or asks for a pause.
    pub(super) fn record_start_failure(&self, id: &str) {
        self.start_paces.borrow_mut().fail(id, self.shared.now());
    }

    /// Begins the ramp of a target that gets requests again from `begin` on.
    pub(super) fn ramp_recovered(&self, id: &str, begin: Duration) {
        let Some(length) = self.shared.reloadable.load().start_ramp else {
            return;
        };
        let begun = self.start_paces.borrow_mut().recover(id, begin, length);
        begun.iter().for_each(|ramp| self.log_ramp_begun(ramp));
    }

    fn record_start(&self, handle: &TargetHandle, evidence: StartEvidence) {
        let (target, now) = (&handle.target, self.shared.now());
        let mut paces = self.start_paces.borrow_mut();
        let Some(part) = paces.record(&target.service, &target.id, evidence, now) else {
            return;
        };
        self.shared.meters.count("start_falls");
        if self.may_log(Kind::Failure) {
            log::info!(
                target: "belief", event = "start_fall", to = &*target.id, part = part;
                "a target in its start ramp answers badly"
            );
        }
    }

    fn log_ramp_begun(&self, ramp: &BegunRamp) {
        self.shared.meters.count("start_ramps");
        if self.may_log(Kind::Failure) {
            log::info!(
                target: "belief", event = "start_ramp", to = &*ramp.id, start:? = ramp.start,
                setbacks = ramp.setbacks; "a target gets its requests step by step"
            );
        }
    }

    fn log_ramp_ended(&self, id: &str, time: Duration) {
        self.shared.meters.count("start_ramps_ended");
        if self.may_log(Kind::Failure) {
            log::info!(
                target: "belief", event = "start_ramp_end", to = id,
                time_ms = time.as_millis() as u64; "a target gets all its requests"
            );
        }
    }
}

/// Returns the targets of a view.
fn listed(view: &View) -> impl Iterator<Item = ListedTarget> {
    let services = view.config.as_ref().map(|config| &config.services);
    view.services.iter().flat_map(move |(name, all)| {
        let service = services.and_then(|services| services.get(name));
        let starts_cold = service.is_some_and(|service| !service.cold.is_zero());
        all.iter().map(move |known| ListedTarget {
            process: process(&known.target),
            cold_until: known.cold_until,
            starts_cold,
        })
    })
}

/// Returns what a target counts in this host's choices.
fn weight(candidate: &Candidate) -> f64 {
    let local = match candidate.is_local {
        true => AffinityConfig::default().local_weight,
        false => 1.0,
    };
    f64::from(candidate.slots) * local
}
