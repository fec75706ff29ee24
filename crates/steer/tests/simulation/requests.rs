//! Serves a tick's requests, computes the load that they cause, and reports it to the hosts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_steer::{DesiredSplits, hash};

use super::{FlowRegion, Pool, Simulation, TICK, UsageReports};

/// Factor of the service time if the cache is cold.
const COLD_FACTOR: f64 = 2.0;
/// Time over which shares are smoothed, in seconds: single ticks vary by chance.
const SMOOTHING_SECONDS: f64 = 2.0;
/// Time for which a request waits for granted capacity.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time in which a cache warms up, in seconds.
const WARM_UP_SECONDS: f64 = 10.0;

impl Simulation {
    /// Serves a tick's requests.
    pub(super) fn serve(&mut self, desired_splits: &DesiredSplits) {
        let mut sent: BTreeMap<FlowRegion, f64> = BTreeMap::new();
        self.used.clear();
        self.own.clear();
        self.work.clear();
        for (service, flows) in &desired_splits.flows {
            for callers in flows.keys() {
                let hosts = self.hosts_of(callers);
                for n in &hosts {
                    let rate = self.rate(service, callers) / hosts.len() as f64;
                    self.arrive(*n, service, callers, rate, &mut sent);
                }
            }
        }
        self.record_load(sent);
    }

    /// Returns the requests per second of a service's callers in one region.
    fn rate(&self, service: &str, callers: &Arc<str>) -> f64 {
        let work = self.config.services[service].work_ms.get() as f64 / 1000.0;
        self.all_slots(service, callers) * self.load[callers] / work
    }

    fn arrive(
        &mut self,
        n: usize,
        service: &Arc<str>,
        callers: &Arc<str>,
        rate: f64,
        sent: &mut BTreeMap<FlowRegion, f64>,
    ) {
        let mean = rate * TICK.as_secs_f64();
        let count = (mean + self.random()).floor() as u64;
        let rules = &self.config.services[service];
        let bytes = (
            rules.request_bytes.get() as f64,
            rules.answer_bytes.get() as f64,
        );
        self.hosts[n].record_arrivals(service, callers, count as f64, bytes, self.now);
        let key = (self.hosts[n].name.clone(), service.clone(), callers.clone());
        let mut requests = self.waiting.remove(&key).unwrap_or_default();
        for _ in 0..count {
            let value = hash::mix64(self.random().to_bits());
            requests.push((self.now + QUEUE_TIMEOUT, value));
        }
        let mut waiting = Vec::new();
        for (expires_at, value) in requests {
            let host = &mut self.hosts[n];
            match host.send(service, callers, value, bytes, self.now) {
                Ok(region) => {
                    let from = host.region.clone();
                    self.metrics.link(&from, &region, bytes);
                    let key = (service.clone(), callers.clone(), region);
                    *sent.entry(key).or_default() += 1.0;
                }
                Err(wait) if self.now + wait <= expires_at => waiting.push((expires_at, value)),
                Err(_) => self.metrics.refused(self.now),
            }
        }
        if !waiting.is_empty() {
            self.waiting.insert(key, waiting);
        }
    }

    /// Computes the load that the requests put on the regions.
    fn record_load(&mut self, sent: BTreeMap<FlowRegion, f64>) {
        let tick = TICK.as_secs_f64();
        let mut loads: BTreeMap<Pool, (f64, f64, f64)> = BTreeMap::new();
        for ((service, callers, region), count) in sent {
            let work = self.config.services[&service].work_ms.get() as f64 / 1000.0;
            let work = work * self.cold_factor(&service, &callers, &region, count);
            let slots = count * work / tick;
            let load = loads.entry((service.clone(), region.clone())).or_default();
            if callers == region {
                load.0 += slots;
                self.own.insert((service.clone(), region.clone()), count);
                *self
                    .used
                    .entry((service.clone(), region.clone()))
                    .or_default() += slots;
            } else {
                load.1 += slots;
            }
            load.2 += count;
        }
        for ((service, region), (own, granted, count)) in loads {
            let slots = self.slots(&service, &region);
            let headroom = self.config.regions[&region].headroom;
            self.metrics
                .load((&service, &region), (own, granted), slots, headroom);
            self.metrics.served(self.now, count, own + granted, slots);
            let work = (own + granted) * tick / count.max(1.0);
            self.work.insert((service, region), work);
        }
        self.metrics.tick(self.now);
    }

    /// Returns the factor by which service times rise because part of the share is new to the
    /// region's caches.
    fn cold_factor(
        &mut self,
        service: &Arc<str>,
        callers: &Arc<str>,
        region: &Arc<str>,
        count: f64,
    ) -> f64 {
        let tick = TICK.as_secs_f64();
        let rate = self.rate(service, callers) * tick;
        let now = if rate > 0.0 { count / rate } else { 0.0 };
        let split = self.warm.get_mut(service).expect("a service");
        let split = split.get_mut(callers).expect("a region");
        let warm = split.entry(region.clone()).or_insert(0.0);
        let key = (service.clone(), callers.clone(), region.clone());
        let flow = self.flow.entry(key).or_insert(*warm);
        *flow += (now - *flow) * tick / SMOOTHING_SECONDS;
        *warm += (*flow - *warm) * tick / WARM_UP_SECONDS;
        let new = (*flow - *warm).max(0.0) / flow.max(1e-9);
        1.0 + (COLD_FACTOR - 1.0) * new
    }

    /// Reports to each host how many of its slots its own callers use.
    pub(super) fn report_usage(&mut self) {
        for host in &mut self.hosts {
            let fault = self.usage_reports.get(&host.region).copied();
            let fault = fault.unwrap_or_default();
            if fault == UsageReports::Lost {
                continue;
            }
            for service in self.config.services.keys() {
                let key = (service.clone(), host.region.clone());
                let slots = self.slots[service].get(&host.region);
                let slots = slots.map_or(0.0, |slots| slots.available as f64);
                let busy = self.used.get(&key).copied().unwrap_or(0.0);
                let busy = if fault == UsageReports::Idle {
                    0.0
                } else {
                    busy
                };
                let base = self.config.services[service].work_ms.get() as f64 / 1000.0;
                let work = self.work.get(&key).copied().unwrap_or(base);
                let own = self.own.get(&key).copied().unwrap_or(0.0);
                let rate = own / TICK.as_secs_f64() / 4.0;
                host.record_usage(service, (slots / 4.0, busy / 4.0), (rate, work), self.now);
            }
        }
    }
}
