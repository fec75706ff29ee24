//! One host that runs the crate's state machines, or the baseline, as a daemon would.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_config::goal::RegionShares;
use dunlinrock_steer::{
    DesiredSplits, Grantee, Grantor, LinkCapacity, LocalUsage, PeerSplit, SplitTable, TrafficSplit,
    TrafficTable, naive::UncappedSplit, spill,
};

use super::{GONE_AFTER, Message, TICK};

/// How hosts move traffic.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    /// Capped shares and grants.
    Steered,
    /// To the desired split at once, without grants.
    Baseline,
}

/// Weight of a tick in a host's estimate of its traffic.
const RATE_WEIGHT: f64 = 0.03;

pub struct Host {
    pub name: Arc<str>,
    pub region: Arc<str>,
    policy: Policy,
    pub split: TrafficSplit,
    grantor: Grantor,
    grantee: Grantee,
    uncapped: UncappedSplit,
    traffic: TrafficTable,
    /// Shares of peers, with their time of receipt.
    peers_seen: BTreeMap<Arc<str>, (Duration, Arc<SplitTable>)>,
    /// Time at which this host first had the list of hosts.
    since: Duration,
    /// All listed hosts.
    listed: BTreeSet<Arc<str>>,
    desired_splits: Arc<DesiredSplits>,
}

impl Host {
    pub fn open(name: &Arc<str>, region: &Arc<str>, policy: Policy, now: Duration) -> Self {
        Self {
            name: name.clone(),
            region: region.clone(),
            policy,
            split: TrafficSplit::open(),
            grantor: Grantor::open(name, region, now),
            grantee: Grantee::open(name, region),
            uncapped: UncappedSplit::default(),
            traffic: TrafficTable::new(),
            peers_seen: BTreeMap::new(),
            since: now,
            listed: BTreeSet::new(),
            desired_splits: Arc::default(),
        }
    }

    pub fn ready(&self) -> bool {
        self.policy == Policy::Baseline || self.split.ready()
    }

    pub fn shares_of(&self, service: &str, callers: &str) -> RegionShares {
        if self.policy == Policy::Baseline {
            let desired = self.desired_splits.find(service, callers);
            return desired
                .map(|desired| desired.shares.clone())
                .unwrap_or_default();
        }
        let table = self.split.table();
        let split = table.get(service).and_then(|flows| flows.get(callers));
        split.cloned().unwrap_or_default()
    }

    pub fn receive(&mut self, message: Message, now: Duration) {
        match message {
            Message::Split { from, table } => drop(self.peers_seen.insert(from, (now, table))),
            Message::Request(request) => self.grantor.on_request(request, now),
            Message::Grant(grant) => self.grantee.receive(grant, now),
        }
    }

    /// Sends heartbeats, grant requests, and grants for received requests.
    pub fn send_heartbeats(
        &mut self,
        desired_splits: &DesiredSplits,
        all: &[(Arc<str>, Arc<str>)],
        (headroom, links): (f64, LinkCapacity),
        now: Duration,
    ) -> Vec<(Arc<str>, Message)> {
        let mut messages = Vec::new();
        if self.policy == Policy::Baseline {
            return messages;
        }
        self.listed = all.iter().map(|(name, _)| name.clone()).collect();
        let table = Arc::new(self.split.table());
        for (name, _) in all.iter().filter(|(name, _)| *name != self.name) {
            let from = self.name.clone();
            let table = table.clone();
            messages.push((name.clone(), Message::Split { from, table }));
        }
        let hosts_in = |region: &str| all.iter().filter(|(_, r)| **r == *region).count();
        self.grantor.set_limits(headroom, links);
        self.grantor.set_hosts(hosts_in(&self.region), now);
        let needs = spill::needs(desired_splits, &self.split, &self.traffic, &self.region);
        for (name, region) in all {
            if let Some(needs) = needs.get(region) {
                let request = self.grantee.request(needs, hosts_in(region), now);
                messages.push((name.clone(), Message::Request(request)));
            }
        }
        for grant in self.grantor.grant(now) {
            messages.push((grant.grantee.clone(), Message::Grant(grant)));
        }
        messages
    }

    /// Advances the shares by the recently received messages.
    pub fn advance(&mut self, desired_splits: &Arc<DesiredSplits>, now: Duration) {
        self.desired_splits = desired_splits.clone();
        if self.policy == Policy::Baseline {
            self.uncapped.set_desired(desired_splits);
            return;
        }
        self.peers_seen
            .retain(|_, (received_at, _)| now.saturating_sub(*received_at) < GONE_AFTER);
        // A host that has never sent a message counts as alive for as long as one that fell silent.
        let silent = self.listed.iter().filter(|name| {
            **name != self.name
                && !self.peers_seen.contains_key(*name)
                && now.saturating_sub(self.since) < GONE_AFTER
        });
        let silent = silent.map(|_| PeerSplit { table: None });
        let peers_seen = self.peers_seen.values();
        let peers_seen = peers_seen.map(|(_, table)| PeerSplit { table: Some(table) });
        let peers: Vec<PeerSplit<'_>> = peers_seen.chain(silent).collect();
        let mut remote: BTreeMap<Arc<str>, Vec<&SplitTable>> = BTreeMap::new();
        for (name, (_, table)) in &self.peers_seen {
            // Hosts are named by their region and a number.
            let region = desired_splits.flows.values().flat_map(BTreeMap::keys);
            let region = region.filter(|region| name.starts_with(&***region)).max();
            let region = region.expect("a region").clone();
            remote.entry(region).or_default().push(&**table);
        }
        if self.listed.is_empty() {
            return;
        }
        self.split.update_peers(&peers);
        self.split.adopt_remote(&self.region, &remote);
        let granted = (&self.grantee, &self.grantor);
        let limits = spill::share_limits(
            desired_splits,
            &self.split,
            &self.traffic,
            &self.region,
            granted,
            now,
        );
        self.split.advance(desired_splits, &limits, now);
    }

    /// Records the requests that arrived in this tick.
    pub fn record_arrivals(
        &mut self,
        service: &Arc<str>,
        callers: &Arc<str>,
        count: f64,
        (request, answer): (f64, f64),
        _now: Duration,
    ) {
        let rate = count / TICK.as_secs_f64();
        let flows = self.traffic.entry(service.clone()).or_default();
        let traffic = flows
            .entry(callers.clone())
            .or_insert(dunlinrock_steer::Traffic {
                rate,
                request_bytes: request,
                answer_bytes: answer,
            });
        traffic.rate += (rate - traffic.rate) * RATE_WEIGHT;
    }

    /// Returns the region that serves a request, or a retry-after time.
    pub fn send(
        &mut self,
        service: &str,
        callers: &str,
        value: u64,
        sizes: (f64, f64),
        now: Duration,
    ) -> Result<Arc<str>, Duration> {
        if self.policy == Policy::Baseline {
            let region = self.uncapped.pick_region(service, callers, value).cloned();
            return region.ok_or(GONE_AFTER);
        }
        let region = match self.split.pick_region(service, callers, value) {
            Ok(region) => region.clone(),
            Err(refusal) => return Err(refusal.retry_after),
        };
        if !spill::is_local(&self.region, callers, &region) {
            let taken = self.grantee.try_acquire(&region, service, sizes, now);
            taken.map_err(|error| error.retry_after)?;
        }
        Ok(region)
    }

    pub fn record_usage(
        &mut self,
        service: &Arc<str>,
        (slots, busy): (f64, f64),
        (rate, work): (f64, f64),
        now: Duration,
    ) {
        let usage = LocalUsage {
            slots,
            busy,
            rate,
            service_time: Duration::from_secs_f64(work),
        };
        self.grantor.record_usage(service, usage, now);
    }
}
