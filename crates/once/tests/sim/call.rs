//! Callers: their attempts, the replies, and checks that the replies are true.

use std::{sync::Arc, time::Duration};

use dunlinrock_once::{Key, PriorAttempts, RefusalReason, RunStatus};

use super::{ATTEMPT_TIMEOUT, Event, Packet, Sim, Target};

/// Maximum number of attempts of a caller.
const MAX_ATTEMPTS: usize = 4;
/// Time between an inconclusive reply and the next attempt.
const BACKOFF: Duration = Duration::from_millis(100);

/// Reply to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    Answer(Arc<[u8]>),
    Refused(RunStatus, RefusalReason),
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) host: usize,
    pub(crate) prior: PriorAttempts,
}

/// Request of a caller, with one key.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) key: Key,
    /// Fingerprint; targets answer the request with it.
    pub(crate) caller: u64,
    /// Hosts to try alternately: owner and witness, by address.
    pub(crate) hosts: [usize; 2],
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) target: Target,
    pub(crate) runs: u32,
    /// Conclusive reply: a complete answer, `yes`, or `no` to the latest attempt.
    pub(crate) final_reply: Option<Reply>,
    /// Latest reply, conclusive or not.
    pub(crate) last_reply: Option<Reply>,
    /// Violated invariants.
    pub(crate) violations: Vec<&'static str>,
}

impl Call {
    /// Counts runs at a target, and checks that they are allowed.
    pub(crate) fn run(&mut self, runs: u32) {
        self.runs += runs;
        if self.runs > 1 {
            self.violations.push("ran twice");
        }
        if self.runs > 0 && matches!(self.final_reply, Some(Reply::Refused(RunStatus::No, _))) {
            self.violations.push("ran after `no`");
        }
    }

    fn record_reply(&mut self, attempt: usize, reply: &Reply) {
        self.last_reply = Some(reply.clone());
        let latest = attempt + 1 == self.attempts.len();
        match reply {
            Reply::Answer(answer) => {
                if **answer != self.caller.to_le_bytes() {
                    self.violations.push("answer of another caller");
                }
                if self.runs == 0 {
                    self.violations.push("answer without a run");
                }
                self.final_reply = Some(reply.clone());
            }
            Reply::Refused(RunStatus::No, _) if latest && self.final_reply.is_none() => {
                if self.runs > 0 {
                    self.violations.push("`no` after a run");
                }
                self.final_reply = Some(reply.clone());
            }
            Reply::Refused(RunStatus::Yes, _) => {
                if self.runs == 0 {
                    self.violations.push("`yes` without a run");
                }
                self.final_reply = Some(reply.clone());
            }
            Reply::Refused(..) => {}
        }
    }
}

impl Sim {
    /// Binds a key to two hosts and makes the first attempt at role `first`.
    pub(crate) fn call(&mut self, caller: u64, hosts: [usize; 2], first: usize) -> usize {
        let call = self.bind(caller, hosts);
        self.attempt(call, first);
        call
    }

    /// Binds a key to two hosts, as owner and witness.
    pub(crate) fn bind(&mut self, caller: u64, hosts: [usize; 2]) -> usize {
        let participant = |role: usize| {
            let ledger = self.hosts[hosts[role]].ledger.as_ref();
            ledger.expect("the host is running").participant(self.now)
        };
        let nonce = format!("n{}", self.calls.len());
        let key = Key::bind(participant(0), participant(1), &nonce).expect("the nonce is valid");
        self.calls.push(Call {
            key,
            caller,
            hosts,
            attempts: Vec::new(),
            target: Target::Answers(Duration::ZERO),
            runs: 0,
            final_reply: None,
            last_reply: None,
            violations: Vec::new(),
        });
        self.calls.len() - 1
    }

    /// Makes an attempt at the owner or the witness.
    pub(crate) fn attempt(&mut self, call: usize, role: usize) {
        let this = &mut self.calls[call];
        let host = this.hosts[role];
        let earlier = |role: usize| {
            let host = this.hosts[role];
            let count = this.attempts.iter().filter(|a| a.host == host).count();
            u32::try_from(count).expect("few attempts")
        };
        let prior = PriorAttempts {
            owner: earlier(0),
            witness: earlier(1),
        };
        this.attempts.push(Attempt { host, prior });
        let attempt = this.attempts.len() - 1;
        self.transmit(Packet::Request { call, attempt });
        self.at(self.now + ATTEMPT_TIMEOUT, Event::Retry { call, attempt });
    }

    /// Makes the next attempt, at the other participant, unless the call has a conclusive reply or
    /// a later attempt.
    pub(crate) fn retry(&mut self, call: usize, attempt: usize) {
        let this = &self.calls[call];
        let superseded = attempt + 1 != this.attempts.len();
        if superseded || this.final_reply.is_some() || this.attempts.len() >= MAX_ATTEMPTS {
            return;
        }
        let role = usize::from(this.attempts[attempt].host == this.hosts[0]);
        self.attempt(call, role);
    }

    pub(crate) fn arrive_reply(&mut self, call: usize, attempt: usize, reply: &Reply) {
        self.calls[call].record_reply(attempt, reply);
        if matches!(reply, Reply::Refused(RunStatus::Unknown, _)) {
            self.at(self.now + BACKOFF, Event::Retry { call, attempt });
        }
    }
}
