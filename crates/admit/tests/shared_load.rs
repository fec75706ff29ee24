//! The load of targets as hosts tell it to each other: many hosts, each of which sees a part.

use std::{collections::VecDeque, time::Duration};

use dunlinrock_admit::direct::{LoadCollector, LoadFigure, Reporter, SaidLoad, TargetLoad};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

const SLOTS: u32 = 9;
const PERIOD: Duration = Duration::from_millis(300);

/// Maximum age of the collector's sums.
const SUM_AGE: Duration = Duration::from_millis(50);

/// Time after which figures no longer count.
const EXPIRY: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host(host: u64) -> Reporter {
    Reporter { host, region: None }
}

fn region(region: u64, host: u64) -> Reporter {
    let region = Some(region);
    Reporter { host, region }
}

fn figure(target: u32, in_flight: u16) -> LoadFigure {
    LoadFigure {
        target,
        in_flight,
        said: None,
    }
}

fn said(target: u32, total: u16, pace: Option<u16>, age: Duration) -> LoadFigure {
    let said = Some(SaidLoad { total, pace, age });
    LoadFigure {
        said,
        ..figure(target, 0)
    }
}

/// Returns the other hosts' requests at target 1 that a host is told.
fn told(collector: &mut LoadCollector, host: u64, now: Duration) -> u16 {
    let told = collector.answer(host, [(1, SLOTS)].into_iter(), now);
    told.first().map_or(0, |told| told.others)
}

/// What befalls one of the hosts, or a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A host reports nothing any more, and its requests end with it.
    Killed,
    /// A host neither reports nor sends, and its requests stay.
    Paused,
    /// A host reports nothing, and sends on.
    CutOff,
    /// A host of an earlier release, which never reports.
    Earlier,
    /// Each report of a host arrives a second late.
    Late,
    /// Every second host reports to another collector.
    TwoCollectors,
}

/// Requests of some hosts at one target, and its changes since the oldest report that may count.
struct World {
    rng: StdRng,
    in_flight: Vec<u16>,
    ends: Vec<(Duration, usize)>,
    changes: VecDeque<Duration>,
}

impl World {
    fn open(hosts: usize) -> World {
        World {
            rng: StdRng::seed_from_u64(6),
            in_flight: vec![0; hosts],
            ends: Vec::new(),
            changes: VecDeque::new(),
        }
    }

    /// Starts and ends requests; those of `stopped` stay as they are.
    fn step(&mut self, stopped: Option<usize>, now: Duration) {
        if self.rng.random_bool(0.06) {
            let host = self.rng.random_range(0..self.in_flight.len());
            if Some(host) != stopped {
                let run = ms(self.rng.random_range(1_000..3_000));
                self.ends.push((now + run, host));
                self.in_flight[host] += 1;
                self.changes.push_back(now);
            }
        }
        for (_, host) in self.ends.extract_if(.., |(at, _)| *at <= now) {
            if Some(host) != stopped {
                self.in_flight[host] -= 1;
                self.changes.push_back(now);
            }
        }
        while self
            .changes
            .front()
            .is_some_and(|at| *at + PERIOD + SUM_AGE < now)
        {
            self.changes.pop_front();
        }
    }

    fn all(&self) -> u16 {
        self.in_flight.iter().sum()
    }
}

/// Load of callers that fill a target from 65 hosts, each of which has at most a request there:
/// what a host is told differs from the truth by no more than what has changed within a period,
/// and by the requests of the host that a fault befalls.
#[rstest]
#[case(Fault::None)]
#[case(Fault::Killed)]
#[case(Fault::Paused)]
#[case(Fault::CutOff)]
#[case(Fault::Earlier)]
#[case(Fault::Late)]
#[case(Fault::TwoCollectors)]
fn sums_follow_the_requests_of_all_hosts(#[case] fault: Fault) {
    const HOSTS: usize = 65;
    const STRUCK: usize = 7;
    let struck_from = ms(4_000);
    let mut world = World::open(HOSTS);
    let mut collectors = [LoadCollector::open(), LoadCollector::open()];
    let mut held: VecDeque<(Duration, LoadFigure)> = VecDeque::new();
    let (mut checked, mut late_by) = (0, 0);
    for now in (0..12_000).step_by(10).map(ms) {
        let is_struck = now >= struck_from;
        let is_stopped = is_struck && matches!(fault, Fault::Killed | Fault::Paused);
        world.step(is_stopped.then_some(STRUCK), now);
        if is_struck && fault == Fault::Killed {
            world.in_flight[STRUCK] = 0;
        }
        if is_struck
            && fault == Fault::Late
            && held.front().is_some_and(|(at, _)| *at + EXPIRY <= now)
        {
            let (sent, figure) = held.pop_front().unwrap();
            assert!(!collectors[0].record(host(STRUCK as u64), sent, &[figure], now));
            late_by += 1;
        }
        for n in 0..HOSTS {
            let phase = ms(n as u64 * 10 % 300 / 10 * 10);
            if now < phase || !(now - phase).as_millis().is_multiple_of(PERIOD.as_millis()) {
                continue;
            }
            let figure = figure(1, world.in_flight[n]);
            let is_silent = match fault {
                Fault::None | Fault::TwoCollectors => false,
                Fault::Earlier => n == STRUCK,
                Fault::Killed | Fault::Paused | Fault::CutOff | Fault::Late => {
                    n == STRUCK && is_struck
                }
            };
            let side = usize::from(fault == Fault::TwoCollectors && n % 2 == 1);
            match (is_silent, fault) {
                (false, _) => assert!(collectors[side].record(host(n as u64), now, &[figure], now)),
                (true, Fault::Late) => held.push_back((now, figure)),
                (true, _) => {}
            }
            // Until a silent host's last report has expired, it is among the error.
            let is_settled =
                now > ms(2_000) && !(now >= struck_from && now < struck_from + EXPIRY + PERIOD);
            if is_silent || !is_settled {
                continue;
            }
            let others = told(&mut collectors[side], n as u64, now);
            let truth = world.all() - world.in_flight[n];
            let missing = match (fault, side) {
                (Fault::None | Fault::Killed, _) => 0,
                (Fault::TwoCollectors, side) => {
                    let other = world.in_flight.iter().skip(1 - side).step_by(2);
                    other.sum::<u16>()
                }
                _ => world.in_flight[STRUCK],
            };
            let changes = world.changes.len() as u16;
            assert!(
                others <= truth + changes,
                "{others} told of {truth} at {now:?}"
            );
            let is_worth =
                u32::from(world.all()) * 10 >= SLOTS * 6 + 10 * u32::from(changes + missing);
            if is_worth {
                let least = truth.saturating_sub(missing + changes);
                assert!(others >= least, "{others} told of {truth} at {now:?}");
                checked += 1;
            }
        }
    }
    assert!(
        checked > 100 || fault == Fault::TwoCollectors,
        "only {checked} were checked"
    );
    assert_eq!(late_by > 20, fault == Fault::Late);
}

/// Guards against requests of a host that is gone, counted for longer than figures last.
#[test]
fn a_silent_host_counts_for_a_second() {
    let mut collector = LoadCollector::open();
    for (n, at) in [(1, ms(0)), (2, ms(0)), (1, ms(900))] {
        collector.record(host(n), at, &[figure(1, 6)], at);
    }
    assert_eq!(told(&mut collector, 1, ms(950)), 6);
    assert_eq!(told(&mut collector, 1, ms(1_050)), 0);
    assert_eq!(told(&mut collector, 2, ms(1_050)), 6);
    assert_eq!(collector.reporters(ms(1_050)), 1);
}

/// Guards against an old message that replaces a newer one.
#[test]
fn a_report_that_was_overtaken_does_not_count() {
    let mut collector = LoadCollector::open();
    assert!(collector.record(host(1), ms(600), &[figure(1, 9)], ms(600)));
    assert!(!collector.record(host(1), ms(300), &[figure(1, 0)], ms(610)));
    assert_eq!(told(&mut collector, 2, ms(620)), 9);
}

/// Hosts of an earlier release do not report, but a target's own word contains their requests.
#[test]
fn a_target_says_what_hosts_of_an_earlier_release_send() {
    let mut collector = LoadCollector::open();
    let figures = [said(1, 12, None, ms(0)), figure(2, 1)];
    collector.record(host(1), ms(0), &figures, ms(0));
    assert_eq!(told(&mut collector, 2, ms(0)), 12);
    assert_eq!(told(&mut collector, 2, ms(500)), 6);
    assert_eq!(told(&mut collector, 2, ms(1_000)), 0);
}

/// While two hosts collect for a region, each reports a part to the other regions: the last of the
/// parts counts, never both.
#[test]
fn a_region_with_two_collectors_counts_once() {
    let mut collector = LoadCollector::open();
    for (n, at) in (0..10).map(|n| (n, ms(150 * n))) {
        // Their machines booted at different times.
        let sent = at + ms(50_000 * (n % 2));
        let counts = collector.record(region(9, n % 2), sent, &[figure(1, 8)], at);
        assert!(counts, "report {n}");
        assert_eq!(told(&mut collector, 3, at), 8);
    }
    assert_eq!(collector.region_figures(ms(0), ms(1_400)), []);
}

/// A region's sums hold what its hosts report, and what its targets said since the last time.
#[test]
fn a_region_reports_its_own_hosts() {
    let mut collector = LoadCollector::open();
    collector.record(
        host(1),
        ms(0),
        &[figure(1, 2), said(2, 3, Some(250), ms(10))],
        ms(100),
    );
    collector.record(host(2), ms(0), &[figure(1, 3)], ms(100));
    collector.record(region(9, 5), ms(0), &[figure(1, 7)], ms(100));
    let news = said(2, 3, Some(250), ms(10));
    assert_eq!(
        collector.region_figures(ms(0), ms(100)),
        [figure(1, 5), news]
    );
    // Said before the region's last report, and told after it.
    let news = said(2, 4, Some(250), ms(55));
    collector.record(host(1), ms(50), &[figure(1, 2), news], ms(150));
    let figures = collector.region_figures(ms(140), ms(150));
    assert_eq!(figures, [figure(1, 5), news]);
    assert_eq!(collector.region_figures(ms(150), ms(200)), [figure(1, 5)]);
}

/// Guards against figures of a broken host or target, and against a collector that they fill.
#[test]
fn absurd_figures_are_bounded() {
    let mut collector = LoadCollector::open();
    let many: Vec<_> = (0..20_000)
        .map(|t| LoadFigure {
            in_flight: u16::MAX,
            ..said(t, u16::MAX, Some(u16::MAX), ms(0))
        })
        .collect();
    let counted = (0..2_000).filter(|n| collector.record(host(*n), ms(0), &many, ms(0)));
    assert_eq!(counted.count(), 512);
    let told = collector.answer(1, (0..20_000).map(|t| (t, SLOTS)), ms(0));
    assert_eq!(told.len(), 1_024);
    let mut load = TargetLoad::open();
    load.record_told(told.first(), ms(0));
    assert_eq!(load.others(ms(0)), 1_000);
    assert!((load.pace(ms(0)) - 20.0).abs() < 1e-9);
    load.record_own(u32::MAX, Some(u32::MAX), u32::MAX, ms(10));
    assert_eq!(load.others(ms(10)), 0);
    load.record_own(0, Some(0), 0, ms(20));
    assert!(load.pace(ms(20)) > 0.0);
}

/// A host's own observation counts while it is the newer one; what it is told adds to it, and ends.
#[test]
fn the_fresher_figure_counts() {
    let told = |others| dunlinrock_admit::direct::ToldLoad {
        target: 1,
        others,
        pace: None,
    };
    let mut load = TargetLoad::open();
    load.record_told(Some(&told(9)), ms(100));
    assert_eq!(load.others(ms(300)), 9);
    assert_eq!(load.others(ms(850)), 5);
    assert_eq!(load.others(ms(1_100)), 0);
    load.record_own(3, None, 1, ms(300));
    assert_eq!(load.others(ms(300)), 2);
    load.record_told(Some(&told(9)), ms(400));
    assert_eq!(load.others(ms(400)), 9);
    load.record_told(Some(&told(1)), ms(350));
    assert_eq!(load.others(ms(400)), 9, "an answer that was overtaken");
    load.record_told(None, ms(700));
    assert_eq!(load.others(ms(700)), 1, "its own, after 0.4 s");
}

/// Load of targets on machines that others slow down for a moment: hosts learn of it from each
/// other, and forget it in 0.6 s.
#[test]
fn a_slow_target_is_known_to_all_and_forgotten() {
    let mut collector = LoadCollector::open();
    let figures = [said(1, 1, Some(250), ms(50)), said(2, 1, Some(105), ms(50))];
    collector.record(host(1), ms(100), &figures, ms(100));
    let targets = || [(1, SLOTS), (2, SLOTS)].into_iter();
    let told = collector.answer(2, targets(), ms(150));
    assert_eq!(told.len(), 1, "the other is at its usual pace");
    let mut load = TargetLoad::open();
    load.record_told(told.first(), ms(150));
    assert!(
        (load.pace(ms(350)) - 1.75).abs() < 1e-9,
        "after half of 0.6 s"
    );
    assert!((load.pace(ms(650)) - 1.0).abs() < 1e-9);
    load.record_own(1, Some(100), 1, ms(200));
    assert!(
        (load.pace(ms(200)) - 1.0).abs() < 1e-9,
        "its own word is newer"
    );
}
