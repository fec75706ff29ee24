//! Measures the results of a run.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use dunlinrock_config::goal::RegionShares;
use dunlinrock_schema::config::Config;
use dunlinrock_steer::{DesiredSplits, SplitTable};

use super::TICK;

/// Number of ticks over which loads are summed up: a second.
const WINDOW: usize = 10;

/// Loads of the last window.
#[derive(Default)]
struct Window {
    /// Load of each tick.
    ticks: VecDeque<Load>,
}

/// Slots used by own callers, slots used by other regions' callers, the limit for both, and all
/// slots.
type Load = (f64, f64, f64, f64);
/// Two names: service and region, or the ends of a link.
type Pair = (Arc<str>, Arc<str>);

/// Splits of the last window.
type History = VecDeque<(Duration, RegionShares)>;

pub struct Metrics {
    config: Config,
    loads: BTreeMap<Pair, Window>,
    now_loads: BTreeMap<Pair, Load>,
    links: BTreeMap<Pair, VecDeque<f64>>,
    now_links: BTreeMap<Pair, f64>,
    history: BTreeMap<Pair, History>,
    /// Time from which results count.
    pub from: Duration,
    pub report: Report,
    counted: f64,
    shed: f64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Largest fraction of a cap that moved in a window, over all services and regions of callers;
    /// 1 is the cap.
    pub moved: f64,
    /// Smallest fraction of a region's slots for a service that was free in a second; below 0 the
    /// region was overloaded.
    pub headroom: f64,
    /// Largest use of a region by other regions' callers in a second beyond what was available for
    /// them, as a fraction of the slots; 0 if all use stayed within.
    pub over: f64,
    /// Smallest fraction of a link that was free in a second.
    pub link: f64,
    /// Largest fraction by which a link exceeded its usable capacity in a second.
    pub link_over: f64,
    /// Fraction of requests that were refused or for which the region had no slot.
    pub shed: f64,
    /// Time after the fault at which the last share was within a hundredth of the desired split;
    /// `None` if it never was.
    pub settled: Option<Duration>,
}

impl Metrics {
    pub fn open(config: &Config) -> Self {
        Self {
            config: config.clone(),
            loads: BTreeMap::new(),
            now_loads: BTreeMap::new(),
            links: BTreeMap::new(),
            now_links: BTreeMap::new(),
            history: BTreeMap::new(),
            from: Duration::ZERO,
            report: Report {
                headroom: 1.0,
                link: 1.0,
                ..Report::default()
            },
            counted: 0.0,
            shed: 0.0,
        }
    }

    /// Discards earlier results: hosts that start have no grants yet and refuse more.
    pub fn reset(&mut self, now: Duration) {
        self.from = now;
        self.counted = 0.0;
        self.shed = 0.0;
        self.report = Report {
            headroom: 1.0,
            link: 1.0,
            ..Report::default()
        };
    }

    pub fn refused(&mut self, now: Duration) {
        if now > self.from {
            self.counted += 1.0;
            self.shed += 1.0;
        }
    }

    /// Records requests that reached a region; those beyond its slots are shed there.
    pub fn served(&mut self, now: Duration, count: f64, used: f64, slots: f64) {
        if now > self.from {
            self.counted += count;
            self.shed += count * ((used - slots) / used.max(1e-9)).max(0.0);
        }
    }

    pub fn load(
        &mut self,
        (service, region): (&Arc<str>, &Arc<str>),
        (own, granted): (f64, f64),
        slots: f64,
        headroom: f64,
    ) {
        // A failed region has no headroom to lose; requests sent there count as shed.
        if slots <= 0.0 {
            return;
        }
        let limit = slots * (1.0 - headroom);
        let key = (service.clone(), region.clone());
        self.now_loads.insert(key, (own, granted, limit, slots));
    }

    /// Records the bytes of one request between regions, in both directions.
    pub fn link(&mut self, from: &Arc<str>, to: &Arc<str>, (request, answer): (f64, f64)) {
        if from != to {
            let there = (from.clone(), to.clone());
            *self.now_links.entry(there).or_default() += request;
            let back = (to.clone(), from.clone());
            *self.now_links.entry(back).or_default() += answer;
        }
    }

    /// Ends a tick and evaluates the windows that end with it.
    pub fn tick(&mut self, now: Duration) {
        let loads = std::mem::take(&mut self.now_loads);
        let links = std::mem::take(&mut self.now_links);
        if now <= self.from {
            return;
        }
        for (key, load) in loads {
            let window = &mut self.loads.entry(key).or_default().ticks;
            window.push_back(load);
            if window.len() > WINDOW {
                window.pop_front();
            }
            if window.len() == WINDOW {
                let sum = |f: fn(&Load) -> f64| window.iter().map(f).sum::<f64>();
                let (own, granted) = (sum(|w| w.0), sum(|w| w.1));
                let (limit, slots) = (sum(|w| w.2), sum(|w| w.3).max(1e-9));
                let free = 1.0 - (own + granted) / slots;
                self.report.headroom = self.report.headroom.min(free);
                let over = granted - (limit - own).max(0.0);
                self.report.over = self.report.over.max(over / slots);
            }
        }
        let pairs: Vec<(Arc<str>, Arc<str>, f64, f64)> = self
            .config
            .links
            .values()
            .flat_map(|link| {
                let bytes = link.bytes_per_s.get() as f64;
                let one = (link.from.clone(), link.to.clone(), bytes, link.headroom);
                let other = (link.to.clone(), link.from.clone(), bytes, link.headroom);
                [one, other]
            })
            .collect();
        for (from, to, bytes, headroom) in pairs {
            let key = (from, to);
            let used = links.get(&key).copied().unwrap_or(0.0);
            let window = self.links.entry(key).or_default();
            window.push_back(used);
            if window.len() > WINDOW {
                window.pop_front();
            }
            if window.len() == WINDOW {
                let capacity = bytes * TICK.as_secs_f64() * WINDOW as f64;
                let fraction = window.iter().sum::<f64>() / capacity;
                self.report.link = self.report.link.min(1.0 - fraction);
                let over = fraction - (1.0 - headroom);
                self.report.link_over = self.report.link_over.max(over);
            }
        }
        self.report.shed = self.shed / self.counted.max(1.0);
    }

    /// Compares the shares with those of up to a window ago and with the desired split.
    pub fn shares(&mut self, now: Duration, shares: &SplitTable, desired_splits: &DesiredSplits) {
        let mut max_distance = 0.0_f64;
        for (service, flows) in shares {
            for (callers, split) in flows {
                let Some(desired) = desired_splits.find(service, callers) else {
                    continue;
                };
                max_distance = max_distance.max(distance(split, &desired.shares));
                let key = (service.clone(), callers.clone());
                let history = self.history.entry(key).or_default();
                while history
                    .pop_front_if(|(at, _)| now.saturating_sub(*at) > desired.window)
                    .is_some()
                {}
                if split.is_empty() {
                    continue;
                }
                for (_, before) in history.iter() {
                    let moved = distance(split, before) / desired.cap;
                    self.report.moved = self.report.moved.max(moved);
                }
                history.push_back((now, split.clone()));
            }
        }
        if now > self.from {
            match (max_distance <= 0.01, self.report.settled) {
                (true, None) => self.report.settled = Some(now.saturating_sub(self.from)),
                (false, Some(_)) => self.report.settled = None,
                _ => {}
            }
        }
    }
}

/// Returns the fraction of the traffic that differs between two splits.
fn distance(a: &RegionShares, b: &RegionShares) -> f64 {
    let excess = |(region, share): (&Arc<str>, &f64)| {
        (share - b.get(region).copied().unwrap_or(0.0)).max(0.0)
    };
    a.iter().map(excess).sum()
}
