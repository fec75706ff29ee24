//! Checks the invariants of a pool at every step under random loads, reports and faults.

mod ops;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dunlinrock_admit::{
    Action, Cancelled, Completion, Decision, Offer, Outcome, Pool, PoolConfig, TargetSpec,
};
use proptest::{collection::vec, prelude::ProptestConfig, proptest, test_runner::RngSeed};

use ops::{Op, op};

const TARGETS: usize = 5;
const SLOTS: u32 = 3;
const QUEUE: usize = 12;

/// State of the pool as known from outside.
struct Model {
    pool: Pool,
    now: Duration,
    number: u64,
    /// Deadlines of the requests without a final decision.
    open: BTreeMap<u64, Duration>,
    closed: BTreeSet<u64>,
    /// Requests that may run only once.
    not_idempotent: BTreeSet<u64>,
    /// Requests of which a run may have had an effect.
    ran: BTreeSet<u64>,
    /// Runs, by ticket and target.
    runs: Vec<(u64, Arc<str>)>,
    slots: BTreeMap<Arc<str>, u32>,
    leaving: BTreeSet<Arc<str>>,
    /// Time of a target's last report that it is leaving.
    reported: BTreeMap<Arc<str>, Duration>,
}

fn name(i: usize) -> Arc<str> {
    format!("t{i}").into()
}

fn config() -> PoolConfig {
    PoolConfig {
        max_queued: QUEUE,
        eject_time: Duration::from_secs(1),
        ..PoolConfig::default()
    }
}

impl Model {
    fn open() -> Self {
        let spec = |i| TargetSpec {
            name: name(i),
            slots: SLOTS,
            leaving: false,
            cold: false,
        };
        let specs: Vec<TargetSpec> = (0..TARGETS).map(spec).collect();
        Self {
            pool: Pool::open(config(), &specs, Duration::ZERO),
            now: Duration::ZERO,
            number: 0,
            open: BTreeMap::new(),
            closed: BTreeSet::new(),
            not_idempotent: BTreeSet::new(),
            ran: BTreeSet::new(),
            runs: Vec::new(),
            slots: (0..TARGETS).map(|i| (name(i), SLOTS)).collect(),
            leaving: BTreeSet::new(),
            reported: BTreeMap::new(),
        }
    }

    fn apply(&mut self, op: &Op) {
        match op.clone() {
            Op::Offer {
                caller,
                key,
                kind,
                print,
                give,
                repeatable,
                tried,
            } => {
                self.number += 1;
                let offer = Offer {
                    ticket: self.number,
                    caller,
                    key,
                    kind,
                    fingerprint: print,
                    deadline: self.now + Duration::from_millis(give),
                    repeatable,
                    tried: if tried { vec![name(0)] } else { Vec::new() },
                };
                self.offer(offer);
            }
            Op::Finish { pick, outcome } => self.finish(pick, outcome),
            Op::Cancel { pick } => self.cancel(pick),
            Op::Report { target, report } => {
                if report.leaving {
                    self.reported.insert(name(target), self.now);
                }
                self.pool.report(&name(target), report, self.now);
            }
            Op::Configure {
                listed,
                leaving,
                slots,
            } => self.configure(listed, leaving, slots),
            Op::Wait { ms } => self.wait(Duration::from_millis(ms)),
        }
        self.poll();
        self.check();
    }

    fn offer(&mut self, offer: Offer) {
        let ticket = offer.ticket;
        self.open.insert(ticket, offer.deadline);
        if !offer.repeatable {
            self.not_idempotent.insert(ticket);
        }
        let tried = offer.tried.clone();
        match self.pool.offer(offer, self.now) {
            Decision::Start { target } => {
                assert!(
                    !tried.contains(&target),
                    "sent to a target of an earlier attempt"
                );
                self.start(ticket, &target);
            }
            Decision::Queued => {}
            Decision::Refused { .. } => self.close(ticket),
        }
    }

    fn start(&mut self, ticket: u64, target: &Arc<str>) {
        let deadline = self.open.get(&ticket).expect("only an open request starts");
        assert!(self.now <= *deadline, "{ticket} starts past its deadline");
        assert!(!self.leaving.contains(target), "{target} is leaving");
        let reported_at = self.reported.get(target).copied();
        assert!(
            reported_at.is_none_or(|at| self.now >= at + Duration::from_secs(5)),
            "{target} has reported that it is leaving"
        );
        let others = self.runs.iter().filter(|r| r.0 == ticket).count();
        let is_retry = others > 0 || self.ran.contains(&ticket);
        assert!(
            !is_retry || !self.not_idempotent.contains(&ticket),
            "{ticket} is not idempotent and runs again"
        );
        assert!(others < 2, "{ticket} has three runs in flight");
        self.runs.push((ticket, Arc::clone(target)));
        let busy = self.runs.iter().filter(|(_, t)| t == target).count();
        let slots = self.slots.get(target).copied().unwrap_or(0);
        assert!(
            busy <= slots as usize,
            "{target} runs {busy} with {slots} slots"
        );
    }

    fn close(&mut self, ticket: u64) {
        assert!(
            self.open.remove(&ticket).is_some(),
            "{ticket} has a second decision"
        );
        assert!(self.closed.insert(ticket), "{ticket} has a second decision");
    }

    fn finish(&mut self, pick: usize, outcome: Outcome) {
        if self.runs.is_empty() {
            return;
        }
        let (ticket, target) = self.runs.remove(pick % self.runs.len());
        if outcome != Outcome::Refused {
            self.ran.insert(ticket);
        }
        match self.pool.finish(ticket, &target, outcome, self.now) {
            Completion::Final { ran } => {
                assert_eq!(ran, self.ran.contains(&ticket), "whether {ticket} ran");
                self.close(ticket);
            }
            Completion::Retry | Completion::Pending => assert!(self.open.contains_key(&ticket)),
            Completion::Stale => assert!(self.closed.contains(&ticket)),
        }
    }

    fn cancel(&mut self, pick: usize) {
        let Some(ticket) = self.open.keys().nth(pick % self.open.len().max(1)).copied() else {
            return;
        };
        match self.pool.cancel(ticket, self.now) {
            Cancelled::Queued { ran } => {
                assert_eq!(ran, self.ran.contains(&ticket), "whether {ticket} ran");
                self.close(ticket);
            }
            Cancelled::Running(targets) => {
                let own = self.runs.iter().filter(|(t, _)| *t == ticket).count();
                assert_eq!(targets.len(), own);
                self.close(ticket);
            }
            Cancelled::Unknown => panic!("{ticket} is open"),
        }
        assert_eq!(self.pool.cancel(ticket, self.now), Cancelled::Unknown);
    }

    fn configure(&mut self, listed: u8, leaving: u8, slots: u32) {
        let bit = |mask: u8, i: usize| mask >> i & 1 == 1;
        let spec = |i| TargetSpec {
            name: name(i),
            slots,
            leaving: bit(leaving, i),
            cold: false,
        };
        let specs: Vec<TargetSpec> = (0..TARGETS).filter(|i| bit(listed, *i)).map(spec).collect();
        self.pool.reconfigure(config(), &specs, self.now);
        self.slots = specs
            .iter()
            .map(|s| (Arc::clone(&s.name), s.slots))
            .collect();
        let gone = (0..TARGETS)
            .filter(|i| !bit(listed, *i) || bit(leaving, *i))
            .map(name);
        self.leaving = gone.collect();
        // A target that is listed again may be another process.
        self.reported.retain(|t, _| self.slots.contains_key(t));
    }

    fn wait(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(at) = self.pool.next_wake().filter(|t| *t <= until) {
            assert!(at >= self.now, "a wake in the past");
            self.now = at;
            self.poll();
            assert!(
                self.pool.next_wake().is_none_or(|t| t > at),
                "a wake that does nothing"
            );
        }
        self.now = until;
    }

    fn poll(&mut self) {
        for action in self.pool.poll(self.now) {
            match action {
                Action::Start { ticket, target } | Action::Hedge { ticket, target } => {
                    self.start(ticket, &target);
                }
                Action::Abort { ticket, target } => {
                    let at = self
                        .runs
                        .iter()
                        .position(|r| r.0 == ticket && r.1 == target);
                    self.runs
                        .remove(at.expect("only a running request is aborted"));
                    let end = self
                        .pool
                        .finish(ticket, &target, Outcome::Cancelled, self.now);
                    assert_eq!(end, Completion::Stale);
                }
                Action::Refuse { ticket, ran, .. } => {
                    assert_eq!(ran, self.ran.contains(&ticket), "whether {ticket} ran");
                    assert!(
                        self.runs.iter().all(|r| r.0 != ticket),
                        "{ticket} is refused and runs"
                    );
                    self.close(ticket);
                }
            }
        }
    }

    fn check(&self) {
        let state = self.pool.state(self.now);
        assert!(
            state.load.queued as usize <= QUEUE + SLOTS as usize * TARGETS,
            "queue exceeds its limit"
        );
        assert_eq!(
            state.load.busy as usize,
            self.runs.len(),
            "slots in use do not match the runs"
        );
        let usable = state.targets.iter().filter(|t| !t.leaving).count();
        let out = state
            .targets
            .iter()
            .filter(|t| t.ejected && !t.leaving)
            .count();
        assert!(out <= usable / 3, "{out} of {usable} ejected");
        assert!(
            state.targets.len() <= 3 * TARGETS,
            "list of targets exceeds its bound"
        );
        let open = self.open.len();
        let running: BTreeSet<u64> = self.runs.iter().map(|r| r.0).collect();
        let waiting = self.open.keys().filter(|t| !running.contains(t)).count();
        assert_eq!(state.load.queued as usize, waiting, "{open} open");
    }

    /// Ends all runs and lets time pass: every request must have a decision, and all slots must be
    /// free.
    fn close_all(&mut self) {
        for _ in 0..20 {
            while !self.runs.is_empty() {
                self.finish(0, Outcome::Ok);
                self.poll();
            }
            self.wait(Duration::from_secs(10));
            self.poll();
        }
        assert!(self.open.is_empty(), "no decision for {:?}", self.open);
        let state = self.pool.state(self.now);
        assert_eq!(state.load.busy, 0);
        assert!(
            state.targets.iter().all(|t| !t.isolated),
            "a target is isolated without a suspect"
        );
        assert_eq!(self.pool.next_wake(), None);
    }
}

fn simulate(ops: &[Op]) {
    let mut model = Model::open();
    ops.iter().for_each(|op| model.apply(op));
    model.close_all();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_pool_keeps_its_invariants(ops in vec(op(), 1..250)) {
        simulate(&ops);
    }
}
