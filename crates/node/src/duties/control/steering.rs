//! Traffic shares and headroom grants, exchanged with other hosts.
//!
//! Every second or two a host requests the shares of a few others, so that it neither starts from
//! the desired split while traffic already flows otherwise, nor shifts faster than the slowest
//! host. It also requests grants from some hosts of each region that it sends requests to. Both are
//! contained in one message and its response.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dunlinrock_coord::rendezvous;
use dunlinrock_decide::steer::{
    DesiredSplits, Grant, Grantee, Grantor, LinkCapacity, LocalUsage, Need, PeerSplit, SplitTable,
    TrafficSplit,
    spill::{self, Traffic, TrafficTable},
};
use dunlinrock_schema::{
    config::Config,
    peer::{Lent, Need as PeerNeed, SteerAsk, SteerGive},
};

use crate::{
    duties::pools::PoolReport,
    traffic::{TrafficMeter, TrafficTotals},
    view::Member,
};

/// Number of hosts whose shares a host follows. In a small deployment these are all hosts; in a
/// large one as many as fit the budget for control traffic, with one table per second from each.
const SAMPLE_SIZE: usize = 8;
/// Interval between requests: two fit the TTL of a grant, so one may be lost.
const ASK_INTERVAL: Duration = Duration::from_millis(1400);
/// Number of rounds of which one requests shares while no shares change here. It covers peers that
/// are behind; a peer whose shares change asks this host.
const STEADY_ROUNDS: u32 = 6;
/// Measuring interval of a host without traffic. With a round trip, the first requests for another
/// region get a grant within the time that they may wait in a queue.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Weight of the last second in rates and sizes.
const SMOOTHING_WEIGHT: f64 = 0.3;
/// Rate below which a flow counts as idle, in requests a second. No grant is requested for it; its
/// next request uses the limiter of requests without a grant.
const IDLE_RATE: f64 = 0.05;
/// Assumed size of a request or a response before one was measured, in bytes.
const DEFAULT_BYTES: f64 = 2_000.0;

/// A message to send.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub to: Arc<Member>,
    pub ask: SteerAsk,
}

/// Traffic shares and grants of this host.
pub(super) struct Steering {
    me: Member,
    shares: TrafficSplit,
    grantor: Grantor,
    grantee: Arc<Mutex<Grantee>>,
    /// Traffic shares of the hosts that this one follows.
    peer_shares: BTreeMap<Arc<str>, SplitTable>,
    traffic: TrafficTable,
    desired: DesiredSplits,
    /// Regions in which hosts were seen.
    seen_regions: BTreeSet<Arc<str>>,
    lost_regions: BTreeSet<Arc<str>>,
    next_ask: Duration,
    /// Rounds of requests so far.
    round: u32,
    measured_at: Duration,
}

impl Steering {
    pub(super) fn open(me: &Member, grantee: Arc<Mutex<Grantee>>, now: Duration) -> Steering {
        Steering {
            me: me.clone(),
            shares: TrafficSplit::open(),
            grantor: Grantor::open(&me.name, &me.region, now),
            grantee,
            peer_shares: BTreeMap::new(),
            traffic: TrafficTable::new(),
            desired: DesiredSplits::default(),
            seen_regions: BTreeSet::new(),
            lost_regions: BTreeSet::new(),
            next_ask: now,
            round: 0,
            measured_at: now,
        }
    }

    pub(super) fn shares(&self) -> &TrafficSplit {
        &self.shares
    }

    pub(super) fn lost_regions(&self) -> &BTreeSet<Arc<str>> {
        &self.lost_regions
    }

    pub(super) fn seen_regions(&self) -> &BTreeSet<Arc<str>> {
        &self.seen_regions
    }

    /// Resets the shares after the process was paused: the other hosts continued meanwhile, so this
    /// host starts from their shares.
    pub(super) fn restart(&mut self) {
        self.shares.reset();
        self.peer_shares.clear();
    }

    /// Advances the shares by one step.
    pub(super) fn step(
        &mut self,
        config: &Config,
        members: &BTreeMap<Arc<str>, Arc<Member>>,
        present: BTreeSet<Arc<str>>,
        now: Duration,
    ) {
        self.update_lost(config, present);
        let sample = self.sample(members);
        self.peer_shares
            .retain(|name, _| sample.iter().any(|member| member.name == *name));
        let peers: Vec<PeerSplit<'_>> = sample
            .iter()
            .map(|member| PeerSplit {
                table: self.peer_shares.get(&member.name),
            })
            .collect();
        self.shares.update_peers(&peers);
        self.follow_peers(members);
        self.desired = DesiredSplits::open(config, &self.lost_regions);
        let grantee = self.grantee.lock().unwrap_or_else(PoisonError::into_inner);
        let lent = (&*grantee, &self.grantor);
        let region = &self.me.region;
        let ceilings = spill::share_limits(
            &self.desired,
            &self.shares,
            &self.traffic,
            region,
            lent,
            now,
        );
        self.shares.advance(&self.desired, &ceilings, now);
    }

    /// Adopts the shares that hosts of other regions apply to their own callers.
    fn follow_peers(&mut self, members: &BTreeMap<Arc<str>, Arc<Member>>) {
        let mut peers: BTreeMap<Arc<str>, Vec<&SplitTable>> = BTreeMap::new();
        for (name, table) in &self.peer_shares {
            if let Some(member) = members.get(name) {
                peers
                    .entry(Arc::clone(&member.region))
                    .or_default()
                    .push(table);
            }
        }
        self.shares.adopt_remote(&self.me.region, &peers);
    }

    /// Updates the set of lost regions. A region without a responsive host is lost: no host grants
    /// its headroom, and the load of its targets is unknown here.
    fn update_lost(&mut self, config: &Config, present: BTreeSet<Arc<str>>) {
        let is_lost = |region: &&Arc<str>| !present.contains(*region);
        let lost_regions: BTreeSet<Arc<str>> =
            config.regions.keys().filter(is_lost).cloned().collect();
        if lost_regions != self.lost_regions {
            log::warn!(regions:? = lost_regions; "regions without a responsive host");
        }
        self.lost_regions = lost_regions;
        self.seen_regions.extend(present);
    }

    /// Returns the hosts whose shares this one follows; the same ones as long as they are
    /// responsive.
    fn sample(&self, members: &BTreeMap<Arc<str>, Arc<Member>>) -> Vec<Arc<Member>> {
        let others = members
            .values()
            .filter(|member| member.name != self.me.name && !member.leaving && !member.suspect);
        let names: Vec<Arc<str>> = others.map(|member| Arc::clone(&member.name)).collect();
        let chosen = rendezvous::choose(&self.me.name, names, SAMPLE_SIZE);
        chosen
            .iter()
            .filter_map(|name| members.get(name).cloned())
            .collect()
    }

    /// Processes the measurements since the last call.
    pub(super) fn measure(
        &mut self,
        config: &Config,
        meter: &TrafficMeter,
        reports: &[PoolReport],
        now: Duration,
    ) {
        let time = now.saturating_sub(self.measured_at).as_secs_f64();
        if time < ASK_INTERVAL.as_secs_f64() / 2.0
            && !(self.is_idle() && time >= IDLE_INTERVAL.as_secs_f64())
        {
            return;
        }
        self.measured_at = now;
        let totals = meter.drain();
        if self.update_rates(config, &totals, time) {
            // A grant for a flow that was idle has not been requested before, and its requests
            // already wait.
            self.next_ask = now;
        }
        for name in config.services.keys() {
            let local_usage = self.local_usage(name, &totals, reports, time);
            if let Some(usage) = local_usage {
                self.grantor.record_usage(name, usage, now);
            }
        }
    }

    /// Updates the rates and sizes of flows; returns whether an idle flow became active.
    fn update_rates(&mut self, config: &Config, totals: &TrafficTotals, time: f64) -> bool {
        let mut became_active = false;
        for service in config.services.keys() {
            let sizes = totals.sizes.get(service).filter(|sizes| sizes.count > 0);
            let flows = self.traffic.entry(Arc::clone(service)).or_default();
            for callers in config.regions.keys() {
                let flow = flows.entry(Arc::clone(callers)).or_insert(Traffic {
                    rate: 0.0,
                    request_bytes: DEFAULT_BYTES,
                    answer_bytes: DEFAULT_BYTES,
                });
                let count = totals
                    .arrivals
                    .get(service)
                    .and_then(|flows| flows.get(callers));
                let rate = *count.unwrap_or(&0) as f64 / time;
                let activates = flow.rate == 0.0 && rate > IDLE_RATE;
                became_active |= activates;
                // The first rate of a flow is not smoothed: smoothed from zero, the requested grant
                // would be a third of what is needed, for seconds.
                flow.rate += (rate - flow.rate) * if activates { 1.0 } else { SMOOTHING_WEIGHT };
                if flow.rate < IDLE_RATE {
                    flow.rate = 0.0;
                }
                if let Some(sizes) = sizes {
                    let count = sizes.count as f64;
                    flow.request_bytes +=
                        (sizes.request as f64 / count - flow.request_bytes) * SMOOTHING_WEIGHT;
                    flow.answer_bytes +=
                        (sizes.answer as f64 / count - flow.answer_bytes) * SMOOTHING_WEIGHT;
                }
            }
        }
        became_active
    }

    /// Returns whether no flow has traffic.
    fn is_idle(&self) -> bool {
        let mut flows = self.traffic.values().flat_map(BTreeMap::values);
        flows.all(|flow| flow.rate == 0.0)
    }

    /// Returns the usage of the targets that this host owns, for one service; `None` if it owns
    /// none.
    fn local_usage(
        &self,
        service: &Arc<str>,
        totals: &TrafficTotals,
        reports: &[PoolReport],
        time: f64,
    ) -> Option<LocalUsage> {
        let pools = reports
            .iter()
            .filter(|report| report.id.service == *service && !report.released);
        let slots: Vec<u32> = pools.map(|report| report.load.slots).collect();
        if slots.is_empty() {
            return None;
        }
        let work = totals.work.get(service).copied().unwrap_or_default();
        let mean = work
            .time
            .checked_div(u32::try_from(work.count).unwrap_or(u32::MAX));
        let home = self
            .traffic
            .get(service)
            .and_then(|flows| flows.get(&self.me.region));
        Some(LocalUsage {
            slots: f64::from(slots.iter().sum::<u32>()),
            busy: work.local_time.as_secs_f64() / time,
            rate: home.map_or(0.0, |flow| flow.rate),
            service_time: mean.unwrap_or(Duration::from_millis(5)),
        })
    }

    /// Sets the capacity of the region's links and slots that may be granted.
    pub(super) fn set_limits(&mut self, config: &Config) {
        let region = config.regions.get(&self.me.region);
        let headroom = region.map_or(0.0, |region| region.headroom);
        let mut links = LinkCapacity::new();
        for link in config.links.values() {
            let other = match () {
                () if link.from == self.me.region => &link.to,
                () if link.to == self.me.region => &link.from,
                () => continue,
            };
            let bytes = link.bytes_per_s.get() as f64 * (1.0 - link.headroom);
            links.insert(Arc::clone(other), bytes);
        }
        self.grantor.set_limits(headroom, links);
    }

    /// Returns the requests that are due: for shares to the sample, for grants to hosts of the
    /// regions that receive traffic.
    pub(super) fn due_asks(
        &mut self,
        members: &BTreeMap<Arc<str>, Arc<Member>>,
        now: Duration,
    ) -> Vec<Outgoing> {
        let mine = members
            .values()
            .filter(|member| member.region == self.me.region);
        self.grantor.set_hosts(mine.count(), now);
        if now < self.next_ask {
            return Vec::new();
        }
        self.next_ask = now + ASK_INTERVAL;
        self.round = self.round.wrapping_add(1);
        let steady = self.is_steady() && !self.round.is_multiple_of(STEADY_ROUNDS);
        let mut due_asks: BTreeMap<Arc<str>, Outgoing> = BTreeMap::new();
        for to in self.sample(members) {
            let all = !self.peer_shares.contains_key(&to.name);
            if steady && !all {
                continue;
            }
            let ask = self.new_ask(all, Vec::new(), now);
            due_asks.insert(Arc::clone(&to.name), Outgoing { to, ask });
        }
        let needs = spill::needs(&self.desired, &self.shares, &self.traffic, &self.me.region);
        for (region, needs) in needs {
            self.ask_region(&region, &needs, members, &mut due_asks, now);
        }
        due_asks.into_values().collect()
    }

    /// Returns whether all shares equal the desired split.
    fn is_steady(&self) -> bool {
        let flows = self.desired.flows.iter();
        let mut flows = flows.flat_map(|(service, flows)| flows.keys().map(move |c| (service, c)));
        flows.all(|(service, callers)| self.shares.remaining(service, callers) <= 0.0)
    }

    fn ask_region(
        &mut self,
        region: &Arc<str>,
        needs: &[Need],
        members: &BTreeMap<Arc<str>, Arc<Member>>,
        due_asks: &mut BTreeMap<Arc<str>, Outgoing>,
        now: Duration,
    ) {
        let hosts = members
            .values()
            .filter(|member| member.region == *region && !member.leaving && !member.suspect);
        let names: Vec<Arc<str>> = hosts.map(|member| Arc::clone(&member.name)).collect();
        let grantors = spill::choose_grantors(&self.me.name, &names);
        let request = {
            let grantee = self.grantee.lock().unwrap_or_else(PoisonError::into_inner);
            grantee.request(needs, grantors.len(), now)
        };
        for name in grantors {
            // This host grants headroom to itself as to any other host, for callers of other
            // regions.
            if *name == self.me.name {
                self.grantor.on_request(request.clone(), now);
                continue;
            }
            let Some(to) = members.get(name) else {
                continue;
            };
            let ask = self.new_ask(false, Vec::new(), now);
            let entry = due_asks
                .entry(Arc::clone(name))
                .or_insert_with(|| Outgoing {
                    to: Arc::clone(to),
                    ask,
                });
            entry.ask.needs = request.needs.iter().map(write_need).collect();
        }
    }

    fn new_ask(&self, all: bool, needs: Vec<PeerNeed>, now: Duration) -> SteerAsk {
        SteerAsk {
            name: Arc::clone(&self.me.name),
            region: Arc::clone(&self.me.region),
            all,
            at_us: micros(now),
            needs,
        }
    }

    /// Records the needs of another host; [`Steering::answer`] replies to it.
    pub(super) fn record_ask(&mut self, ask: &SteerAsk, now: Duration) {
        if ask.needs.is_empty() {
            return;
        }
        let ask = dunlinrock_decide::steer::GrantRequest {
            host: Arc::clone(&ask.name),
            region: Arc::clone(&ask.region),
            sent_at: Duration::from_micros(ask.at_us),
            needs: ask.needs.iter().map(read_need).collect(),
        };
        self.grantor.on_request(ask, now);
    }

    /// Returns the grants for all hosts that requested some, by host.
    pub(super) fn grants(&mut self, now: Duration) -> BTreeMap<Arc<str>, Vec<Lent>> {
        let mut lent: BTreeMap<Arc<str>, Vec<Lent>> = BTreeMap::new();
        for grant in self.grantor.grant(now) {
            if grant.grantee == self.me.name {
                let mut grantee = self.grantee.lock().unwrap_or_else(PoisonError::into_inner);
                grantee.receive(grant, now);
                continue;
            }
            lent.entry(Arc::clone(&grant.grantee))
                .or_default()
                .push(write_lent(&grant));
        }
        lent
    }

    /// Returns the response to a host's request.
    pub(super) fn answer(&self, ask: &SteerAsk, lent: Vec<Lent>) -> SteerGive {
        let mut shares = self.shares.table_for_peers(&self.me.region);
        if !ask.all {
            for (service, flows) in &mut shares {
                flows.retain(|callers, _| self.shares.remaining(service, callers) > 0.0);
            }
            shares.retain(|_, flows| !flows.is_empty());
        }
        SteerGive {
            name: Arc::clone(&self.me.name),
            ready: self.shares.ready(),
            shares,
            lent,
        }
    }

    /// Applies the response of a host, which was received at this host's time `now`.
    pub(super) fn apply_answer(&mut self, from: &Member, answer: SteerGive, now: Duration) {
        let SteerGive {
            name,
            ready,
            shares,
            lent,
        } = answer;
        match self.peer_shares.get_mut(&name) {
            Some(table) => *table = with_desired(&self.desired, shares),
            None if ready => {
                self.peer_shares.insert(Arc::clone(&name), shares);
            }
            None => {
                self.peer_shares
                    .insert(Arc::clone(&name), SplitTable::new());
            }
        }
        let mut grantee = self.grantee.lock().unwrap_or_else(PoisonError::into_inner);
        for lent in &lent {
            grantee.receive(read_lent(lent, from, &self.me), now);
        }
    }
}

/// Returns all shares of a host that sent only the changing ones: the others equal the desired
/// split.
fn with_desired(desired: &DesiredSplits, moving: SplitTable) -> SplitTable {
    let mut table = SplitTable::new();
    for (service, flows) in &desired.flows {
        let flows = flows
            .iter()
            .map(|(callers, goal)| (Arc::clone(callers), goal.shares.clone()));
        table.insert(Arc::clone(service), flows.collect());
    }
    for (service, flows) in moving {
        table.entry(service).or_default().extend(flows);
    }
    table
}

fn write_need(need: &Need) -> PeerNeed {
    PeerNeed {
        service: Arc::clone(&need.service),
        rate: need.rate,
        request_bytes: need.request_bytes,
        answer_bytes: need.answer_bytes,
    }
}

fn read_need(need: &PeerNeed) -> Need {
    Need {
        service: Arc::clone(&need.service),
        rate: need.rate,
        request_bytes: need.request_bytes,
        answer_bytes: need.answer_bytes,
    }
}

fn write_lent(grant: &Grant) -> Lent {
    Lent {
        service: Arc::clone(&grant.service),
        rate: grant.rate,
        request_bytes: grant.request_bytes,
        answer_bytes: grant.answer_bytes,
        asked_us: micros(grant.requested_at),
    }
}

fn read_lent(lent: &Lent, from: &Member, me: &Member) -> Grant {
    Grant {
        grantor: Arc::clone(&from.name),
        region: Arc::clone(&from.region),
        grantee: Arc::clone(&me.name),
        service: Arc::clone(&lent.service),
        rate: lent.rate,
        request_bytes: lent.request_bytes,
        answer_bytes: lent.answer_bytes,
        requested_at: Duration::from_micros(lent.asked_us),
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
