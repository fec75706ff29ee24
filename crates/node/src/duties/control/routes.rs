//! Makes the routes of a view: who owns which pool.
//!
//! One host counts the slots of a pool and queues for it, because many hosts that each send to the
//! target that looks least busy overrun it together: slots are few (3 to 8 a target) and reports
//! lag. The owner is chosen by rendezvous hash among the hosts of the pool's domain, so that all
//! hosts agree without a word, and a host that comes or goes moves only the pools that it wins or
//! loses. While they disagree, for about a heartbeat, a request is handed on once more.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dunlinrock_config::goal::{is_drained, link};
use dunlinrock_coord::rendezvous;
use dunlinrock_decide::admit::{Load, PoolConfig, QuarantineUpdate, TargetSpec};
use dunlinrock_schema::config::{Config, Service, Target};

use crate::{
    duties::pools::{PoolId, PoolSpec},
    view::{LoadReading, Member, PoolRoute, RouteParts, ServiceRoute},
};

/// Delay within a failure domain.
const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(100);
/// Delay assumed where the configuration has no link between two regions.
const DEFAULT_LINK_DELAY: Duration = Duration::from_millis(100);

/// Targets of each pool of a configuration.
pub(super) fn pools(config: &Config) -> BTreeMap<Arc<PoolId>, Vec<(Arc<str>, Target)>> {
    let mut pools: BTreeMap<Arc<PoolId>, Vec<(Arc<str>, Target)>> = BTreeMap::new();
    for (name, target) in &config.targets {
        let id = PoolId {
            service: Arc::clone(&target.service),
            domain: Arc::clone(&target.domain),
        };
        pools
            .entry(Arc::new(id))
            .or_default()
            .push((Arc::clone(name), target.clone()));
    }
    pools
}

/// The host that owns a pool: one of its domain, else one of its region. Any host where no host was
/// ever seen in that region; where the region's hosts fell silent nobody owns its pools, since what
/// they still send to its targets cannot be known from here.
pub(super) fn owner(
    config: &Config,
    id: &PoolId,
    members: &BTreeMap<Arc<str>, Arc<Member>>,
    seen: &BTreeSet<Arc<str>>,
) -> Option<Arc<Member>> {
    let region = config.domains.get(&id.domain).map(|domain| &domain.region);
    let key = format!("{}/{}", id.service, id.domain);
    let candidates = || members.values().filter(|member| !member.leaving);
    let choose = |test: &dyn Fn(&Member) -> bool| {
        let names = candidates().filter(|member| !member.suspect && test(member));
        let names: Vec<Arc<str>> = names.map(|member| Arc::clone(&member.name)).collect();
        rendezvous::choose(&key, names, 1).pop()
    };
    let name = choose(&|member| member.domain == id.domain)
        .or_else(|| choose(&|member| Some(&member.region) == region))
        .or_else(|| choose(&|_| region.is_none_or(|region| !seen.contains(region))))?;
    members.get(&name).cloned()
}

/// What the routes are made from.
pub(super) struct RouteInputs<'a> {
    pub config: &'a Config,
    pub me: &'a Member,
    pub members: &'a BTreeMap<Arc<str>, Arc<Member>>,
    pub pools: &'a BTreeMap<Arc<PoolId>, Vec<(Arc<str>, Target)>>,
    pub loads: &'a BTreeMap<Arc<PoolId>, LoadReading>,
    /// Regions that hosts were seen in.
    pub seen: &'a BTreeSet<Arc<str>>,
    pub before: &'a BTreeMap<Arc<PoolId>, Arc<PoolRoute>>,
}

impl RouteInputs<'_> {
    /// The route to each pool.
    pub(super) fn routes(&self) -> BTreeMap<Arc<PoolId>, Arc<PoolRoute>> {
        let routes = self.pools.iter();
        routes
            .map(|(id, targets)| (Arc::clone(id), Arc::new(self.route(id, targets))))
            .collect()
    }

    fn route(&self, id: &Arc<PoolId>, targets: &[(Arc<str>, Target)]) -> PoolRoute {
        let owner = owner(self.config, id, self.members, self.seen);
        let delay = owner.as_ref().map_or(DEFAULT_LINK_DELAY, |owner| {
            delay(self.config, self.me, owner)
        });
        let parts = RouteParts {
            id: Arc::clone(id),
            owner,
            targets: addresses(targets),
            delay,
        };
        let before = self.before.get(id).map(AsRef::as_ref);
        let reading = self
            .loads
            .get(id)
            .copied()
            .unwrap_or_else(|| self.assumed_load(targets));
        PoolRoute::open(parts, reading, before)
    }

    /// What is assumed of a pool of which nothing was heard: its slots, and no load. It counts as
    /// heard when this host began, so that any word replaces it.
    fn assumed_load(&self, targets: &[(Arc<str>, Target)]) -> LoadReading {
        let usable = targets
            .iter()
            .filter(|(name, target)| !is_drained(self.config, name, target));
        let slots = usable.map(|(_, target)| target.slots.get()).sum::<u64>();
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        LoadReading {
            load: Load {
                slots,
                ..Load::default()
            },
            at: Duration::ZERO,
        }
    }

    /// Every service with its pools by region.
    pub(super) fn services(
        &self,
        routes: &BTreeMap<Arc<PoolId>, Arc<PoolRoute>>,
    ) -> BTreeMap<Arc<str>, Arc<ServiceRoute>> {
        let mut services = BTreeMap::new();
        for (name, rules) in &self.config.services {
            let mut regions: BTreeMap<Arc<str>, Vec<Arc<PoolRoute>>> = BTreeMap::new();
            for route in routes.values().filter(|route| route.id.service == *name) {
                let Some(domain) = self.config.domains.get(&route.id.domain) else {
                    continue;
                };
                regions
                    .entry(Arc::clone(&domain.region))
                    .or_default()
                    .push(Arc::clone(route));
            }
            let rules = Arc::new(rules.clone());
            services.insert(Arc::clone(name), Arc::new(ServiceRoute { rules, regions }));
        }
        services
    }

    /// The pools that this host owns.
    pub(super) fn specs(
        &self,
        routes: &BTreeMap<Arc<PoolId>, Arc<PoolRoute>>,
        quarantines: &[QuarantineUpdate],
    ) -> Vec<PoolSpec> {
        let mut specs = Vec::new();
        for (id, targets) in self.pools {
            let owner = routes.get(id).and_then(|route| route.owner.as_ref());
            let Some(rules) = self.config.services.get(&id.service) else {
                continue;
            };
            if owner.is_some_and(|owner| owner.incarnation == self.me.incarnation) {
                specs.push(PoolSpec {
                    id: Arc::clone(id),
                    rules: pool_rules(rules),
                    targets: targets
                        .iter()
                        .map(|t| target_spec(self.config, t))
                        .collect(),
                    quarantines: quarantines.to_vec(),
                });
            }
        }
        specs
    }
}

fn addresses(targets: &[(Arc<str>, Target)]) -> BTreeMap<Arc<str>, SocketAddr> {
    let parsed = targets.iter().filter_map(|(name, target)| {
        // The configuration's checks refuse other addresses before an apply.
        Some((Arc::clone(name), target.address.parse().ok()?))
    });
    parsed.collect()
}

fn target_spec(config: &Config, (name, target): &(Arc<str>, Target)) -> TargetSpec {
    TargetSpec {
        name: Arc::clone(name),
        slots: u32::try_from(target.slots.get()).unwrap_or(u32::MAX),
        leaving: is_drained(config, name, target),
        cold: false,
    }
}

fn pool_rules(service: &Service) -> PoolConfig {
    PoolConfig {
        max_queued: usize::try_from(service.queue).unwrap_or(usize::MAX),
        max_wait: Duration::from_millis(service.queue_ms),
        short_max: Duration::from_millis(service.short_ms),
        short_share: service.short_slots,
        ..PoolConfig::default()
    }
}

/// One-way delay between two hosts, by the configuration.
fn delay(config: &Config, me: &Member, other: &Member) -> Duration {
    if me.name == other.name {
        return Duration::ZERO;
    }
    if me.domain == other.domain {
        return SAME_DOMAIN_DELAY;
    }
    if me.region == other.region {
        let domain = config.domains.get(&other.domain);
        return domain.map_or(SAME_DOMAIN_DELAY, |domain| {
            Duration::from_micros(domain.delay_us)
        });
    }
    link(config, &me.region, &other.region).map_or(DEFAULT_LINK_DELAY, |link| {
        Duration::from_micros(link.delay_us)
    })
}
