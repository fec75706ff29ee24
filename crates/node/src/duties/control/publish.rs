//! Builds the view that the other workers read.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_decide::admit::QuarantineUpdate;
use dunlinrock_schema::config::Target;

use super::{active_config::ActiveConfig, routes, steering::Steering};
use crate::{
    duties::pools::{self, PoolId, PoolReport},
    shared::Shared,
    view::{LoadReading, LookupAnswers, Member, View},
};

/// Values that a view is built from.
pub(super) struct ViewInputs<'a> {
    pub active: &'a ActiveConfig,
    pub members: &'a BTreeMap<Arc<str>, Arc<Member>>,
    pub steering: &'a Steering,
    pub reports: &'a [PoolReport],
    pub quarantines: Vec<QuarantineUpdate>,
    pub ready: bool,
    /// Whether this host may take pools over; see the membership.
    pub caught_up: bool,
    pub leaving: bool,
    pub now: Duration,
}

/// Publishes views, and keeps the values that consecutive views share.
pub(super) struct Publisher {
    number: u64,
    revision: u64,
    pools: BTreeMap<Arc<PoolId>, Vec<(Arc<str>, Target)>>,
    answers: Arc<LookupAnswers>,
    /// Inputs of the current answers: revision and members.
    answer_inputs: (u64, Vec<Member>),
    /// Last specifications sent to the pools worker: revision and pools.
    last_specs: (u64, Vec<Arc<PoolId>>),
}

impl Publisher {
    pub(super) fn open() -> Publisher {
        Publisher {
            number: 0,
            revision: 0,
            pools: BTreeMap::new(),
            answers: Arc::default(),
            answer_inputs: (0, Vec::new()),
            last_specs: (0, Vec::new()),
        }
    }

    pub(super) fn publish(&mut self, shared: &Shared, parts: ViewInputs<'_>) {
        if parts.active.revision != self.revision {
            self.revision = parts.active.revision;
            self.pools = routes::pools(&parts.active.config);
        }
        self.refresh_answers(shared, &parts);
        let before = shared.view.load_full();
        let loads = own_loads(parts.reports, parts.now);
        let inputs = routes::RouteInputs {
            config: &parts.active.config,
            me: &shared.me,
            members: parts.members,
            seen: parts.steering.seen_regions(),
            pools: &self.pools,
            loads: &loads,
            before: &before.pools,
        };
        let routes = inputs.routes();
        let services = inputs.services(&routes);
        // A host whose process was paused may own no pools any more: it releases the ones it has,
        // and takes pools over again when it knows the current members.
        let specs = match parts.caught_up && !parts.leaving {
            true => inputs.specs(&routes, &parts.quarantines),
            false => Vec::new(),
        };
        let current = (
            self.revision,
            specs.iter().map(|spec| Arc::clone(&spec.id)).collect(),
        );
        if current != self.last_specs {
            self.last_specs = current;
            shared.pools.send_retrying(pools::Input::SetPools(specs));
        }
        self.number += 1;
        let members = parts.members;
        shared.view.store(Arc::new(View {
            number: self.number,
            revision: self.revision,
            config: Arc::clone(&parts.active.config),
            ready: parts.ready,
            leaving: parts.leaving,
            members: members.clone(),
            incarnations: members
                .values()
                .map(|m| (m.incarnation, Arc::clone(m)))
                .collect(),
            pools: routes,
            services,
            answers: Arc::clone(&self.answers),
            shares: Arc::new(parts.steering.shares().clone()),
            blocks: Arc::clone(&parts.active.blocks),
            quarantines: Arc::new(parts.quarantines),
        }));
        shared.published.send_replace(self.number);
    }

    /// Recomposes the answers to lookups if their inputs have changed.
    fn refresh_answers(&mut self, shared: &Shared, parts: &ViewInputs<'_>) {
        let all: Vec<Member> = parts.members.values().map(|m| Member::clone(m)).collect();
        let from = (self.revision, all);
        if from != self.answer_inputs {
            let ttl = shared.timing.answer_ttl_ms;
            let config = &parts.active.config;
            self.answers = Arc::new(LookupAnswers::open(
                config,
                self.revision,
                ttl,
                parts.members,
            ));
            self.answer_inputs = from;
        }
    }
}

/// Returns the loads of the pools that this host owns; those of other pools arrive with responses.
fn own_loads(reports: &[PoolReport], now: Duration) -> BTreeMap<Arc<PoolId>, LoadReading> {
    let own = reports.iter().filter(|report| !report.released);
    own.map(|report| {
        (
            Arc::clone(&report.id),
            LoadReading {
                load: report.load,
                at: now,
            },
        )
    })
    .collect()
}
