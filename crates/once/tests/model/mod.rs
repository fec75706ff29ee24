//! Model of two real ledgers, a network, a caller and targets, as one state that can be cloned and
//! compared.
//!
//! A lost message is one that is never delivered, and a failed host is one that takes no more
//! steps; neither needs a step of its own. Messages are delivered at any later time and in any
//! order; up to `duplicates` times, a delivered message stays in flight.

use std::{cell::RefCell, time::Duration};

use dunlinrock_once::{
    Action, Key, Ledger, Limits, Message, Outcome, PriorAttempts, RefusalReason, Request, RunStatus,
};

/// The caller that owns the key, and another caller that has obtained it.
pub(crate) const CALLER: u8 = 0;
pub(crate) const INTRUDER: u8 = 1;

const EPOCH: Duration = Duration::from_secs(100);
pub(crate) const OWNER: usize = 0;
pub(crate) const WITNESS: usize = 1;

thread_local! {
    /// All distinct messages; a state refers to them by index.
    static MESSAGES: RefCell<Vec<Message>> = const { RefCell::new(Vec::new()) };
}

/// Maximum number of each kind of event in a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    /// Attempts of the caller.
    pub attempts: u8,
    /// Attempts of the intruder.
    pub intrusions: u8,
    /// Deliveries after which the message is still in flight.
    pub duplicates: u8,
    /// Attempts whose caller disconnects.
    pub cancels: u8,
    /// For each host: restarts, clock jumps past the end of the epoch, reports that the other host
    /// is gone, graceful shutdowns.
    pub restarts: [u8; 2],
    pub jumps: [u8; 2],
    pub gone_notices: [u8; 2],
    pub stops: [u8; 2],
}

impl Budget {
    /// Only late, lost and reordered messages, and timeouts at any time.
    pub(crate) const PLAIN: Budget = Budget {
        attempts: 3,
        intrusions: 0,
        duplicates: 0,
        cancels: 0,
        restarts: [0, 0],
        jumps: [0, 0],
        gone_notices: [0, 0],
        stops: [0, 0],
    };
}

/// Violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Violation {
    RanTwice,
    /// The answer to the latest attempt was `no`, and the request ran, before or after.
    FalseNo,
    /// The key was reported as permanently closed, and the request ran.
    RanAfterClose,
    /// An answer was sent to another caller.
    WrongCaller,
    /// `yes` or an answer without a run.
    FalseYes,
    OverLimit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    caller: u8,
    role: usize,
    attempts: PriorAttempts,
    /// Whether a copy is still in flight.
    in_flight: bool,
    deliveries: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage {
    Dispatched,
    Ends(End),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum End {
    Answered,
    Indeterminate,
    NotRun,
}

/// Request that a host dispatched to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Sent {
    incarnation: u64,
    caller: u8,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    ledger: Ledger,
    now: Duration,
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Model {
    hosts: [Host; 2],
    key: Key,
    limits: Limits,
    attempts: Vec<Attempt>,
    /// Peer messages in flight, sorted: receiver, sender, index of the message.
    net: Vec<(u64, u64, u16)>,
    sent: Vec<Sent>,
    budget: Budget,
    /// Number of runs at targets, by caller.
    runs: [u8; 2],
    /// Whether the latest attempt was refused with `no`, by caller.
    refused_no: [bool; 2],
    permanently_closed: bool,
    pub(crate) violation: Option<Violation>,
}

/// Step between two states, for the report of a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Attempt { caller: u8, role: usize },
    Request { attempt: usize, keep: bool },
    Message { at: usize, keep: bool },
    Timer { host: usize },
    Jump { host: usize },
    Restart { host: usize },
    Gone { host: usize },
    Stop { host: usize },
    Cancel { attempt: usize },
    Target { sent: usize, end: &'static str },
    Finished { sent: usize },
}

/// Limits of a search: few distinct times, and no resends, since a duplicate is the same as a
/// resend.
pub(crate) fn limits() -> Limits {
    Limits {
        max_records: 2,
        answer_bytes: 8,
        max_answer_bytes: 8,
        max_waiters: 8,
        claim_timeout: Duration::from_secs(1),
        answer_timeout: Duration::from_secs(1),
        resend_interval: Duration::from_secs(1000),
        epoch_length: EPOCH,
        retained_epochs: 1,
        handover_timeout: Duration::from_secs(1),
        part_records: 1,
        part_bytes: 8,
        ..Limits::default()
    }
}

impl Model {
    pub(crate) fn open(limits: Limits, budget: Budget) -> Model {
        let open = |me| Host {
            ledger: Ledger::open(me, limits, Duration::ZERO),
            now: Duration::ZERO,
        };
        let hosts = [open(1), open(2)];
        let participant = |at: usize| hosts[at].ledger.participant(Duration::ZERO);
        let key = Key::bind(participant(OWNER), participant(WITNESS), "n").unwrap();
        Model {
            hosts,
            key,
            limits,
            attempts: Vec::new(),
            net: Vec::new(),
            sent: Vec::new(),
            budget,
            runs: [0; 2],
            refused_no: [false; 2],
            permanently_closed: false,
            violation: None,
        }
    }

    /// Makes the owner its own witness.
    pub(crate) fn single_host(mut self) -> Model {
        let participant = self.key.owner;
        self.key = Key::bind(participant, participant, "n").unwrap();
        self
    }

    /// Fills a host's ledger with claims of a third host.
    pub(crate) fn fill(mut self, host: usize) -> Model {
        let participant = self.hosts[host].ledger.participant(Duration::ZERO);
        let third = dunlinrock_once::Participant {
            incarnation: 9,
            epoch: 0,
        };
        for n in 0..self.limits.max_records {
            let key = Key::bind(third, participant, &format!("f{n}")).unwrap();
            let claim = dunlinrock_schema::once::Claim {
                caller: 0,
                key: key.to_string().into(),
            };
            self.hosts[host]
                .ledger
                .handle_message(9, Message::Claim(claim), Duration::ZERO);
        }
        assert_eq!(
            self.hosts[host].ledger.stats().records,
            self.limits.max_records
        );
        self
    }

    /// Advances the hosts by an epoch and binds the key to the next one.
    pub(crate) fn next_epoch(mut self) -> Model {
        for host in &mut self.hosts {
            host.now += EPOCH;
            host.ledger.tick(host.now);
        }
        let participant = |at: usize| self.hosts[at].ledger.participant(EPOCH);
        self.key = Key::bind(participant(OWNER), participant(WITNESS), "n").unwrap();
        self
    }

    /// Makes the witness accept and answer another key of the two hosts, so that its handover has
    /// two parts.
    pub(crate) fn with_other_key(mut self) -> Model {
        let key = Key::bind(self.key.owner, self.key.witness, "a").unwrap();
        let request = Request {
            key: key.clone(),
            fingerprint: 5,
            attempts: PriorAttempts::NONE,
            attempt_id: 999,
        };
        let outcome = Outcome::Answered([9].as_slice().into());
        let ledger = &mut self.hosts[WITNESS].ledger;
        ledger.handle_request(request, Duration::ZERO);
        ledger.handle_outcome(&key, outcome, Duration::ZERO);
        self
    }

    /// Returns every possible step with its resulting state.
    pub(crate) fn steps(&self) -> Vec<(Step, Model)> {
        let mut steps = Vec::new();
        if self.violation.is_some() {
            return steps;
        }
        self.caller_steps(&mut steps);
        self.net_steps(&mut steps);
        self.target_steps(&mut steps);
        for host in 0..2 {
            self.host_steps(host, &mut steps);
        }
        steps
    }

    fn add(&self, steps: &mut Vec<(Step, Model)>, step: Step, f: impl FnOnce(&mut Model)) {
        let mut next = self.clone();
        f(&mut next);
        next.sent.sort_unstable();
        next.net.sort_unstable();
        next.check_invariants();
        steps.push((step, next));
    }

    fn caller_steps(&self, steps: &mut Vec<(Step, Model)>) {
        for caller in [CALLER, INTRUDER] {
            let remaining = match caller {
                CALLER => self.budget.attempts,
                _ => self.budget.intrusions,
            };
            if remaining == 0 {
                continue;
            }
            for role in 0..2 {
                self.add(steps, Step::Attempt { caller, role }, |model| {
                    model.attempt(caller, role);
                });
            }
        }
        for (at, attempt) in self.attempts.iter().enumerate() {
            if attempt.in_flight {
                self.add(
                    steps,
                    Step::Request {
                        attempt: at,
                        keep: false,
                    },
                    |model| {
                        model.attempts[at].in_flight = false;
                        model.arrive(at);
                    },
                );
                if self.budget.duplicates > 0 {
                    self.add(
                        steps,
                        Step::Request {
                            attempt: at,
                            keep: true,
                        },
                        |model| {
                            model.budget.duplicates -= 1;
                            model.arrive(at);
                        },
                    );
                }
            }
            if self.budget.cancels > 0 && attempt.deliveries == 1 {
                self.add(steps, Step::Cancel { attempt: at }, |model| {
                    model.budget.cancels -= 1;
                    let host = model.attempts[at].role;
                    let now = model.hosts[host].now;
                    let actions = model.hosts[host].ledger.cancel(attempt_id(at, 0), now);
                    model.act(host, actions);
                });
            }
        }
    }

    fn attempt(&mut self, caller: u8, role: usize) {
        match caller {
            CALLER => self.budget.attempts -= 1,
            _ => self.budget.intrusions -= 1,
        }
        let earlier = |role| {
            let earlier = self
                .attempts
                .iter()
                .filter(|a| a.caller == caller && a.role == role);
            u32::try_from(earlier.count()).unwrap()
        };
        let attempts = PriorAttempts {
            owner: earlier(OWNER),
            witness: earlier(WITNESS),
        };
        self.refused_no[usize::from(caller)] = false;
        self.attempts.push(Attempt {
            caller,
            role,
            attempts,
            in_flight: true,
            deliveries: 0,
        });
    }

    fn arrive(&mut self, at: usize) {
        let attempt = self.attempts[at];
        self.attempts[at].deliveries += 1;
        let request = Request {
            key: self.key.clone(),
            fingerprint: u64::from(attempt.caller),
            attempts: attempt.attempts,
            attempt_id: attempt_id(at, attempt.deliveries),
        };
        let now = self.hosts[attempt.role].now;
        let actions = self.hosts[attempt.role].ledger.handle_request(request, now);
        self.act(attempt.role, actions);
    }

    fn net_steps(&self, steps: &mut Vec<(Step, Model)>) {
        for at in 0..self.net.len() {
            let (to, from, message_index) = self.net[at];
            if at > 0 && self.net[at - 1] == self.net[at] {
                continue;
            }
            let Some(host) = self.host_of(to) else {
                continue;
            };
            let deliver = |model: &mut Model| {
                let message = MESSAGES.with_borrow(|m| m[usize::from(message_index)].clone());
                let now = model.hosts[host].now;
                let actions = model.hosts[host].ledger.handle_message(from, message, now);
                model.act(host, actions);
            };
            self.add(steps, Step::Message { at, keep: false }, |model| {
                model.net.remove(at);
                deliver(model);
            });
            if self.budget.duplicates > 0 {
                self.add(steps, Step::Message { at, keep: true }, |model| {
                    model.budget.duplicates -= 1;
                    deliver(model);
                });
            }
        }
    }

    fn target_steps(&self, steps: &mut Vec<(Step, Model)>) {
        const ENDS: [(&str, u8, End); 4] = [
            ("answers", 1, End::Answered),
            ("fails after the run", 1, End::Indeterminate),
            ("fails before the run", 0, End::Indeterminate),
            ("refuses", 0, End::NotRun),
        ];
        for (at, sent) in self.sent.iter().enumerate() {
            if sent.stage == Stage::Dispatched {
                for (name, runs, end) in ENDS {
                    self.add(
                        steps,
                        Step::Target {
                            sent: at,
                            end: name,
                        },
                        |model| {
                            model.runs[usize::from(sent.caller)] += runs;
                            model.sent[at].stage = Stage::Ends(end);
                        },
                    );
                }
            } else if self.host_of(sent.incarnation).is_some() {
                self.add(steps, Step::Finished { sent: at }, |model| model.finish(at));
            }
        }
    }

    fn finish(&mut self, at: usize) {
        let sent = self.sent.remove(at);
        let outcome = match sent.stage {
            Stage::Ends(End::Answered) => Outcome::Answered([sent.caller].as_slice().into()),
            Stage::Ends(End::Indeterminate) => Outcome::Indeterminate,
            Stage::Ends(End::NotRun) | Stage::Dispatched => Outcome::NotRun { retry_after: None },
        };
        let host = self.host_of(sent.incarnation).unwrap();
        let now = self.hosts[host].now;
        let key = self.key.clone();
        let actions = self.hosts[host].ledger.handle_outcome(&key, outcome, now);
        self.act(host, actions);
    }

    fn host_steps(&self, host: usize, steps: &mut Vec<(Step, Model)>) {
        let this = &self.hosts[host];
        if let Some(wake) = this.ledger.next_wake() {
            self.add(steps, Step::Timer { host }, |model| model.tick(host, wake));
        }
        if self.budget.jumps[host] > 0 {
            self.add(steps, Step::Jump { host }, |model| {
                model.budget.jumps[host] -= 1;
                let now = model.hosts[host].now + EPOCH;
                model.tick(host, now);
            });
        }
        if self.budget.restarts[host] > 0 {
            self.add(steps, Step::Restart { host }, |model| model.restart(host));
        }
        if self.budget.gone_notices[host] > 0 {
            self.add(steps, Step::Gone { host }, |model| {
                model.budget.gone_notices[host] -= 1;
                let other = model.incarnation(1 - host);
                let now = model.hosts[host].now;
                let actions = model.hosts[host].ledger.peer_gone(other, now);
                model.act(host, actions);
            });
        }
        if self.budget.stops[host] > 0 {
            self.add(steps, Step::Stop { host }, |model| {
                model.budget.stops[host] -= 1;
                let other = model.incarnation(1 - host);
                let now = model.hosts[host].now;
                let deadline = now + Duration::from_secs(1);
                let actions = model.hosts[host].ledger.stop(&[other], deadline, now);
                model.act(host, actions);
            });
        }
    }

    fn tick(&mut self, host: usize, now: Duration) {
        let this = &mut self.hosts[host];
        this.now = this.now.max(now);
        let actions = this.ledger.tick(this.now);
        self.act(host, actions);
    }

    /// Replaces the host's process by a new one: another incarnation, without records. Requests
    /// that the old process dispatched may still run.
    fn restart(&mut self, host: usize) {
        self.budget.restarts[host] -= 1;
        let incarnation = self.incarnation(host) + 10;
        self.hosts[host] = Host {
            ledger: Ledger::open(incarnation, self.limits, Duration::ZERO),
            now: Duration::ZERO,
        };
        // Messages in flight to the old process can no longer be delivered.
        let live = [self.incarnation(OWNER), self.incarnation(WITNESS)];
        self.net.retain(|(to, ..)| live.contains(to));
    }

    fn incarnation(&self, host: usize) -> u64 {
        self.hosts[host].ledger.incarnation()
    }

    fn host_of(&self, incarnation: u64) -> Option<usize> {
        (0..2).find(|host| self.incarnation(*host) == incarnation)
    }

    fn act(&mut self, host: usize, actions: Vec<Action>) {
        let from = self.incarnation(host);
        for action in actions {
            match action {
                Action::SendMessage { to, message } => {
                    self.net.push((to, from, message_index(message)));
                }
                Action::Dispatch { attempt_id, .. } => self.sent.push(Sent {
                    incarnation: from,
                    caller: self.attempts[attempt_index(attempt_id)].caller,
                    stage: Stage::Dispatched,
                }),
                Action::Cancel { .. } => {}
                Action::Answer { attempt_id, answer } => self.answered(attempt_id, &answer),
                Action::Refuse {
                    attempt_id,
                    run,
                    reason,
                    ..
                } => self.refused(attempt_id, run, reason),
            }
        }
    }

    fn answered(&mut self, attempt_id: u64, answer: &[u8]) {
        let caller = self.attempts[attempt_index(attempt_id)].caller;
        if answer != [caller] {
            self.violation = Some(Violation::WrongCaller);
        } else if self.runs[usize::from(caller)] == 0 {
            self.violation = Some(Violation::FalseYes);
        }
    }

    fn refused(&mut self, attempt_id: u64, run: RunStatus, reason: RefusalReason) {
        let at = attempt_index(attempt_id);
        let caller = self.attempts[at].caller;
        let latest = self.attempts.iter().rposition(|a| a.caller == caller);
        match run {
            RunStatus::No if latest == Some(at) => self.refused_no[usize::from(caller)] = true,
            RunStatus::Yes if self.runs[usize::from(caller)] == 0 => {
                self.violation = Some(Violation::FalseYes);
            }
            _ => {}
        }
        self.permanently_closed |= reason == RefusalReason::NotRun;
    }

    fn check_invariants(&mut self) {
        let is_over_limit = |host: &Host| {
            let counts = host.ledger.stats();
            counts.records > self.limits.max_records
                || counts.answer_bytes > self.limits.answer_bytes
        };
        let false_no = |caller: u8| {
            let caller = usize::from(caller);
            self.refused_no[caller] && self.runs[caller] > 0
        };
        if self.runs[0] + self.runs[1] > 1 {
            self.violation = Some(Violation::RanTwice);
        } else if self.permanently_closed && self.runs != [0, 0] {
            self.violation = Some(Violation::RanAfterClose);
        } else if false_no(CALLER) || false_no(INTRUDER) {
            self.violation = Some(Violation::FalseNo);
        } else if self.hosts.iter().any(is_over_limit) {
            self.violation = Some(Violation::OverLimit);
        }
    }
}

fn attempt_id(attempt: usize, copy: u8) -> u64 {
    u64::try_from(attempt).unwrap() * 100 + u64::from(copy)
}

fn attempt_index(attempt_id: u64) -> usize {
    usize::try_from(attempt_id / 100).unwrap()
}

fn message_index(message: Message) -> u16 {
    MESSAGES.with_borrow_mut(|messages| {
        let known = messages.iter().position(|m| *m == message);
        let message_index = known.unwrap_or_else(|| {
            messages.push(message);
            messages.len() - 1
        });
        u16::try_from(message_index).unwrap()
    })
}
