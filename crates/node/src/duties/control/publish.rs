//! Makes the view that the other duties read.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_decide::admit::QuarantineUpdate;
use dunlinrock_schema::config::Target;

use super::{active_config::InForce, routes, steering::Steering};
use crate::{
    duties::pools::{self, PoolId, PoolReport},
    shared::Shared,
    view::{Answers, Heard, Member, View},
};

/// What a view is made from.
pub(super) struct Parts<'a> {
    pub in_force: &'a InForce,
    pub members: &'a BTreeMap<Arc<str>, Arc<Member>>,
    pub steering: &'a Steering,
    pub reports: &'a [PoolReport],
    pub words: Vec<QuarantineUpdate>,
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
    answers: Arc<Answers>,
    /// What the answers were made from.
    answered: (u64, Vec<Member>),
    /// What the pools duty was last told: revision and pools.
    owned: (u64, Vec<Arc<PoolId>>),
}

impl Publisher {
    pub(super) fn open() -> Publisher {
        Publisher {
            number: 0,
            revision: 0,
            pools: BTreeMap::new(),
            answers: Arc::default(),
            answered: (0, Vec::new()),
            owned: (0, Vec::new()),
        }
    }

    pub(super) fn publish(&mut self, shared: &Shared, parts: Parts<'_>) {
        if parts.in_force.revision != self.revision {
            self.revision = parts.in_force.revision;
            self.pools = routes::pools(&parts.in_force.config);
        }
        self.answer(shared, &parts);
        let before = shared.view.load_full();
        let heard = heard(parts.reports, parts.now);
        let makers = routes::Parts {
            config: &parts.in_force.config,
            me: &shared.me,
            members: parts.members,
            seen: parts.steering.seen(),
            pools: &self.pools,
            heard: &heard,
            before: &before.pools,
        };
        let routes = makers.routes();
        let services = makers.services(&routes);
        // A host that was paused may own nothing any more: it gives up what it has, and takes pools
        // up again when it knows who else is there.
        let plans = match parts.caught_up && !parts.leaving {
            true => makers.plans(&routes, &parts.words),
            false => Vec::new(),
        };
        let owned = (
            self.revision,
            plans.iter().map(|plan| Arc::clone(&plan.id)).collect(),
        );
        if owned != self.owned {
            self.owned = owned;
            shared.pools.deliver(pools::Input::Own(plans));
        }
        self.number += 1;
        let members = parts.members;
        shared.view.store(Arc::new(View {
            number: self.number,
            revision: self.revision,
            config: Arc::clone(&parts.in_force.config),
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
            blocks: Arc::clone(&parts.in_force.blocks),
            words: Arc::new(parts.words),
        }));
        shared.published.send_replace(self.number);
    }

    /// Composes the answers to look-ups again where what they were made from has changed.
    fn answer(&mut self, shared: &Shared, parts: &Parts<'_>) {
        let all: Vec<Member> = parts.members.values().map(|m| Member::clone(m)).collect();
        let from = (self.revision, all);
        if from != self.answered {
            let ttl = shared.timing.answer_ttl_ms;
            let config = &parts.in_force.config;
            self.answers = Arc::new(Answers::open(config, self.revision, ttl, parts.members));
            self.answered = from;
        }
    }
}

/// Loads of the pools owned here; those of others come with their answers.
fn heard(reports: &[PoolReport], now: Duration) -> BTreeMap<Arc<PoolId>, Heard> {
    let own = reports.iter().filter(|report| !report.released);
    own.map(|report| {
        (
            Arc::clone(&report.id),
            Heard {
                load: report.load,
                at: now,
            },
        )
    })
    .collect()
}
