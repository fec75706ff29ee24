//! Adds up what the hosts of a region, and the collectors of other regions, report.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use super::{EXPIRY, LoadFigure, MAX_REQUESTS, SaidLoad, ToldLoad, USUAL_PACE};

/// Rate at which two hosts' clocks may drift apart, in seconds per second.
const MAX_DRIFT: f64 = 0.001;

/// Maximum number of hosts and regions whose reports are kept; a report of another one is dropped.
const MAX_REPORTERS: usize = 512;

/// Maximum number of targets in a report; further ones are dropped.
const MAX_FIGURES: usize = 1024;

/// Maximum number of targets whose own word is kept.
const MAX_SAID: usize = 4096;

/// How long a silent reporter's delay is remembered, so that a message of its that was held up can
/// be told from a new one.
const REPORTER_MEMORY: Duration = Duration::from_secs(10);

/// Maximum age of the sums. One addition serves all hosts that ask meanwhile.
const SUM_AGE: Duration = Duration::from_millis(50);

/// Fraction of a target's slots from which on its load is worth telling.
const NEARLY_FULL: f64 = 0.6;

/// Pace from which on a target is slow, in percent.
const SLOW_PACE: u16 = 120;

/// Who reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reporter {
    /// Hash of the reporting host's name.
    pub host: u64,
    /// Hash of the name of the region whose sums it reports as that region's collector; `None` for
    /// its own requests.
    pub region: Option<u64>,
}

/// Whose requests a report is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Host(u64),
    Region(u64),
}

impl Reporter {
    fn subject(self) -> Subject {
        self.region
            .map_or(Subject::Host(self.host), Subject::Region)
    }
}

/// The last report of a host or region.
#[derive(Clone, Debug)]
struct Report {
    /// Hash of the reporting host's name.
    host: u64,
    /// When it was sent, on this host's clock, as far as the delays of earlier ones tell.
    at: Duration,
    /// When it was sent, on the reporter's clock.
    sent: Duration,
    /// Smallest difference between the two clocks at an arrival, in seconds.
    offset: f64,
    /// Requests in flight by target.
    in_flight: BTreeMap<u32, u16>,
}

/// What a target said, and when.
#[derive(Clone, Copy, Debug)]
struct Said {
    total: u16,
    pace: Option<u16>,
    at: Duration,
    /// When a report told it.
    heard_at: Duration,
    /// Whether it said so to a host of this region.
    is_local: bool,
}

impl Said {
    fn seen(&self, now: Duration) -> SaidLoad {
        SaidLoad {
            total: self.total,
            pace: self.pace,
            age: now.saturating_sub(self.at),
        }
    }
}

/// Requests in flight at a target.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    /// Of the hosts of this region.
    local: u32,
    /// Of all hosts.
    all: u32,
}

/// Reports of a region's hosts and of other regions.
///
/// Invariants: of each reporter only the last report counts, and none that is older than `EXPIRY`;
/// `reports`, their figures and `said` are bounded.
#[derive(Clone, Debug, Default)]
pub struct LoadCollector {
    reports: BTreeMap<Subject, Report>,
    said: BTreeMap<u32, Said>,
    sums: BTreeMap<u32, Sum>,
    /// When `sums` was computed; `None` if it has to be.
    summed_at: Option<Duration>,
}

impl LoadCollector {
    /// Opens a collector that has no reports.
    pub fn open() -> LoadCollector {
        LoadCollector::default()
    }

    /// Records a report that was sent at `sent` on the reporter's clock. Returns whether it counts:
    /// one that was held up for as long as figures last does not, nor one that was overtaken.
    pub fn record(
        &mut self,
        reporter: Reporter,
        sent: Duration,
        figures: &[LoadFigure],
        now: Duration,
    ) -> bool {
        let offset = now.as_secs_f64() - sent.as_secs_f64();
        let is_full = self.reports.len() >= MAX_REPORTERS;
        let new = Report {
            host: reporter.host,
            at: now,
            sent,
            offset,
            in_flight: BTreeMap::new(),
        };
        let report = match self.reports.entry(reporter.subject()) {
            Entry::Vacant(_) if is_full => return false,
            Entry::Vacant(entry) => entry.insert(new),
            Entry::Occupied(entry) => {
                let report = entry.into_mut();
                if !report.has_clock(reporter.host, offset) {
                    *report = new;
                }
                report
            }
        };
        if sent < report.sent {
            return false;
        }
        let delay = |least: f64| Duration::try_from_secs_f64(offset - least).unwrap_or_default();
        if delay(report.offset) >= EXPIRY {
            return false;
        }
        // Without this, the drift of two clocks would count as delay, more and more.
        let drift = now.saturating_sub(report.at).as_secs_f64() * MAX_DRIFT;
        report.offset = (report.offset + drift).min(offset);
        let delay = delay(report.offset);
        report.sent = sent;
        report.at = now.saturating_sub(delay);
        let figures = &figures[..figures.len().min(MAX_FIGURES)];
        let busy = figures.iter().filter(|f| f.in_flight > 0);
        report.in_flight = busy
            .map(|f| (f.target, f.in_flight.min(MAX_REQUESTS)))
            .collect();
        let at = report.at;
        let is_local = reporter.region.is_none();
        for figure in figures {
            if let Some(said) = figure.said.filter(|said| said.age < EXPIRY) {
                let said = Said {
                    total: said.total,
                    pace: said.pace,
                    at: at.saturating_sub(said.age),
                    heard_at: now,
                    is_local,
                };
                self.record_said(figure.target, said);
            }
        }
        true
    }

    fn record_said(&mut self, target: u32, said: Said) {
        let is_full = self.said.len() >= MAX_SAID;
        match self.said.entry(target) {
            Entry::Vacant(entry) if !is_full => {
                entry.insert(said);
            }
            Entry::Occupied(mut entry) if entry.get().at < said.at => {
                entry.insert(said);
            }
            _ => {}
        }
    }

    /// Returns what a host is told of the targets, given the hash and the slots of each.
    ///
    /// Its own requests are not among those of others; those that it has sent or finished since its
    /// last report are the error.
    pub fn answer(
        &mut self,
        host: u64,
        targets: impl Iterator<Item = (u32, u32)>,
        now: Duration,
    ) -> Vec<ToldLoad> {
        self.refresh(now);
        let report = self.reports.get(&Subject::Host(host));
        let report = report.filter(|report| report.is_fresh(now));
        let own = |target: &u32| report.and_then(|r| r.in_flight.get(target).copied());
        let told = targets.filter_map(|(target, slots)| {
            let own = own(&target).unwrap_or_default();
            self.tell(target, slots, own, now)
        });
        told.collect()
    }

    /// Returns what is worth telling of a target to a host with `own` requests in flight at it.
    fn tell(&self, target: u32, slots: u32, own: u16, now: Duration) -> Option<ToldLoad> {
        let said = self.said.get(&target).map(|said| said.seen(now));
        let sum = self.sums.get(&target).map_or(0, |sum| sum.all);
        let said_total = said.map_or(0, |said| said.remaining_total());
        let total = sum.max(said_total.into());
        let is_full = f64::from(total) >= f64::from(slots) * NEARLY_FULL;
        let pace = said.and_then(|said| {
            let is_slow = said.pace.is_some_and(|pace| pace >= SLOW_PACE) && said.age < EXPIRY;
            is_slow.then_some((said.pace.unwrap_or(USUAL_PACE), said.age))
        });
        let others = u16::try_from(total).unwrap_or(u16::MAX).saturating_sub(own);
        let others = if is_full { others } else { 0 };
        (others > 0 || pace.is_some()).then_some(ToldLoad {
            target,
            others,
            pace,
        })
    }

    /// Returns the sums of this region's hosts, and what they told after `since` that targets
    /// said, for the
    /// collectors of other regions.
    pub fn region_figures(&mut self, since: Duration, now: Duration) -> Vec<LoadFigure> {
        self.refresh(now);
        let new = |said: &&Said| said.is_local && said.heard_at > since;
        let mut figures: BTreeMap<u32, LoadFigure> = BTreeMap::new();
        for (&target, sum) in self.sums.iter().filter(|(_, sum)| sum.local > 0) {
            let in_flight = u16::try_from(sum.local).unwrap_or(u16::MAX);
            let said = self.said.get(&target).filter(new);
            let said = said.map(|said| said.seen(now));
            figures.insert(
                target,
                LoadFigure {
                    target,
                    in_flight,
                    said,
                },
            );
        }
        for (&target, said) in self.said.iter().filter(|(_, said)| new(said)) {
            figures.entry(target).or_insert_with(|| LoadFigure {
                target,
                in_flight: 0,
                said: Some(said.seen(now)),
            });
        }
        figures.into_values().collect()
    }

    /// Returns the number of hosts and regions whose last report counts.
    pub fn reporters(&self, now: Duration) -> usize {
        self.reports.values().filter(|r| r.is_fresh(now)).count()
    }

    fn refresh(&mut self, now: Duration) {
        let is_current = |at: Duration| now.saturating_sub(at) < SUM_AGE;
        if self.summed_at.is_some_and(is_current) {
            return;
        }
        self.summed_at = Some(now);
        self.reports
            .retain(|_, r| now.saturating_sub(r.at) < REPORTER_MEMORY);
        self.said
            .retain(|_, said| now.saturating_sub(said.at) < EXPIRY);
        self.sums.clear();
        for (subject, report) in self.reports.iter().filter(|(_, r)| r.is_fresh(now)) {
            let is_local = matches!(subject, Subject::Host(_));
            for (&target, &in_flight) in &report.in_flight {
                let sum = self.sums.entry(target).or_default();
                sum.all += u32::from(in_flight);
                if is_local {
                    sum.local += u32::from(in_flight);
                }
            }
        }
    }
}

impl Report {
    /// Whether a report of this host, with this difference between the clocks, can be compared with
    /// the last one: a region may have another collector now, and a host another machine.
    fn has_clock(&self, host: u64, offset: f64) -> bool {
        self.host == host && (offset - self.offset).abs() < REPORTER_MEMORY.as_secs_f64()
    }

    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) < EXPIRY
    }
}
