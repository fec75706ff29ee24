//! Fault matrix of configuration, membership and leases: every fault at every step, and pairs of
//! faults.
//!
//! ```text
//! cargo test -p dunlinrock-coord --test faults -- --nocapture    # prints the rows
//! ```
//!
//! Each cell runs one step (a row) in virtual time during a fault (a column), and checks every
//! invariant that applies. A dash marks a fault that cannot affect the step.

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

const FAULT_TIME: Duration = Duration::from_secs(20);
/// Time within which an accepted configuration must be active on all hosts.
const ACTIVE_WITHIN: Duration = Duration::from_secs(17);
/// Time within which all hosts must know a leaving host or a rumor.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Time after which a store operation counts as failed.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which hosts read the platform's list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
const SETTLE_TIME: Duration = Duration::from_secs(20);

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

    /// Whether the fault can affect the step.
    fn applies_to(self, step: Step) -> bool {
        match self {
            Self::AnswerLost => matches!(step, Step::Apply | Step::Lease),
            Self::Race => matches!(step, Step::Apply | Step::Watch | Step::Follow),
            Self::LeaseLapsed => step == Step::Lease,
            Self::HostReplaced | Self::RegionLost => step != Step::Lease,
            _ => true,
        }
    }
}

/// An operator's apply with its pending store operations.
struct Operator {
    apply: Apply,
    id: &'static str,
    in_flight: Vec<(Duration, PendingOp, Option<StoreReply>)>,
    /// Number of swaps whose replies are still to be lost.
    lost_replies: u32,
}

impl Operator {
    fn open(id: &'static str, split: Split, lost_replies: u32) -> Self {
        let request = ApplyRequest {
            id: id.into(),
            by: id.into(),
            at_ms: 0,
            base: Some(1),
        };
        Self {
            apply: Apply::open(request, split, StoreLimits::default()),
            id,
            in_flight: Vec::new(),
            lost_replies,
        }
    }

    fn step(&mut self, fleet: &mut Fleet) {
        let now = fleet.now;
        let mut ops = self.apply.poll(now);
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, pending, answer) in due {
            let answer = answer.unwrap_or_else(|| fleet.store.run(&pending.op));
            ops.extend(self.apply.handle_reply(pending.id, answer, now));
        }
        for pending in ops {
            let is_swap = matches!(pending.op, StoreOp::SwapRoot { .. });
            let entry = if fleet.store_down {
                (now + TIMEOUT, pending, Some(StoreReply::Failed))
            } else if is_swap && self.lost_replies > 0 {
                self.lost_replies -= 1;
                fleet.store.run(&pending.op);
                (now + TIMEOUT, pending, Some(StoreReply::Failed))
            } else {
                (now + fleet.store_delay, pending, None)
            };
            self.in_flight.push(entry);
        }
    }
}

/// State of one cell of the matrix.
struct Cell {
    fleet: Fleet,
    operators: Vec<Operator>,
    /// Host that the faults affect: a relay, as its failure has the most effect.
    victim: (usize, usize),
    starter: Option<Arc<str>>,
    /// Time of the hosts' next read of the platform's list.
    poll: Duration,
    findings: Vec<String>,
    invariants: BTreeSet<&'static str>,
}

fn config_with_share(share: f64) -> Split {
    let mut config = config(6, 3, 300);
    config.services.get_mut("service-003").unwrap().cap.share = share;
    pieces::split(&config)
}

impl Cell {
    fn open(step: Step) -> Self {
        let mut fleet = Fleet::open(6, 2, 11);
        fleet.apply("first", config_with_share(0.1));
        fleet.run(SETTLE_TIME);
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
            invariants: BTreeSet::new(),
        };
        cell.check(true, "settled", || format!("{step:?}"));
        cell
    }

    fn check(&mut self, holds: bool, invariant: &'static str, finding: impl Fn() -> String) {
        self.invariants.insert(invariant);
        if !holds {
            self.findings.push(format!("{invariant}: {}", finding()));
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            for operator in &mut self.operators {
                operator.step(&mut self.fleet);
            }
            if self.fleet.now >= self.poll {
                self.poll = self.fleet.now + LIST_INTERVAL;
                self.fleet.send_listing();
            }
            self.fleet.run(TICK);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let (domain, host) = self.victim;
        let victim = name(domain, host);
        match fault {
            Fault::StoreDown => self.fleet.store_down = true,
            Fault::StoreSlow => self.fleet.store_delay = Duration::from_millis(900),
            Fault::AnswerLost => self
                .operators
                .iter_mut()
                .for_each(|one| one.lost_replies = 2),
            Fault::HostDead => self.fleet.node(&victim).dead = true,
            Fault::HostPaused => self.fleet.node(&victim).paused = true,
            Fault::HostReplaced => {
                self.fleet.start(domain, host, 2);
                self.fleet.list(domain, host, 2);
                self.fleet.send_listing();
            }
            Fault::RegionLost => {
                let region = ["domain-00", "domain-01"];
                self.fleet.partitioned.extend(region.map(Arc::from));
            }
            Fault::Race => {
                if let Some(first) = self.operators.first() {
                    let lost_replies = first.lost_replies;
                    self.operators.push(Operator::open(
                        "rival",
                        config_with_share(0.7),
                        lost_replies,
                    ));
                }
            }
            Fault::LeaseLapsed => {}
        }
    }

    fn clear(&mut self, fault: Fault) {
        let (domain, host) = self.victim;
        let victim = name(domain, host);
        match fault {
            Fault::StoreDown => self.fleet.store_down = false,
            Fault::StoreSlow => self.fleet.store_delay = Duration::from_millis(3),
            Fault::HostPaused if self.fleet.node(&victim).paused => {
                self.fleet.node(&victim).dead |= false;
                self.fleet.resume(&victim);
            }
            Fault::RegionLost => self.fleet.partitioned.clear(),
            _ => {}
        }
    }

    /// Checks the invariants at the end, when all faults but a host's death are over.
    fn check_end(&mut self) {
        let revision = self.fleet.store.revision();
        let behind: Vec<_> = self
            .fleet
            .nodes
            .iter()
            .filter(|(_, node)| !node.dead && node.follower.revision() != revision)
            .map(|(name, _)| name.clone())
            .collect();
        self.check(behind.is_empty(), "active on all hosts", || {
            format!("{behind:?} behind")
        });
        let reverted: Vec<_> = self
            .fleet
            .nodes
            .iter()
            .filter(|(_, node)| !node.updates.is_sorted_by_key(|(_, revision)| *revision))
            .map(|(name, _)| name.clone())
            .collect();
        self.check(reverted.is_empty(), "never reverts", || {
            format!("{reverted:?}")
        });
        let incomplete = self.fleet.nodes.values().filter(|node| {
            let copy = node.follower.snapshot();
            copy.is_some_and(|copy| pieces::join(copy.tree().unwrap(), &copy.pieces).is_err())
        });
        let incomplete = incomplete.count();
        self.check(incomplete == 0, "snapshots are complete", || {
            format!("{incomplete} hosts")
        });
        self.check_outcomes();
        self.check_members();
    }

    fn check_outcomes(&mut self) {
        let Some(root) = self.fleet.store.read() else {
            return;
        };
        let listed: Vec<_> = std::iter::once(&root.now).chain(&root.recent).collect();
        for index in 0..self.operators.len() {
            let operator = &self.operators[index];
            let applied = listed.iter().find(|entry| *entry.id == *operator.id);
            let (id, outcome) = (operator.id, operator.apply.outcome().cloned());
            let is_true = match (&outcome, applied) {
                (Some(ApplyOutcome::Applied { revision, .. }), Some(made)) => {
                    made.revision == *revision
                }
                (Some(ApplyOutcome::Conflict { by, changed, .. }), None) => {
                    !by.is_empty() && changed.is_some()
                }
                _ => false,
            };
            self.check(is_true, "the reported outcome is correct", || {
                format!("{id}: {outcome:?}")
            });
        }
        if !self.operators.is_empty() {
            let accepted = listed.iter().filter(|entry| entry.revision == 2).count();
            self.check(accepted == 1, "one of the applies is accepted", String::new);
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
        let behind: Vec<_> = self
            .fleet
            .nodes
            .iter()
            .filter(|(_, node)| !node.dead && !node.member.caught_up())
            .map(|(name, _)| name.clone())
            .collect();
        self.check(behind.is_empty(), "every host is caught up again", || {
            format!("{behind:?}")
        });
    }

    /// Runs the step, with the faults starting at its critical moment.
    fn run_step(&mut self, step: Step, faults: &[Fault]) {
        if matches!(step, Step::Apply | Step::Watch | Step::Follow) {
            self.operators
                .push(Operator::open("mine", config_with_share(0.5), 0));
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
        faults.iter().for_each(|fault| self.inject(*fault));
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
        self.check_during(step, faults);
        faults.iter().for_each(|fault| self.clear(*fault));
        self.check_resumed(faults);
        self.run(ACTIVE_WITHIN);
        self.check_end();
    }

    /// Checks the invariants while the faults last.
    fn check_during(&mut self, step: Step, faults: &[Fault]) {
        self.run(KNOWN_WITHIN);
        if step == Step::Leave {
            let partitioned = self.fleet.partitioned.clone();
            let late: Vec<_> = self
                .fleet
                .nodes
                .iter()
                .filter(|(_, node)| {
                    !node.dead && !node.paused && !partitioned.contains(&node.member.me().domain)
                })
                .filter(|(_, node)| node.member.state_of("host-04-01") != HostState::Leaving)
                .map(|(name, _)| name.clone())
                .collect();
            self.check(late.is_empty(), "leaving is known within 3 s", || {
                format!("{late:?}")
            });
        }
        self.run(FAULT_TIME - KNOWN_WITHIN);
        if let Some(name) = self.starter.clone() {
            let ready = self.fleet.node(&name).follower.ready();
            let caught = self.fleet.node(&name).member.caught_up();
            self.check(ready && caught, "a host starts during the fault", || {
                format!("ready {ready}, caught up {caught}")
            });
        }
        let victim = name(self.victim.0, self.victim.1);
        let silent = faults.contains(&Fault::HostDead) || faults.contains(&Fault::HostPaused);
        if silent && !faults.contains(&Fault::HostReplaced) {
            let partitioned = self.fleet.partitioned.clone();
            let wrong: Vec<_> = self
                .fleet
                .nodes
                .iter()
                .filter(|(name, node)| !node.dead && !node.paused && **name != victim)
                .filter(|(_, node)| {
                    // A partitioned host cannot know that the victim is gone, but must not send
                    // work to it.
                    let gone = node.member.state_of(&victim) == HostState::Gone;
                    let separated = partitioned.contains(&node.member.me().domain);
                    node.member.serving().contains_key(&victim) || !(gone || separated)
                })
                .map(|(name, _)| name.clone())
                .collect();
            self.check(
                wrong.is_empty(),
                "a silent host is gone for all hosts",
                || format!("{wrong:?}"),
            );
        }
    }

    fn check_resumed(&mut self, faults: &[Fault]) {
        let victim = name(self.victim.0, self.victim.1);
        let node = self.fleet.node(&victim);
        if faults.contains(&Fault::HostPaused) && !node.dead {
            let log = node.log.iter().rev().take(40);
            let was_catching_up = log
                .into_iter()
                .any(|(_, action)| *action == dunlinrock_coord::member::Action::CaughtUp(false));
            let replaced = faults.contains(&Fault::HostReplaced);
            self.check(
                was_catching_up || replaced,
                "a resumed host catches up first",
                String::new,
            );
        }
    }
}

/// Runs two hosts that compete for one lease while the store or the holder fails.
fn run_lease(faults: &[Fault]) -> Vec<String> {
    let mut findings = Vec::new();
    let mut value = None;
    let mut version = 0;
    let mut leases = ["h1", "h2"].map(|name| Lease::open(name.into(), lease::Timings::default()));
    let mut in_flight: [Option<(Duration, lease::LeaseOp)>; 2] = [None, None];
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
            if let Some(op) = leases[index].poll(now) {
                in_flight[index] = Some((now + Duration::from_millis(slow), op));
            }
            let Some((_, op)) = in_flight[index].take_if(|(due, _)| *due <= now) else {
                continue;
            };
            let down = on(Fault::StoreDown, now);
            let writes = matches!(op, lease::LeaseOp::Write { .. });
            let answer = match &op {
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
        findings.push("no host holds the lease at the end".to_owned());
    }
    findings
}

/// Runs a cell; returns the number of invariants checked, or the findings.
fn run_cell(step: Step, faults: &[Fault]) -> Result<usize, Vec<String>> {
    if step == Step::Lease {
        let findings = run_lease(faults);
        return if findings.is_empty() {
            Ok(3)
        } else {
            Err(findings)
        };
    }
    let mut cell = Cell::open(step);
    cell.run_step(step, faults);
    if cell.findings.is_empty() {
        Ok(cell.invariants.len())
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
            if faults.iter().any(|fault| !fault.applies_to(step)) {
                row.push("-".to_owned());
                continue;
            }
            match run_cell(step, &faults) {
                Ok(invariants) => row.push(format!("{invariants} kept")),
                Err(findings) => {
                    row.push("**broken**".to_owned());
                    failed.push(format!("{step:?} {faults:?}: {findings:?}"));
                }
            }
        }
        text += &format!("| {step:?} | {} |\n", row.join(" | "));
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    check_page(&text);
}

/// Compares the page with the results; writes it if `UPDATE=1` is set.
fn check_page(text: &str) {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/notes/coordination-faults.md"
    );
    if std::env::var_os("UPDATE").is_some() {
        std::fs::write(path, text).expect("the page can be written");
    }
    let written = std::fs::read_to_string(path).unwrap_or_default();
    assert!(written == text, "{path} is outdated: run with UPDATE=1");
}

#[test]
fn every_pair_of_faults_at_every_step() {
    println!("| step | pair | invariants |");
    println!("|---|---|---|");
    let mut failed = Vec::new();
    for step in STEPS {
        for (index, one) in FAULTS.iter().enumerate() {
            for two in &FAULTS[index + 1..] {
                if !one.applies_to(step) || !two.applies_to(step) {
                    continue;
                }
                let pair = format!("{} and {}", one.title(), two.title());
                match run_cell(step, &[*one, *two]) {
                    Ok(invariants) => println!("| {step:?} | {pair} | {invariants} kept |"),
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
