//! Shares of traffic and grants of headroom, exchanged with other hosts.
//!
//! Every second or two a host asks a few others for their shares, so that it neither starts from the
//! goal where traffic flows already nor runs ahead of the slowest, and asks some hosts of each
//! region that it sends work to for room. Both go in one message and come back in one.

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
    traffic::{Meters, Sums},
    view::Member,
};

/// Hosts whose shares a host goes by. With all of a small deployment; of a large one as many as a
/// row each second from each fits the budget for control.
const SAMPLE: usize = 8;
/// Time between two asks: two fit the life of a grant, so that one may be lost.
const ASK: Duration = Duration::from_millis(1400);
/// Rounds of asks of which one asks for shares while nothing moves here. They are asked for in case
/// a peer is behind; a peer that moves asks this host.
const CALM_ROUNDS: u32 = 6;
/// Time between two looks at the traffic of a host that has none: with a round trip, the first
/// requests for another region get room within the time that they may wait in a queue.
const FIRST_LOOK: Duration = Duration::from_millis(100);
/// Weight of the last second in rates and sizes.
const FRESH: f64 = 0.3;
/// Rate below which a lane counts as idle, in requests a second. Room is not asked for; the next
/// request passes by the allowance for few.
const IDLE: f64 = 0.05;
/// Bytes of a request or an answer of which nothing was seen yet.
const UNSEEN_BYTES: f64 = 2_000.0;

/// A message to send.
#[derive(Debug)]
pub(super) struct Outgoing {
    pub to: Arc<Member>,
    pub ask: SteerAsk,
}

/// Shares and grants of this host.
pub(super) struct Steering {
    me: Member,
    shares: TrafficSplit,
    grantor: Grantor,
    grantee: Arc<Mutex<Grantee>>,
    /// Shares of the hosts that this one goes by.
    rows: BTreeMap<Arc<str>, SplitTable>,
    traffic: TrafficTable,
    goals: DesiredSplits,
    /// Regions of which hosts were seen.
    seen: BTreeSet<Arc<str>>,
    lost: BTreeSet<Arc<str>>,
    next_ask: Duration,
    /// Rounds of asks so far.
    round: u32,
    measured: Duration,
}

impl Steering {
    pub(super) fn open(me: &Member, grantee: Arc<Mutex<Grantee>>, now: Duration) -> Steering {
        Steering {
            me: me.clone(),
            shares: TrafficSplit::open(),
            grantor: Grantor::open(&me.name, &me.region, now),
            grantee,
            rows: BTreeMap::new(),
            traffic: TrafficTable::new(),
            goals: DesiredSplits::default(),
            seen: BTreeSet::new(),
            lost: BTreeSet::new(),
            next_ask: now,
            round: 0,
            measured: now,
        }
    }

    pub(super) fn shares(&self) -> &TrafficSplit {
        &self.shares
    }

    pub(super) fn lost(&self) -> &BTreeSet<Arc<str>> {
        &self.lost
    }

    pub(super) fn seen(&self) -> &BTreeSet<Arc<str>> {
        &self.seen
    }

    /// After a pause: the others have gone on without this host, so it starts from their shares.
    pub(super) fn restart(&mut self) {
        self.shares.reset();
        self.rows.clear();
    }

    /// One step of shares.
    pub(super) fn step(
        &mut self,
        config: &Config,
        members: &BTreeMap<Arc<str>, Arc<Member>>,
        present: BTreeSet<Arc<str>>,
        now: Duration,
    ) {
        self.look(config, present);
        let sample = self.sample(members);
        self.rows
            .retain(|name, _| sample.iter().any(|member| member.name == *name));
        let peers: Vec<PeerSplit<'_>> = sample
            .iter()
            .map(|member| PeerSplit {
                table: self.rows.get(&member.name),
            })
            .collect();
        self.shares.update_peers(&peers);
        self.follow(members);
        self.goals = DesiredSplits::open(config, &self.lost);
        let grantee = self.grantee.lock().unwrap_or_else(PoisonError::into_inner);
        let lent = (&*grantee, &self.grantor);
        let region = &self.me.region;
        let ceilings =
            spill::share_limits(&self.goals, &self.shares, &self.traffic, region, lent, now);
        self.shares.advance(&self.goals, &ceilings, now);
    }

    /// Takes over what hosts of other regions do with their own callers.
    fn follow(&mut self, members: &BTreeMap<Arc<str>, Arc<Member>>) {
        let mut peers: BTreeMap<Arc<str>, Vec<&SplitTable>> = BTreeMap::new();
        for (name, rows) in &self.rows {
            if let Some(member) = members.get(name) {
                peers
                    .entry(Arc::clone(&member.region))
                    .or_default()
                    .push(rows);
            }
        }
        self.shares.adopt_remote(&self.me.region, &peers);
    }

    /// A region without a host that is there is lost: nobody lends its room, and what its targets
    /// still do cannot be known from here.
    fn look(&mut self, config: &Config, present: BTreeSet<Arc<str>>) {
        let lost = |region: &&Arc<str>| !present.contains(*region);
        let lost: BTreeSet<Arc<str>> = config.regions.keys().filter(lost).cloned().collect();
        if lost != self.lost {
            log::warn!(regions:? = lost; "regions without a host that is heard");
        }
        self.lost = lost;
        self.seen.extend(present);
    }

    /// The hosts whose shares this one goes by, the same ones while they are there.
    fn sample(&self, members: &BTreeMap<Arc<str>, Arc<Member>>) -> Vec<Arc<Member>> {
        let others = members
            .values()
            .filter(|member| member.name != self.me.name && !member.leaving && !member.suspect);
        let names: Vec<Arc<str>> = others.map(|member| Arc::clone(&member.name)).collect();
        let chosen = rendezvous::choose(&self.me.name, names, SAMPLE);
        chosen
            .iter()
            .filter_map(|name| members.get(name).cloned())
            .collect()
    }

    /// Takes in what was measured since the last time.
    pub(super) fn measure(
        &mut self,
        config: &Config,
        meters: &Meters,
        reports: &[PoolReport],
        now: Duration,
    ) {
        let time = now.saturating_sub(self.measured).as_secs_f64();
        if time < ASK.as_secs_f64() / 2.0 && !(self.is_idle() && time >= FIRST_LOOK.as_secs_f64()) {
            return;
        }
        self.measured = now;
        let sums = meters.take();
        if self.learn(config, &sums, time) {
            // Room for a lane that was idle is not asked for before; its requests wait by now.
            self.next_ask = now;
        }
        for name in config.services.keys() {
            let own = self.own(name, &sums, reports, time);
            if let Some(own) = own {
                self.grantor.record_usage(name, own, now);
            }
        }
    }

    /// Takes the traffic of the last while in; tells whether an idle lane has woken up.
    fn learn(&mut self, config: &Config, sums: &Sums, time: f64) -> bool {
        let mut woke = false;
        for service in config.services.keys() {
            let sizes = sums.sizes.get(service).filter(|sizes| sizes.count > 0);
            let lanes = self.traffic.entry(Arc::clone(service)).or_default();
            for callers in config.regions.keys() {
                let lane = lanes.entry(Arc::clone(callers)).or_insert(Traffic {
                    rate: 0.0,
                    request_bytes: UNSEEN_BYTES,
                    answer_bytes: UNSEEN_BYTES,
                });
                let count = sums
                    .entered
                    .get(service)
                    .and_then(|lanes| lanes.get(callers));
                let rate = *count.unwrap_or(&0) as f64 / time;
                let wakes = lane.rate == 0.0 && rate > IDLE;
                woke |= wakes;
                // The first figure of a lane is taken whole: smoothed from zero, the room asked for
                // would be a third of what is needed, for seconds.
                lane.rate += (rate - lane.rate) * if wakes { 1.0 } else { FRESH };
                if lane.rate < IDLE {
                    lane.rate = 0.0;
                }
                if let Some(sizes) = sizes {
                    let count = sizes.count as f64;
                    lane.request_bytes +=
                        (sizes.request as f64 / count - lane.request_bytes) * FRESH;
                    lane.answer_bytes += (sizes.answer as f64 / count - lane.answer_bytes) * FRESH;
                }
            }
        }
        woke
    }

    /// Whether no lane has traffic.
    fn is_idle(&self) -> bool {
        let mut lanes = self.traffic.values().flat_map(BTreeMap::values);
        lanes.all(|lane| lane.rate == 0.0)
    }

    /// Use of the targets that this host owns, of one service; none where it owns none.
    fn own(
        &self,
        service: &Arc<str>,
        sums: &Sums,
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
        let work = sums.work.get(service).copied().unwrap_or_default();
        let mean = work
            .time
            .checked_div(u32::try_from(work.count).unwrap_or(u32::MAX));
        let home = self
            .traffic
            .get(service)
            .and_then(|lanes| lanes.get(&self.me.region));
        Some(LocalUsage {
            slots: f64::from(slots.iter().sum::<u32>()),
            busy: work.home.as_secs_f64() / time,
            rate: home.map_or(0.0, |lane| lane.rate),
            service_time: mean.unwrap_or(Duration::from_millis(5)),
        })
    }

    /// Sets what the region's links and slots leave to lend.
    pub(super) fn limit(&mut self, config: &Config) {
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

    /// Asks to send now: for shares to the sample, for room to hosts of the regions work goes to.
    pub(super) fn asks(
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
        self.next_ask = now + ASK;
        self.round = self.round.wrapping_add(1);
        let calm = self.is_calm() && !self.round.is_multiple_of(CALM_ROUNDS);
        let mut asks: BTreeMap<Arc<str>, Outgoing> = BTreeMap::new();
        for to in self.sample(members) {
            let all = !self.rows.contains_key(&to.name);
            if calm && !all {
                continue;
            }
            let ask = self.ask(all, Vec::new(), now);
            asks.insert(Arc::clone(&to.name), Outgoing { to, ask });
        }
        let needs = spill::needs(&self.goals, &self.shares, &self.traffic, &self.me.region);
        for (region, needs) in needs {
            self.ask_region(&region, &needs, members, &mut asks, now);
        }
        asks.into_values().collect()
    }

    /// Whether every share is at its goal.
    fn is_calm(&self) -> bool {
        let lanes = self.goals.flows.iter();
        let mut lanes = lanes.flat_map(|(service, lanes)| lanes.keys().map(move |c| (service, c)));
        lanes.all(|(service, callers)| self.shares.remaining(service, callers) <= 0.0)
    }

    fn ask_region(
        &mut self,
        region: &Arc<str>,
        needs: &[Need],
        members: &BTreeMap<Arc<str>, Arc<Member>>,
        asks: &mut BTreeMap<Arc<str>, Outgoing>,
        now: Duration,
    ) {
        let there = members
            .values()
            .filter(|member| member.region == *region && !member.leaving && !member.suspect);
        let names: Vec<Arc<str>> = there.map(|member| Arc::clone(&member.name)).collect();
        let grantors = spill::choose_grantors(&self.me.name, &names);
        let part = {
            let grantee = self.grantee.lock().unwrap_or_else(PoisonError::into_inner);
            grantee.request(needs, grantors.len(), now)
        };
        for name in grantors {
            // This host lends to itself as to any other, for callers of other regions.
            if *name == self.me.name {
                self.grantor.on_request(part.clone(), now);
                continue;
            }
            let Some(to) = members.get(name) else {
                continue;
            };
            let ask = self.ask(false, Vec::new(), now);
            let entry = asks.entry(Arc::clone(name)).or_insert_with(|| Outgoing {
                to: Arc::clone(to),
                ask,
            });
            entry.ask.needs = part.needs.iter().map(write_need).collect();
        }
    }

    fn ask(&self, all: bool, needs: Vec<PeerNeed>, now: Duration) -> SteerAsk {
        SteerAsk {
            name: Arc::clone(&self.me.name),
            region: Arc::clone(&self.me.region),
            all,
            at_us: micros(now),
            needs,
        }
    }

    /// Notes what another host wants; it is answered with [`Steering::gives`].
    pub(super) fn asked(&mut self, ask: &SteerAsk, now: Duration) {
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

    /// Room to lend to all that asked, by host.
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

    /// Answer to a host that asked.
    pub(super) fn give(&self, all: bool, lent: Vec<Lent>) -> SteerGive {
        let mut shares = self.shares.table();
        if !all {
            for (service, lanes) in &mut shares {
                lanes.retain(|callers, _| self.shares.remaining(service, callers) > 0.0);
            }
            shares.retain(|_, lanes| !lanes.is_empty());
        }
        SteerGive {
            name: Arc::clone(&self.me.name),
            ready: self.shares.ready(),
            shares,
            lent,
        }
    }

    /// Takes the answer of a host in, asked at this host's `now`.
    pub(super) fn given(&mut self, from: &Member, give: SteerGive, now: Duration) {
        let SteerGive {
            name,
            ready,
            shares,
            lent,
        } = give;
        match self.rows.get_mut(&name) {
            Some(rows) => *rows = at_goal(&self.goals, shares),
            None if ready => {
                self.rows.insert(Arc::clone(&name), shares);
            }
            None => {
                self.rows.insert(Arc::clone(&name), SplitTable::new());
            }
        }
        let mut grantee = self.grantee.lock().unwrap_or_else(PoisonError::into_inner);
        for lent in &lent {
            grantee.receive(read_lent(lent, from, &self.me), now);
        }
    }
}

/// All shares of a host that sent only those that move: the others are at their goals.
fn at_goal(goals: &DesiredSplits, moving: SplitTable) -> SplitTable {
    let mut rows = SplitTable::new();
    for (service, lanes) in &goals.flows {
        let lanes = lanes
            .iter()
            .map(|(callers, goal)| (Arc::clone(callers), goal.shares.clone()));
        rows.insert(Arc::clone(service), lanes.collect());
    }
    for (service, lanes) in moving {
        rows.entry(service).or_default().extend(lanes);
    }
    rows
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
