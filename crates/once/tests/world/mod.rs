//! Two real ledgers, a network, a caller and targets, as one state that can be cloned and compared.
//!
//! A message that is lost is one that is never delivered, and a host that is dead is one that gets
//! no more turns; neither needs a step of its own. A message may be delivered at any later moment
//! and in any order; `doubles` of them are delivered and stay under way.

use std::{cell::RefCell, time::Duration};

use dunlinrock_once::{
    Action, Key, Ledger, Limits, Message, Outcome, PriorAttempts, RefusalReason, Request, RunStatus,
};

/// The caller whose key it is, and one that got hold of the key.
pub(crate) const CALLER: u8 = 0;
pub(crate) const INTRUDER: u8 = 1;

const EPOCH: Duration = Duration::from_secs(100);
pub(crate) const OWNER: usize = 0;
pub(crate) const WITNESS: usize = 1;

thread_local! {
    /// Each distinct message once, so that a state holds its number.
    static MESSAGES: RefCell<Vec<Message>> = const { RefCell::new(Vec::new()) };
}

/// What may happen in a search, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    /// Attempts of the caller.
    pub attempts: u8,
    /// Attempts of the intruder.
    pub intrusions: u8,
    /// Deliveries after which the message is still under way.
    pub doubles: u8,
    /// Attempts whose caller closes its connection.
    pub cancels: u8,
    /// For each host: restarts, jumps past the end of the epoch, words that the other is gone,
    /// planned stops.
    pub restarts: [u8; 2],
    pub jumps: [u8; 2],
    pub words: [u8; 2],
    pub stops: [u8; 2],
}

impl Budget {
    /// Messages late, lost and reordered, and timeouts at any moment; nothing else.
    pub(crate) const PLAIN: Budget = Budget {
        attempts: 3,
        intrusions: 0,
        doubles: 0,
        cancels: 0,
        restarts: [0, 0],
        jumps: [0, 0],
        words: [0, 0],
        stops: [0, 0],
    };
}

/// A broken promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Broken {
    RanTwice,
    /// The answer to the latest attempt was `no`, and the request ran, before or after.
    FalseNo,
    /// A key was called dead for good, and ran.
    RanWhenDead,
    /// An answer went to another caller.
    WrongCaller,
    /// `yes` or an answer without a run.
    FalseYes,
    OverLimit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    who: u8,
    side: usize,
    attempts: PriorAttempts,
    /// Whether a copy is still under way.
    flying: bool,
    copies: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage {
    Given,
    Ends(End),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum End {
    Answered,
    Lost,
    NotRun,
}

/// A request that a host was told to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Sent {
    incarnation: u64,
    who: u8,
    stage: Stage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    ledger: Ledger,
    now: Duration,
}

/// One state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    hosts: [Host; 2],
    key: Key,
    limits: Limits,
    attempts: Vec<Attempt>,
    /// Peer messages under way, sorted: receiver, sender, number of the message.
    net: Vec<(u64, u64, u16)>,
    sent: Vec<Sent>,
    budget: Budget,
    /// Runs at targets, by whose request it was.
    runs: [u8; 2],
    /// Whether the answer to the latest attempt of each was `no`.
    told_no: [bool; 2],
    dead: bool,
    pub(crate) broken: Option<Broken>,
}

/// A step, for the account of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Attempt { who: u8, side: usize },
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

/// Limits of a search: few distinct times, no repeated messages (a doubled one is the same).
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

impl World {
    pub(crate) fn open(limits: Limits, budget: Budget) -> World {
        let open = |me| Host {
            ledger: Ledger::open(me, limits, Duration::ZERO),
            now: Duration::ZERO,
        };
        let hosts = [open(1), open(2)];
        let participant = |at: usize| hosts[at].ledger.participant(Duration::ZERO);
        let key = Key::bind(participant(OWNER), participant(WITNESS), "n").unwrap();
        World {
            hosts,
            key,
            limits,
            attempts: Vec::new(),
            net: Vec::new(),
            sent: Vec::new(),
            budget,
            runs: [0; 2],
            told_no: [false; 2],
            dead: false,
            broken: None,
        }
    }

    /// The same with the owner as its own witness.
    pub(crate) fn solo(mut self) -> World {
        let participant = self.key.owner;
        self.key = Key::bind(participant, participant, "n").unwrap();
        self
    }

    /// Fills a host's ledger with claims of a third one.
    pub(crate) fn fill(mut self, host: usize) -> World {
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

    /// Lets an epoch pass and binds the key to the next one.
    pub(crate) fn next_epoch(mut self) -> World {
        for host in &mut self.hosts {
            host.now += EPOCH;
            host.ledger.tick(host.now);
        }
        let participant = |at: usize| self.hosts[at].ledger.participant(EPOCH);
        self.key = Key::bind(participant(OWNER), participant(WITNESS), "n").unwrap();
        self
    }

    /// Has the witness take and answer another key of the two hosts, so that its hand-over has two
    /// parts.
    pub(crate) fn with_other_key(mut self) -> World {
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

    /// Every step that can be taken now, with the state after it.
    pub(crate) fn steps(&self) -> Vec<(Step, World)> {
        let mut steps = Vec::new();
        if self.broken.is_some() {
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

    fn add(&self, steps: &mut Vec<(Step, World)>, step: Step, f: impl FnOnce(&mut World)) {
        let mut next = self.clone();
        f(&mut next);
        next.sent.sort_unstable();
        next.net.sort_unstable();
        next.judge();
        steps.push((step, next));
    }

    fn caller_steps(&self, steps: &mut Vec<(Step, World)>) {
        for who in [CALLER, INTRUDER] {
            let left = match who {
                CALLER => self.budget.attempts,
                _ => self.budget.intrusions,
            };
            if left == 0 {
                continue;
            }
            for side in 0..2 {
                self.add(steps, Step::Attempt { who, side }, |w| w.attempt(who, side));
            }
        }
        for (at, attempt) in self.attempts.iter().enumerate() {
            if attempt.flying {
                self.add(
                    steps,
                    Step::Request {
                        attempt: at,
                        keep: false,
                    },
                    |w| {
                        w.attempts[at].flying = false;
                        w.arrive(at);
                    },
                );
                if self.budget.doubles > 0 {
                    self.add(
                        steps,
                        Step::Request {
                            attempt: at,
                            keep: true,
                        },
                        |w| {
                            w.budget.doubles -= 1;
                            w.arrive(at);
                        },
                    );
                }
            }
            if self.budget.cancels > 0 && attempt.copies == 1 {
                self.add(steps, Step::Cancel { attempt: at }, |w| {
                    w.budget.cancels -= 1;
                    let host = w.attempts[at].side;
                    let now = w.hosts[host].now;
                    let actions = w.hosts[host].ledger.cancel(attempt_id(at, 0), now);
                    w.act(host, actions);
                });
            }
        }
    }

    fn attempt(&mut self, who: u8, side: usize) {
        match who {
            CALLER => self.budget.attempts -= 1,
            _ => self.budget.intrusions -= 1,
        }
        let earlier = |side| {
            let earlier = self
                .attempts
                .iter()
                .filter(|a| a.who == who && a.side == side);
            u32::try_from(earlier.count()).unwrap()
        };
        let attempts = PriorAttempts {
            owner: earlier(OWNER),
            witness: earlier(WITNESS),
        };
        self.told_no[usize::from(who)] = false;
        self.attempts.push(Attempt {
            who,
            side,
            attempts,
            flying: true,
            copies: 0,
        });
    }

    fn arrive(&mut self, at: usize) {
        let attempt = self.attempts[at];
        self.attempts[at].copies += 1;
        let request = Request {
            key: self.key.clone(),
            fingerprint: u64::from(attempt.who),
            attempts: attempt.attempts,
            attempt_id: attempt_id(at, attempt.copies),
        };
        let now = self.hosts[attempt.side].now;
        let actions = self.hosts[attempt.side].ledger.handle_request(request, now);
        self.act(attempt.side, actions);
    }

    fn net_steps(&self, steps: &mut Vec<(Step, World)>) {
        for at in 0..self.net.len() {
            let (to, from, number) = self.net[at];
            if at > 0 && self.net[at - 1] == self.net[at] {
                continue;
            }
            let Some(host) = self.host_of(to) else {
                continue;
            };
            let deliver = |w: &mut World| {
                let message = MESSAGES.with_borrow(|m| m[usize::from(number)].clone());
                let now = w.hosts[host].now;
                let actions = w.hosts[host].ledger.handle_message(from, message, now);
                w.act(host, actions);
            };
            self.add(steps, Step::Message { at, keep: false }, |w| {
                w.net.remove(at);
                deliver(w);
            });
            if self.budget.doubles > 0 {
                self.add(steps, Step::Message { at, keep: true }, |w| {
                    w.budget.doubles -= 1;
                    deliver(w);
                });
            }
        }
    }

    fn target_steps(&self, steps: &mut Vec<(Step, World)>) {
        const ENDS: [(&str, u8, End); 4] = [
            ("answers", 1, End::Answered),
            ("fails after the run", 1, End::Lost),
            ("fails before the run", 0, End::Lost),
            ("refuses", 0, End::NotRun),
        ];
        for (at, sent) in self.sent.iter().enumerate() {
            if sent.stage == Stage::Given {
                for (name, runs, end) in ENDS {
                    self.add(
                        steps,
                        Step::Target {
                            sent: at,
                            end: name,
                        },
                        |w| {
                            w.runs[usize::from(sent.who)] += runs;
                            w.sent[at].stage = Stage::Ends(end);
                        },
                    );
                }
            } else if self.host_of(sent.incarnation).is_some() {
                self.add(steps, Step::Finished { sent: at }, |w| w.finish(at));
            }
        }
    }

    fn finish(&mut self, at: usize) {
        let sent = self.sent.remove(at);
        let outcome = match sent.stage {
            Stage::Ends(End::Answered) => Outcome::Answered([sent.who].as_slice().into()),
            Stage::Ends(End::Lost) => Outcome::Indeterminate,
            Stage::Ends(End::NotRun) | Stage::Given => Outcome::NotRun { retry_after: None },
        };
        let host = self.host_of(sent.incarnation).unwrap();
        let now = self.hosts[host].now;
        let key = self.key.clone();
        let actions = self.hosts[host].ledger.handle_outcome(&key, outcome, now);
        self.act(host, actions);
    }

    fn host_steps(&self, host: usize, steps: &mut Vec<(Step, World)>) {
        let mine = &self.hosts[host];
        if let Some(wake) = mine.ledger.next_wake() {
            self.add(steps, Step::Timer { host }, |w| w.tick(host, wake));
        }
        if self.budget.jumps[host] > 0 {
            self.add(steps, Step::Jump { host }, |w| {
                w.budget.jumps[host] -= 1;
                let now = w.hosts[host].now + EPOCH;
                w.tick(host, now);
            });
        }
        if self.budget.restarts[host] > 0 {
            self.add(steps, Step::Restart { host }, |w| w.restart(host));
        }
        if self.budget.words[host] > 0 {
            self.add(steps, Step::Gone { host }, |w| {
                w.budget.words[host] -= 1;
                let other = w.incarnation(1 - host);
                let now = w.hosts[host].now;
                let actions = w.hosts[host].ledger.peer_gone(other, now);
                w.act(host, actions);
            });
        }
        if self.budget.stops[host] > 0 {
            self.add(steps, Step::Stop { host }, |w| {
                w.budget.stops[host] -= 1;
                let other = w.incarnation(1 - host);
                let now = w.hosts[host].now;
                let deadline = now + Duration::from_secs(1);
                let actions = w.hosts[host].ledger.stop(&[other], deadline, now);
                w.act(host, actions);
            });
        }
    }

    fn tick(&mut self, host: usize, now: Duration) {
        let mine = &mut self.hosts[host];
        mine.now = mine.now.max(now);
        let actions = mine.ledger.tick(mine.now);
        self.act(host, actions);
    }

    /// A new process in the host's place: another incarnation, nothing kept. What it had sent to
    /// targets may still run.
    fn restart(&mut self, host: usize) {
        self.budget.restarts[host] -= 1;
        let incarnation = self.incarnation(host) + 10;
        self.hosts[host] = Host {
            ledger: Ledger::open(incarnation, self.limits, Duration::ZERO),
            now: Duration::ZERO,
        };
        // What is under way to the old process can no longer be delivered.
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
                Action::SendMessage { to, message } => self.net.push((to, from, number(message))),
                Action::Dispatch { attempt_id, .. } => self.sent.push(Sent {
                    incarnation: from,
                    who: self.attempts[attempt_of(attempt_id)].who,
                    stage: Stage::Given,
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
        let who = self.attempts[attempt_of(attempt_id)].who;
        if answer != [who] {
            self.broken = Some(Broken::WrongCaller);
        } else if self.runs[usize::from(who)] == 0 {
            self.broken = Some(Broken::FalseYes);
        }
    }

    fn refused(&mut self, attempt_id: u64, run: RunStatus, reason: RefusalReason) {
        let at = attempt_of(attempt_id);
        let who = self.attempts[at].who;
        let latest = self.attempts.iter().rposition(|a| a.who == who);
        match run {
            RunStatus::No if latest == Some(at) => self.told_no[usize::from(who)] = true,
            RunStatus::Yes if self.runs[usize::from(who)] == 0 => {
                self.broken = Some(Broken::FalseYes)
            }
            _ => {}
        }
        self.dead |= reason == RefusalReason::NotRun;
    }

    fn judge(&mut self) {
        let over = |host: &Host| {
            let counts = host.ledger.stats();
            counts.records > self.limits.max_records
                || counts.answer_bytes > self.limits.answer_bytes
        };
        let false_no = |who: u8| {
            let who = usize::from(who);
            self.told_no[who] && self.runs[who] > 0
        };
        if self.runs[0] + self.runs[1] > 1 {
            self.broken = Some(Broken::RanTwice);
        } else if self.dead && self.runs != [0, 0] {
            self.broken = Some(Broken::RanWhenDead);
        } else if false_no(CALLER) || false_no(INTRUDER) {
            self.broken = Some(Broken::FalseNo);
        } else if self.hosts.iter().any(over) {
            self.broken = Some(Broken::OverLimit);
        }
    }
}

fn attempt_id(attempt: usize, copy: u8) -> u64 {
    u64::try_from(attempt).unwrap() * 100 + u64::from(copy)
}

fn attempt_of(attempt_id: u64) -> usize {
    usize::try_from(attempt_id / 100).unwrap()
}

fn number(message: Message) -> u16 {
    MESSAGES.with_borrow_mut(|messages| {
        let known = messages.iter().position(|m| *m == message);
        let number = known.unwrap_or_else(|| {
            messages.push(message);
            messages.len() - 1
        });
        u16::try_from(number).unwrap()
    })
}
