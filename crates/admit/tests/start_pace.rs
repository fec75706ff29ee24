//! Targets that have started or recovered: what all hosts together send them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dunlinrock_admit::direct::{
    ListedTarget, Process, Start, StartEvidence, StartPaces, StartResult, least_chance, place,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

/// Length of a ramp.
const RAMP: Duration = Duration::from_secs(4);

/// Objects of one target, and requests a second for all of them.
const OBJECTS: u64 = 40;
const RATE: u64 = 40;

/// Step of the loops.
const STEP_MS: u64 = 25;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(id: &str, born: u64, cold_until: u64) -> ListedTarget {
    ListedTarget {
        process: Process {
            id: id.into(),
            born,
        },
        cold_until: ms(cold_until),
        starts_cold: false,
    }
}

/// Hosts that know target `a` from their start on.
struct Hosts {
    paces: Vec<StartPaces>,
    rng: StdRng,
}

impl Hosts {
    fn open(count: usize) -> Hosts {
        let rng = StdRng::seed_from_u64(7);
        let paces = vec![StartPaces::open(); count];
        let mut hosts = Hosts { paces, rng };
        assert_eq!(hosts.list(&[listed("a", 1, 0)], true, 0), None);
        hosts
    }

    /// Shows the listed targets to all hosts; returns the start that each of them sees last.
    fn list(&mut self, all: &[ListedTarget], is_complete: bool, at: u64) -> Option<(Start, u32)> {
        let mut last = None;
        for paces in &mut self.paces {
            let begun = paces.observe(all.iter().cloned(), RAMP, is_complete, ms(at));
            last = begun.last().map(|ramp| (ramp.start, ramp.setbacks));
        }
        last
    }

    /// Offers a target its requests in a period, each at a random host and answered with `result`
    /// after 250 ms; returns how many it gets in each quarter of a second, as a share of the offer.
    fn offer(&mut self, id: &str, (from, to): (u64, u64), result: StartResult) -> Vec<f64> {
        let mut got = vec![0.0; ((to - from) / 250) as usize];
        let mut answers: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        let per_step = RATE * 25 * STEP_MS / 1000;
        for at in (from..to).step_by(STEP_MS as usize) {
            for host in answers.remove(&at).into_iter().flatten() {
                let evidence = StartEvidence {
                    result: Some(result),
                    load: None,
                };
                self.paces[host].record(&"s".into(), id, evidence, ms(at));
            }
            // Each request counts a 25th, for smooth shares.
            for _ in 0..per_step {
                let host = self.rng.random_range(0..self.paces.len());
                let object = place(self.rng.random_range(0..OBJECTS), 3);
                let ramp = self.paces[host].get(id);
                let chance = ramp.map_or(1.0, |ramp| ramp.chance(object, 1.0, ms(at)));
                if self.rng.random::<f64>() < chance {
                    got[((at - from) / 250) as usize] += 4.0 / (RATE * 25) as f64;
                    if self.rng.random_ratio(1, 25) {
                        answers.entry(at + 250).or_default().push(host);
                    }
                }
            }
            for paces in &mut self.paces {
                paces.take_ended(ms(at));
            }
        }
        got
    }

    fn each(&mut self, act: impl FnMut(&mut StartPaces)) {
        self.paces.iter_mut().for_each(act);
    }
}

/// Asserts that a target gets few requests at first, more and more, and all of them in the end.
fn assert_ramp(got: &[f64], first: f64) {
    assert!(got[0] < first, "{got:?}");
    assert!(got[0] > 0.0, "idle: {got:?}");
    let rises = got.windows(5).all(|w| w[4] > w[0] - 0.1);
    let jumps = got.windows(2).any(|w| w[1] > w[0] + 0.4);
    assert!(rises && !jumps, "{got:?}");
    assert!(got[got.len() - 1] > 0.95, "{got:?}");
}

/// Guards against a target that is flooded after a start, or left idle, in each way to start.
#[rstest]
fn requests_come_home_step_by_step(#[values(8, 300)] count: usize) {
    let starts = [
        ("new", listed("b", 2, 0), Start::New),
        ("restarted under its id", listed("a", 2, 0), Start::New),
        ("new and cold", listed("b", 2, 2000), Start::Cold),
    ];
    for (case, target, start) in starts {
        let mut hosts = Hosts::open(count);
        let id = Arc::clone(&target.process.id);
        let begun = hosts.list(&[listed("a", target.process.born, 0), target], true, 1000);
        assert_eq!(begun, Some((start, 0)), "{case}");
        assert_ramp(&hosts.offer(&id, (1000, 8000), StartResult::Good), 0.35);
    }
    for (case, cold_until, start) in [
        ("evacuated and back", 13_000, Start::Cold),
        ("entry lapsed and back", 0, Start::Recovered),
    ] {
        let mut hosts = Hosts::open(count);
        hosts.list(&[], true, 1000);
        let begun = hosts.list(&[listed("a", 1, cold_until)], true, 11_000);
        assert_eq!(begun, Some((start, 0)), "{case}");
        let first = if start == Start::Cold { 0.35 } else { 0.7 };
        assert_ramp(
            &hosts.offer("a", (11_000, 17_000), StartResult::Good),
            first,
        );
    }
    // Back from an ejection, from lost links, and after a pause.
    let mut hosts = Hosts::open(count);
    hosts.each(|paces| {
        paces.fail("a", ms(1000));
        assert!(paces.recover("a", ms(3000), RAMP).is_some());
    });
    assert_ramp(&hosts.offer("a", (3000, 8000), StartResult::Good), 0.7);
}

/// Guards against hosts that hold back requests for targets that ran before them.
#[rstest]
fn targets_that_ran_before_a_host_have_no_ramp(#[values(8, 300)] count: usize) {
    let mut hosts = Hosts::open(count);
    assert_eq!(hosts.list(&[listed("a", 1, 0)], true, 10), None);
    assert_eq!(hosts.offer("a", (0, 1000), StartResult::Good).len(), 4);
    hosts.each(|paces| assert!(paces.is_idle()));
    // One that is cold has just started.
    let mut fresh = StartPaces::open();
    let all = [listed("a", 1, 0), listed("b", 1, 3000)].into_iter();
    assert_eq!(fresh.observe(all.clone().take(1), RAMP, false, ms(10)), []);
    let begun = fresh.observe(all, RAMP, true, ms(20));
    assert_eq!(
        begun.iter().map(|ramp| ramp.start).collect::<Vec<_>>(),
        [Start::Cold]
    );
}

/// Guards against a target that fails and gets more and more all the same, or nothing any more.
#[rstest]
fn bad_answers_lower_the_pace(#[values(8, 300)] count: usize) {
    let share = |result| {
        let mut hosts = Hosts::open(count);
        hosts.list(&[listed("a", 2, 0)], true, 0);
        let got = hosts.offer("a", (0, 4000), result);
        got.iter().sum::<f64>() / got.len() as f64
    };
    let (good, bad) = (share(StartResult::Good), share(StartResult::Bad));
    assert!(bad > 0.05 && bad < good - 0.02, "{good} {bad}");
    // A host that hears of it sends fewer at once, and answers that end together count once.
    let mut hosts = Hosts::open(1);
    hosts.list(&[listed("a", 2, 0)], true, 0);
    let part = |hosts: &Hosts, at| hosts.paces[0].get("a").unwrap().part(ms(at));
    let good = StartEvidence {
        result: Some(StartResult::Good),
        load: None,
    };
    hosts.paces[0].record(&"s".into(), "a", good, ms(100));
    let before = part(&hosts, 3000);
    for at in [3000, 3010, 3020, 3600, 3610] {
        let load = Some(1.2);
        let evidence = StartEvidence {
            result: Some(StartResult::Good),
            load,
        };
        hosts.paces[0].record(&"s".into(), "a", evidence, ms(at));
    }
    // One alone stops it, a second one halves it.
    assert!(
        (part(&hosts, 3610) - before / 2.0).abs() < 0.03,
        "{}",
        part(&hosts, 3610)
    );
}

/// Guards against a whole service that is full and whose new targets never get their part.
#[test]
fn a_load_like_that_of_the_others_is_good() {
    let mut hosts = Hosts::open(1);
    let paces = &mut hosts.paces[0];
    paces.observe(
        [listed("a", 1, 0), listed("b", 2, 0)].into_iter(),
        RAMP,
        true,
        ms(0),
    );
    let report = |load| StartEvidence {
        result: Some(StartResult::Good),
        load: Some(load),
    };
    for _ in 0..50 {
        assert_eq!(paces.record(&"s".into(), "a", report(2.0), ms(500)), None);
    }
    assert_eq!(paces.record(&"s".into(), "b", report(2.5), ms(1000)), None);
    assert_eq!(paces.record(&"s".into(), "b", report(3.5), ms(1000)), None);
    assert!(
        paces
            .record(&"s".into(), "b", report(3.5), ms(1600))
            .is_some()
    );
}

/// Guards against a target that goes up and down by turns and is flooded each time.
#[rstest]
fn each_setback_lowers_the_next_start(#[values(8, 300)] count: usize) {
    let mut hosts = Hosts::open(count);
    let mut shares = Vec::new();
    for turn in 0..3 {
        let at = 1000 + turn * 3000;
        let begun = hosts.list(&[listed("b", 10 + turn, 0)], true, at);
        assert_eq!(begun, Some((Start::New, turn as u32)));
        let got = hosts.offer("b", (at, at + 2000), StartResult::Good);
        shares.push(got.iter().sum::<f64>());
        hosts.list(&[], true, at + 2000);
    }
    assert!(
        shares[1] < shares[0] * 0.8 && shares[2] < shares[1] * 0.8,
        "{shares:?}"
    );
    // After a start that does well it begins as a new one.
    hosts.list(&[listed("b", 20, 0)], true, 11_000);
    hosts.list(&[], true, 40_000);
    let begun = hosts.list(&[listed("b", 21, 0)], true, 41_000);
    assert_eq!(begun, Some((Start::New, 0)));
}

/// Guards against a domain that returns, or many added targets, whose requests flood the few others.
#[test]
fn the_ramp_gives_way_where_the_others_have_no_room() {
    assert_eq!(least_chance(0.0, 10.0, None), 1.0);
    for (ramping, all) in [
        (1.0, 10.0),
        (5.0, 10.0),
        (7.0, 10.0),
        (9.0, 10.0),
        (10.0, 10.0),
    ] {
        for load in [None, Some(0.0), Some(0.3), Some(0.5), Some(0.65), Some(1.5)] {
            let least = least_chance(ramping, all, load);
            let (others, used) = (all - ramping, load.unwrap_or(0.25));
            let moved = ramping * (1.0 - least) * used;
            assert!(
                moved <= others * (0.5 - used).max(0.0) + 1e-9,
                "{ramping} {load:?}: {least}"
            );
            assert!(moved <= others * used + 1e-9, "{ramping} {load:?}: {least}");
        }
    }
    // Few targets in their ramps, beside idle ones, do not give way.
    assert_eq!(least_chance(1.0, 10.0, Some(0.4)), 0.0);
}

/// Guards against hosts that hear of a target at different times, or hear different answers, and
/// disagree on its objects for long.
#[test]
fn hosts_disagree_within_bounds() {
    let start = |at| {
        let mut paces = StartPaces::open();
        paces.observe(std::iter::empty(), RAMP, true, ms(0));
        paces.observe([listed("b", 2, 0)].into_iter(), RAMP, true, ms(at));
        paces
    };
    let (mut first, late) = (start(100), start(500));
    let ramp = |paces: &StartPaces| paces.get("b").unwrap().clone();
    assert!(ramp(&first).part(ms(2000)) - ramp(&late).part(ms(2000)) <= 0.1 + 1e-9);
    for at in (200..2200).step_by(100) {
        let evidence = StartEvidence {
            result: Some(StartResult::Good),
            load: None,
        };
        first.record(&"s".into(), "b", evidence, ms(at));
    }
    // Twice as fast at most, and never longer than four ramps.
    assert!(ramp(&first).part(ms(2100)) <= 2.0 * 2000.0 / 4000.0);
    assert!(!ramp(&late).is_over(ms(4400)) && ramp(&late).is_over(ms(4500)));
    let mut failing = start(100);
    for at in (100..16_000).step_by(100) {
        let evidence = StartEvidence {
            result: Some(StartResult::Bad),
            load: None,
        };
        failing.record(&"s".into(), "b", evidence, ms(at));
    }
    assert_eq!(failing.take_ended(ms(16_100)).len(), 1);
}
