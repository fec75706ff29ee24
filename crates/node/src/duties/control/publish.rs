//! Makes the view that the other duties read.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_decide::admit::QuarantineUpdate;
use dunlinrock_schema::config::Target;

use super::{active_config::ActiveConfig, routes, steering::Steering};
use crate::{
    duties::pools::{self, PoolId, PoolReport},
    shared::Shared,
    view::{LoadReading, LookupAnswers, Member, View},
};

/// What a view is made from.
pub(super) struct ViewInputs<'a> {
    pub active: &'a ActiveConfig,
    pub members: &'a BTreeMap<Arc<str>, Arc<Member>>,
    pub steering: &'a Steering,
    pub reports: &'a [PoolReport],
    pub quarantines: Vec<QuarantineUpdate>,
    pub ready: bool,
    /// Whether this host may take work up; see the membership.
    pub caught_up: bool,
    pub leaving: bool,
    pub now: Duration,
}

/// Publishes views, and keeps what one shares with the next.
pub(super) struct Publisher {
    number: u64,
    revision: u64,
    pools: BTreeMap<Arc<PoolId>, Vec<(Arc<str>, Target)>>,
    answers: Arc<LookupAnswers>,
    /// What the answers were made from.
    answer_inputs: (u64, Vec<Member>),
    /// What the pools duty was last told: revision and pools.
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
        // A host that was paused may own nothing any more: it gives up what it has, and takes pools
        // up again when it knows who else is there.
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

    /// Composes the answers to look-ups again where what they were made from has changed.
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

/// Loads of the pools owned here; those of others come with their answers.
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
