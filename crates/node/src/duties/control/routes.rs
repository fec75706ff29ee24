//! Chooses the host that owns each pool, and builds the routes to the pools.
//!
//! A pool is the targets of one service in one failure domain. Its owner is the only host that
//! counts the pool's slots and queues requests for it; other hosts forward requests to the owner.
//! Many hosts that each send to the target that looks least busy would overload it together: slots
//! are few (3 to 8 per target) and load reports lag. The owner is chosen by rendezvous hashing
//! among the hosts of the pool's domain, so all hosts agree without messages, and a host that joins
//! or leaves moves only the pools that it wins or loses. While hosts disagree, for about a
//! heartbeat, a request is forwarded one more time.

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

/// Assumed one-way delay between two hosts of a failure domain.
const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(100);
/// Assumed one-way delay between two regions without a link in the configuration.
const DEFAULT_LINK_DELAY: Duration = Duration::from_millis(100);

/// Returns the targets of each pool of a configuration.
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

/// Returns the host that owns a pool: a host of its domain, else a host of its region. If no host
/// was ever seen in that region, any host may own the pool. If the region's hosts became
/// unresponsive, the pool has no owner, since the requests that they still send to its targets are
/// unknown here.
pub(super) fn owner(
    config: &Config,
    id: &PoolId,
    members: &BTreeMap<Arc<str>, Arc<Member>>,
    seen: &BTreeSet<Arc<str>>,
) -> Option<Arc<Member>> {
    let region = config.domains.get(&id.domain).map(|domain| &domain.region);
    let key = format!("{}/{}", id.service, id.domain);
    let candidates = || members.values().filter(|member| !member.leaving);
    let choose = |filter: &dyn Fn(&Member) -> bool| {
        let names = candidates().filter(|member| !member.suspect && filter(member));
        let names: Vec<Arc<str>> = names.map(|member| Arc::clone(&member.name)).collect();
        rendezvous::choose(&key, names, 1).pop()
    };
    let name = choose(&|member| member.domain == id.domain)
        .or_else(|| choose(&|member| Some(&member.region) == region))
        .or_else(|| choose(&|_| region.is_none_or(|region| !seen.contains(region))))?;
    members.get(&name).cloned()
}

/// Inputs from which the routes are built.
pub(super) struct RouteInputs<'a> {
    pub config: &'a Config,
    /// This host.
    pub me: &'a Member,
    pub members: &'a BTreeMap<Arc<str>, Arc<Member>>,
    pub pools: &'a BTreeMap<Arc<PoolId>, Vec<(Arc<str>, Target)>>,
    /// Last reported load of each pool.
    pub loads: &'a BTreeMap<Arc<PoolId>, LoadReading>,
    /// Regions in which a host has been seen at any time.
    pub seen: &'a BTreeSet<Arc<str>>,
    /// Routes of the previous view, whose load readings are kept while they are the newest.
    pub before: &'a BTreeMap<Arc<PoolId>, Arc<PoolRoute>>,
}

impl RouteInputs<'_> {
    /// Returns the route of each pool.
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

    /// Returns the load assumed for a pool without a load report: all slots are free and nothing is
    /// queued. Its timestamp is this host's start, so any report replaces it.
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

    /// Returns each service with its pools by region.
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

    /// Returns the specifications of the pools that this host owns.
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
        // A configuration with an invalid address is rejected before it is applied.
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

/// Returns the one-way delay between two hosts according to the configuration.
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
