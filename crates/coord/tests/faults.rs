//! The fault matrix of the coordination parts: every fault at every step, and pairs of faults.
//!
//! ```text
//! cargo test -p dunlinrock-coord --test faults -- --nocapture    # prints the rows
//! ```
//!
//! Each cell plays one step (a row) in virtual time while a fault (a column) is on, and checks
//! every promise that applies. A dash marks a fault that cannot touch the step.

mod common;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use common::{
    config,
    fleet::{Fleet, TICK, name},
};
use dunlinrock_coord::{
    lease::{self, Lease},
    member::HostState,
    pieces::{self, Split},
    relay,
    root::{Apply, ApplyOutcome, ApplyRequest, PendingOp, StoreLimits, StoreOp, StoreReply},
};

const FAULT: Duration = Duration::from_secs(20);
/// Time in which an accepted configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(17);
/// Time in which a leaving host or a word is known to all.
const KNOWN: Duration = Duration::from_secs(3);
/// Time after which the store counts as not answering.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at the platform's list.
const POLL: Duration = Duration::from_secs(1);
const SETTLE: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Apply,
    Watch,
    Follow,
    Start,
    Heartbeat,
    Leave,
    Lease,
}

const STEPS: [Step; 7] = [
    Step::Apply,
    Step::Watch,
    Step::Follow,
    Step::Start,
    Step::Heartbeat,
    Step::Leave,
    Step::Lease,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    StoreDown,
    StoreSlow,
    AnswerLost,
    HostDead,
    HostPaused,
    HostReplaced,
    RegionLost,
    Race,
    LeaseLapsed,
}

const FAULTS: [Fault; 9] = [
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::AnswerLost,
    Fault::HostDead,
    Fault::HostPaused,
    Fault::HostReplaced,
    Fault::RegionLost,
    Fault::Race,
    Fault::LeaseLapsed,
];

impl Fault {
    fn title(self) -> &'static str {
        match self {
            Self::StoreDown => "store down",
            Self::StoreSlow => "store slow",
            Self::AnswerLost => "answer lost after effect",
            Self::HostDead => "host dead",
            Self::HostPaused => "host paused",
            Self::HostReplaced => "host replaced",
            Self::RegionLost => "region lost",
            Self::Race => "operators race",
            Self::LeaseLapsed => "lease lapsed on a paused holder",
        }
    }

    /// Whether the fault can touch the step.
    fn touches(self, step: Step) -> bool {
        match self {
            Self::AnswerLost => matches!(step, Step::Apply | Step::Lease),
            Self::Race => matches!(step, Step::Apply | Step::Watch | Step::Follow),
            Self::LeaseLapsed => step == Step::Lease,
            Self::HostReplaced | Self::RegionLost => step != Step::Lease,
            _ => true,
        }
    }
}

/// An operator with a store between.
struct Operator {
    apply: Apply,
    id: &'static str,
    flying: Vec<(Duration, PendingOp, Option<StoreReply>)>,
    /// Moves whose answers are still to be lost.
    losses: u32,
}

impl Operator {
    fn open(id: &'static str, split: Split, losses: u32) -> Self {
        let intent = ApplyRequest {
            id: id.into(),
            by: id.into(),
            at_ms: 0,
            base: Some(1),
        };
        Self {
            apply: Apply::open(intent, split, StoreLimits::default()),
            id,
            flying: Vec::new(),
            losses,
        }
    }

    fn step(&mut self, fleet: &mut Fleet) {
        let now = fleet.now;
        let mut asks = self.apply.poll(now);
        let due: Vec<_> = self.flying.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, asked, answer) in due {
            let answer = answer.unwrap_or_else(|| fleet.store.run(&asked.op));
            asks.extend(self.apply.handle_reply(asked.id, answer, now));
        }
        for asked in asks {
            let moves = matches!(asked.op, StoreOp::SwapRoot { .. });
            let entry = if fleet.store_down {
                (now + TIMEOUT, asked, Some(StoreReply::Failed))
            } else if moves && self.losses > 0 {
                self.losses -= 1;
                fleet.store.run(&asked.op);
                (now + TIMEOUT, asked, Some(StoreReply::Failed))
            } else {
                (now + fleet.store_delay, asked, None)
            };
            self.flying.push(entry);
        }
    }
}

/// A cell in play.
struct Cell {
    fleet: Fleet,
    operators: Vec<Operator>,
    /// Host that the faults strike: a relay, as it is missed most.
    victim: (usize, usize),
    starter: Option<Arc<str>>,
    /// Time of the hosts' next look at the platform's list.
    poll: Duration,
    findings: Vec<String>,
    promises: BTreeSet<&'static str>,
}

fn file(share: f64) -> Split {
    let mut config = config(6, 3, 300);
    config.services.get_mut("service-003").unwrap().cap.share = share;
    pieces::split(&config)
}

impl Cell {
    fn open(step: Step) -> Self {
        let mut fleet = Fleet::open(6, 2, 11);
        fleet.apply("first", file(0.1));
        fleet.run(SETTLE);
        let members = fleet.nodes["host-02-00"].member.members();
        let relay = relay::rank("domain-02", &members)[0].clone();
        let host = usize::from(*relay == *"host-02-01");
        let mut cell = Self {
            fleet,
            operators: Vec::new(),
            victim: (2, host),
            starter: None,
            poll: Duration::ZERO,
            findings: Vec::new(),
            promises: BTreeSet::new(),
        };
        cell.check(true, "settled", || format!("{step:?}"));
        cell
    }

    fn check(&mut self, holds: bool, promise: &'static str, finding: impl Fn() -> String) {
        self.promises.insert(promise);
        if !holds {
            self.findings.push(format!("{promise}: {}", finding()));
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            for operator in &mut self.operators {
                operator.step(&mut self.fleet);
            }
            if self.fleet.now >= self.poll {
                self.poll = self.fleet.now + POLL;
                self.fleet.send_listing();
            }
            self.fleet.run(TICK);
        }
    }

    fn begin(&mut self, fault: Fault) {
        let (domain, host) = self.victim;
        let victim = name(domain, host);
        match fault {
            Fault::StoreDown => self.fleet.store_down = true,
            Fault::StoreSlow => self.fleet.store_delay = Duration::from_millis(900),
            Fault::AnswerLost => self.operators.iter_mut().for_each(|one| one.losses = 2),
            Fault::HostDead => self.fleet.node(&victim).dead = true,
            Fault::HostPaused => self.fleet.node(&victim).paused = true,
            Fault::HostReplaced => {
                self.fleet.start(domain, host, 2);
                self.fleet.list(domain, host, 2);
                self.fleet.send_listing();
            }
            Fault::RegionLost => {
                let region = ["domain-00", "domain-01"];
                self.fleet.cut.extend(region.map(Arc::from));
            }
            Fault::Race => {
                if let Some(first) = self.operators.first() {
                    let losses = first.losses;
                    self.operators
                        .push(Operator::open("rival", file(0.7), losses));
                }
            }
            Fault::LeaseLapsed => {}
        }
    }

    fn end(&mut self, fault: Fault) {
        let (domain, host) = self.victim;
        let victim = name(domain, host);
        match fault {
            Fault::StoreDown => self.fleet.store_down = false,
            Fault::StoreSlow => self.fleet.store_delay = Duration::from_millis(3),
            Fault::HostPaused if self.fleet.node(&victim).paused => {
                self.fleet.node(&victim).dead |= false;
                self.fleet.wake(&victim);
            }
            Fault::RegionLost => self.fleet.cut.clear(),
            _ => {}
        }
    }

    /// What must hold at the end, when all faults but a death are over.
    fn check_end(&mut self) {
        let revision = self.fleet.store.revision();
        let behind: Vec<_> = self
            .fleet
            .nodes
            .iter()
            .filter(|(_, node)| !node.dead && node.follower.revision() != revision)
            .map(|(name, _)| name.clone())
            .collect();
        self.check(behind.is_empty(), "in force everywhere", || {
            format!("{behind:?} behind")
        });
        let fell: Vec<_> = self
            .fleet
            .nodes
            .iter()
            .filter(|(_, node)| !node.switches.is_sorted_by_key(|(_, revision)| *revision))
            .map(|(name, _)| name.clone())
            .collect();
        self.check(fell.is_empty(), "never reverts", || format!("{fell:?}"));
        let broken = self.fleet.nodes.values().filter(|node| {
            let copy = node.follower.snapshot();
            copy.is_some_and(|copy| pieces::join(copy.tree().unwrap(), &copy.pieces).is_err())
        });
        let broken = broken.count();
        self.check(broken == 0, "whole or nothing", || {
            format!("{broken} hosts")
        });
        self.check_verdicts();
        self.check_members();
    }

    fn check_verdicts(&mut self) {
        let Some(root) = self.fleet.store.read() else {
            return;
        };
        let listed: Vec<_> = std::iter::once(&root.now).chain(&root.recent).collect();
        for index in 0..self.operators.len() {
            let operator = &self.operators[index];
            let made = listed.iter().find(|entry| *entry.id == *operator.id);
            let (id, verdict) = (operator.id, operator.apply.outcome().cloned());
            let is_true = match (&verdict, made) {
                (Some(ApplyOutcome::Applied { revision, .. }), Some(made)) => {
                    made.revision == *revision
                }
                (Some(ApplyOutcome::Conflict { by, changed, .. }), None) => {
                    !by.is_empty() && changed.is_some()
                }
                _ => false,
            };
            self.check(is_true, "the operator is told the truth", || {
                format!("{id}: {verdict:?}")
            });
        }
        if !self.operators.is_empty() {
            let accepted = listed.iter().filter(|entry| entry.revision == 2).count();
            self.check(
                accepted == 1,
                "one of the operators is accepted",
                String::new,
            );
        }
    }

    fn check_members(&mut self) {
        let alive: BTreeSet<_> = self
            .fleet
            .nodes
            .iter()
            .filter(|(_, node)| !node.dead && node.member.state() == HostState::Serving)
            .map(|(name, _)| name.clone())
            .collect();
        let wrong: Vec<_> = self
            .fleet
            .nodes
            .iter()
            .filter(|(_, node)| !node.dead)
            .filter(|(_, node)| node.member.serving().into_keys().collect::<BTreeSet<_>>() != alive)
            .map(|(name, node)| (name.clone(), node.member.serving().len()))
            .collect();
        let count = alive.len();
        self.check(wrong.is_empty(), "all agree on who serves", || {
            format!("{wrong:?} of {count}")
        });
        let lost: Vec<_> = self
            .fleet
            .nodes
            .iter()
            .filter(|(_, node)| !node.dead && !node.member.caught_up())
            .map(|(name, _)| name.clone())
            .collect();
        self.check(lost.is_empty(), "every host is caught up again", || {
            format!("{lost:?}")
        });
    }

    /// Plays the step, with the faults beginning at its critical moment.
    fn play(&mut self, step: Step, faults: &[Fault]) {
        if matches!(step, Step::Apply | Step::Watch | Step::Follow) {
            self.operators.push(Operator::open("mine", file(0.5), 0));
        }
        if step == Step::Watch || step == Step::Follow {
            while self.fleet.store.revision() < 2 {
                self.operators[0].step(&mut self.fleet);
                self.fleet.now += Duration::from_millis(1);
            }
            if step == Step::Follow {
                self.run(TICK);
            }
        }
        faults.iter().for_each(|fault| self.begin(*fault));
        match step {
            Step::Start => {
                self.fleet.start(4, 7, 1);
                self.fleet.list(4, 7, 1);
                self.fleet.send_listing();
                self.starter = Some(name(4, 7));
            }
            Step::Leave => {
                let leave = |member: &mut dunlinrock_coord::member::Membership, now| {
                    member.set_state(now, HostState::Leaving)
                };
                self.fleet.act("host-04-01", leave);
            }
            _ => {}
        }
        self.during(step, faults);
        faults.iter().for_each(|fault| self.end(*fault));
        self.woken(faults);
        self.run(IN_FORCE);
        self.check_end();
    }

    /// What must hold while the faults are still on.
    fn during(&mut self, step: Step, faults: &[Fault]) {
        self.run(KNOWN);
        if step == Step::Leave {
            let cut = self.fleet.cut.clone();
            let late: Vec<_> = self
                .fleet
                .nodes
                .iter()
                .filter(|(_, node)| {
                    !node.dead && !node.paused && !cut.contains(&node.member.me().domain)
                })
                .filter(|(_, node)| node.member.state_of("host-04-01") != HostState::Leaving)
                .map(|(name, _)| name.clone())
                .collect();
            self.check(late.is_empty(), "leaving is known within 3 s", || {
                format!("{late:?}")
            });
        }
        self.run(FAULT - KNOWN);
        if let Some(name) = self.starter.clone() {
            let ready = self.fleet.node(&name).follower.ready();
            let caught = self.fleet.node(&name).member.caught_up();
            self.check(ready && caught, "a host starts in spite of it", || {
                format!("ready {ready}, caught up {caught}")
            });
        }
        let victim = name(self.victim.0, self.victim.1);
        let silent = faults.contains(&Fault::HostDead) || faults.contains(&Fault::HostPaused);
        if silent && !faults.contains(&Fault::HostReplaced) {
            let cut = self.fleet.cut.clone();
            let wrong: Vec<_> = self
                .fleet
                .nodes
                .iter()
                .filter(|(name, node)| !node.dead && !node.paused && **name != victim)
                .filter(|(_, node)| {
                    // Who is cut off cannot know that it is gone, but must not send work there.
                    let gone = node.member.state_of(&victim) == HostState::Gone;
                    let apart = cut.contains(&node.member.me().domain);
                    node.member.serving().contains_key(&victim) || !(gone || apart)
                })
                .map(|(name, _)| name.clone())
                .collect();
            self.check(wrong.is_empty(), "a silent host is gone to all", || {
                format!("{wrong:?}")
            });
        }
    }

    fn woken(&mut self, faults: &[Fault]) {
        let victim = name(self.victim.0, self.victim.1);
        let node = self.fleet.node(&victim);
        if faults.contains(&Fault::HostPaused) && !node.dead {
            let log = node.log.iter().rev().take(40);
            let asked = log
                .into_iter()
                .any(|(_, action)| *action == dunlinrock_coord::member::Action::CaughtUp(false));
            let replaced = faults.contains(&Fault::HostReplaced);
            self.check(
                asked || replaced,
                "a woken host catches up first",
                String::new,
            );
        }
    }
}

/// Two hosts want one lease while the store or the holder fails.
fn play_lease(faults: &[Fault]) -> Vec<String> {
    let mut findings = Vec::new();
    let mut value = None;
    let mut version = 0;
    let mut leases = ["h1", "h2"].map(|name| Lease::open(name.into(), lease::Timings::default()));
    let mut flying: [Option<(Duration, lease::LeaseOp)>; 2] = [None, None];
    let mut highest = (0, 0);
    let on = |fault, now: Duration| {
        faults.contains(&fault) && (10_000..40_000).contains(&now.as_millis())
    };
    for tick in 0..1600 {
        let now = Duration::from_millis(50 * tick);
        let silent = on(Fault::HostPaused, now) || on(Fault::LeaseLapsed, now);
        for index in 0..2 {
            let dead = faults.contains(&Fault::HostDead) && now.as_secs() >= 10;
            if index == 0 && (silent || dead) {
                continue;
            }
            let slow = if on(Fault::StoreSlow, now) { 900 } else { 3 };
            if let Some(ask) = leases[index].poll(now) {
                flying[index] = Some((now + Duration::from_millis(slow), ask));
            }
            let Some((_, ask)) = flying[index].take_if(|(due, _)| *due <= now) else {
                continue;
            };
            let down = on(Fault::StoreDown, now);
            let writes = matches!(ask, lease::LeaseOp::Write { .. });
            let answer = match &ask {
                _ if down => lease::LeaseReply::Failed,
                lease::LeaseOp::Read => lease::LeaseReply::Value(value.clone()),
                lease::LeaseOp::Write { expect, record } => {
                    if value.as_ref().map(|(_, version)| *version) == *expect {
                        version += 1;
                        value = Some((record.clone(), version));
                        lease::LeaseReply::Written(version)
                    } else {
                        lease::LeaseReply::Conflict
                    }
                }
            };
            let lost = on(Fault::AnswerLost, now) && writes && tick % 3 == 0;
            leases[index].handle_reply(
                now,
                if lost {
                    lease::LeaseReply::Failed
                } else {
                    answer
                },
            );
        }
        let tokens = leases.each_ref().map(|lease| lease.token(now));
        if let [Some(one), Some(two)] = tokens {
            findings.push(format!("two holders at {now:?}: {one} and {two}"));
        }
        for (index, token) in tokens.into_iter().enumerate() {
            let Some(token) = token else {
                continue;
            };
            if token < highest.0 || (token == highest.0 && index != highest.1) {
                findings.push(format!("token {token} after {highest:?} at {now:?}"));
            }
            highest = (token, index);
        }
    }
    if leases
        .iter()
        .all(|lease| lease.token(Duration::from_secs(80)).is_none())
    {
        findings.push("nobody holds the lease at the end".to_owned());
    }
    findings
}

/// Plays a cell; gives the number of promises checked, or the findings.
fn play(step: Step, faults: &[Fault]) -> Result<usize, Vec<String>> {
    if step == Step::Lease {
        let findings = play_lease(faults);
        return if findings.is_empty() {
            Ok(3)
        } else {
            Err(findings)
        };
    }
    let mut cell = Cell::open(step);
    cell.play(step, faults);
    if cell.findings.is_empty() {
        Ok(cell.promises.len())
    } else {
        Err(cell.findings)
    }
}

const HEAD: &str = "# Faults of configuration, membership and leases

Written by the test `faults` of crates/coord (`UPDATE=1 cargo test -p dunlinrock-coord --test faults`)
from runs of the real state machines in virtual time. A cell says how many promises were checked and
kept; `-` is a fault that does not touch the step. Pairs of faults are played by the same file.

";

#[test]
fn every_fault_at_every_step() {
    let titles: Vec<_> = FAULTS.iter().map(|fault| fault.title()).collect();
    let mut text = String::from(HEAD);
    text += &format!("| step | none | {} |\n", titles.join(" | "));
    text += &format!("|---|---|{}\n", "---|".repeat(FAULTS.len()));
    let mut failed = Vec::new();
    for step in STEPS {
        let mut row = Vec::new();
        let single = FAULTS.map(|fault| vec![fault]);
        for faults in std::iter::once(Vec::new()).chain(single) {
            if faults.iter().any(|fault| !fault.touches(step)) {
                row.push("-".to_owned());
                continue;
            }
            match play(step, &faults) {
                Ok(promises) => row.push(format!("{promises} kept")),
                Err(findings) => {
                    row.push("**broken**".to_owned());
                    failed.push(format!("{step:?} {faults:?}: {findings:?}"));
                }
            }
        }
        text += &format!("| {step:?} | {} |\n", row.join(" | "));
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    hold_page(&text);
}

/// Holds the page against what was played; with `UPDATE=1` it is written.
fn hold_page(text: &str) {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/notes/coordination-faults.md"
    );
    if std::env::var_os("UPDATE").is_some() {
        std::fs::write(path, text).expect("the page can be written");
    }
    let held = std::fs::read_to_string(path).unwrap_or_default();
    assert!(held == text, "{path} is old: run with UPDATE=1");
}

#[test]
fn every_pair_of_faults_at_every_step() {
    println!("| step | pair | promises |");
    println!("|---|---|---|");
    let mut failed = Vec::new();
    for step in STEPS {
        for (index, one) in FAULTS.iter().enumerate() {
            for two in &FAULTS[index + 1..] {
                if !one.touches(step) || !two.touches(step) {
                    continue;
                }
                let pair = format!("{} and {}", one.title(), two.title());
                match play(step, &[*one, *two]) {
                    Ok(promises) => println!("| {step:?} | {pair} | {promises} kept |"),
                    Err(findings) => {
                        println!("| {step:?} | {pair} | **broken** |");
                        failed.push(format!("{step:?} {pair}: {findings:?}"));
                    }
                }
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
