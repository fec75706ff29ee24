//! Simulation of a few hosts with real ledgers, callers and targets in virtual time, driven by one
//! event queue.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

pub(crate) mod call;
pub(crate) mod host;
pub(crate) mod matrix;

use std::{collections::BTreeMap, time::Duration};

use dunlinrock_once::{Action, Key, Limits, Message, Outcome, Request};

use self::{
    call::{Call, Reply},
    host::Host,
};

/// One-way latency between hosts.
pub(crate) const HOP: Duration = Duration::from_millis(1);
/// One-way latency between a caller and a host.
pub(crate) const CALLER_HOP: Duration = Duration::from_millis(3);
/// Time that a target takes for a request.
pub(crate) const TARGET_TIME: Duration = Duration::from_millis(20);
/// Time until a host notices a broken connection to a target.
pub(crate) const BROKEN_CONNECTION_DELAY: Duration = Duration::from_millis(500);
/// Time that a caller waits for a reply to an attempt.
pub(crate) const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time until a host that is gone or paused is reported as gone to the others.
pub(crate) const GONE_DELAY: Duration = Duration::from_secs(1);

/// Packet in flight.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Packet {
    /// Attempt of a caller, sent to a host's address.
    Request { call: usize, attempt: usize },
    /// Message between incarnations.
    Peer {
        from: u64,
        to: u64,
        message: Message,
    },
    /// Request from a host to a target.
    Send { from: u64, key: Key, call: usize },
    /// Outcome from a target to a host.
    Done { to: u64, key: Key, outcome: Outcome },
    /// Reply from a host to a caller.
    Reply {
        call: usize,
        attempt: usize,
        reply: Reply,
    },
    /// No packet: marks the end of an epoch as a step for fault injection.
    EpochEnd,
}

/// Delivery of a packet by the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    Pass,
    Drop,
    /// Delivered, and delivered again after this time.
    Duplicate(Duration),
    /// Delivered after this additional time.
    Delay(Duration),
}

/// Behaviour of a target for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// Runs the request and answers after this time.
    Answers(Duration),
    /// Sheds the request, as every other target does.
    Sheds,
    /// Runs the request and crashes before it answers.
    CrashesAfterRun,
    /// Crashes before it runs the request; the host cannot know that.
    CrashesBeforeRun,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive(Packet),
    /// A packet is transmitted.
    Transmit(Packet),
    /// A caller makes an attempt at one participant.
    Attempt {
        call: usize,
        role: usize,
    },
    /// The timer of a host fires.
    Wake(usize),
    /// A caller makes its next attempt if this one is still the latest and has no conclusive reply.
    Retry {
        call: usize,
        attempt: usize,
    },
    Gone(u64),
    Resume(usize),
    Stop(usize),
    Restart(usize),
    /// A process exits if its graceful shutdown is complete.
    Exit(usize),
}

/// Injects faults: called for each transmitted packet, may change the simulation.
pub(crate) type Faults = Box<dyn FnMut(&mut Sim, &Packet) -> (Delivery, Option<Target>)>;

pub(crate) struct Sim {
    pub(crate) now: Duration,
    pub(crate) hosts: Vec<Host>,
    pub(crate) calls: Vec<Call>,
    pub(crate) limits: Limits,
    /// Maximum numbers of records and of answer bytes at a host so far.
    pub(crate) peak: (usize, usize),
    /// State of the fault injection: number of injected faults, and the behaviour of the next
    /// target.
    pub(crate) fault_hits: usize,
    pub(crate) next_target: Option<Target>,
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    next_incarnation: u64,
    faults: Option<Faults>,
    work: Duration,
}

impl Sim {
    pub(crate) fn open(hosts: usize, limits: Limits, faults: Faults) -> Sim {
        let mut sim = Sim {
            now: Duration::ZERO,
            hosts: Vec::new(),
            calls: Vec::new(),
            limits,
            peak: (0, 0),
            fault_hits: 0,
            next_target: None,
            events: BTreeMap::new(),
            next_event: 0,
            next_incarnation: 1,
            faults: Some(faults),
            work: TARGET_TIME,
        };
        for _ in 0..hosts {
            let host = sim.new_host();
            sim.hosts.push(host);
        }
        sim
    }

    /// Sets the time that targets take for a request from now on.
    pub(crate) fn set_work(&mut self, work: Duration) {
        self.work = work;
    }

    pub(crate) fn at(&mut self, when: Duration, event: Event) {
        self.events.insert((when, self.next_event), event);
        self.next_event += 1;
    }

    /// Processes all events up to `end`.
    pub(crate) fn run_until(&mut self, end: Duration) {
        while let Some(((when, _), _)) = self.events.first_key_value() {
            if *when > end {
                break;
            }
            let ((when, _), event) = self.events.pop_first().expect("the queue is not empty");
            self.now = self.now.max(when);
            self.handle_event(event);
        }
        self.now = self.now.max(end);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(packet) => self.arrive(packet),
            Event::Transmit(packet) => self.transmit(packet),
            Event::Attempt { call, role } => self.attempt(call, role),
            Event::Wake(host) => self.drive(host, dunlinrock_once::Ledger::tick),
            Event::Retry { call, attempt } => self.retry(call, attempt),
            Event::Gone(incarnation) => {
                for host in 0..self.hosts.len() {
                    if self.incarnation(host) != Some(incarnation) {
                        self.drive(host, |ledger, now| ledger.peer_gone(incarnation, now));
                    }
                }
            }
            Event::Resume(host) => self.resume(host),
            Event::Stop(host) => self.stop(host),
            Event::Restart(host) => self.restart(host),
            Event::Exit(host) => self.exit(host),
        }
    }

    /// Transmits a packet, with injected faults.
    pub(crate) fn transmit(&mut self, packet: Packet) {
        let Some(mut faults) = self.faults.take() else {
            return;
        };
        let (delivery, target) = faults(self, &packet);
        self.faults = Some(faults);
        let hop = match &packet {
            Packet::EpochEnd => return,
            Packet::Request { .. } | Packet::Reply { .. } => CALLER_HOP,
            Packet::Peer { .. } | Packet::Send { .. } | Packet::Done { .. } => HOP,
        };
        if let (Packet::Send { call, .. }, Some(target)) = (&packet, target) {
            self.calls[*call].target = target;
        }
        let when = self.now + hop;
        match delivery {
            Delivery::Pass => self.at(when, Event::Arrive(packet)),
            Delivery::Drop => self.lose(packet),
            Delivery::Duplicate(later) => {
                self.at(when, Event::Arrive(packet.clone()));
                self.at(when + later, Event::Arrive(packet));
            }
            Delivery::Delay(later) => self.at(when + later, Event::Arrive(packet)),
        }
    }

    /// Drops a packet. A loss between a host and a target breaks their connection, and the host
    /// only knows that the request may have run.
    fn lose(&mut self, packet: Packet) {
        let (to, key) = match packet {
            Packet::Send { from, key, .. } => (from, key),
            Packet::Done { to, key, .. } => (to, key),
            _ => return,
        };
        let outcome = Outcome::Indeterminate;
        let done = Packet::Done { to, key, outcome };
        self.at(self.now + BROKEN_CONNECTION_DELAY, Event::Arrive(done));
    }

    fn arrive(&mut self, packet: Packet) {
        match packet {
            Packet::Request { call, attempt } => self.arrive_request(call, attempt),
            Packet::Peer { from, to, message } => {
                if let Some(host) = self.host_of(to) {
                    self.drive_or_queue(host, Packet::Peer { from, to, message });
                }
            }
            Packet::Send { from, key, call } => self.arrive_send(from, key, call),
            Packet::Done { to, key, outcome } => {
                if let Some(host) = self.host_of(to) {
                    self.drive_or_queue(host, Packet::Done { to, key, outcome });
                }
            }
            Packet::Reply {
                call,
                attempt,
                reply,
            } => self.arrive_reply(call, attempt, &reply),
            Packet::EpochEnd => {}
        }
    }

    fn arrive_request(&mut self, call: usize, attempt: usize) {
        let host = self.calls[call].attempts[attempt].host;
        if self.hosts[host].ledger.is_none() {
            // The connection is refused, so the caller does not wait for its timeout.
            self.at(self.now + CALLER_HOP, Event::Retry { call, attempt });
            return;
        }
        self.drive_or_queue(host, Packet::Request { call, attempt });
    }

    /// Delivers a packet to a host, or to its socket buffers while it is paused.
    fn drive_or_queue(&mut self, host: usize, packet: Packet) {
        if self.hosts[host].paused {
            self.hosts[host].inbox.push(packet);
            return;
        }
        match packet {
            Packet::Request { call, attempt } => {
                let attempt_id = self.hosts[host].attempt_id(call, attempt);
                let call = &self.calls[call];
                let request = Request {
                    key: call.key.clone(),
                    fingerprint: call.caller,
                    attempts: call.attempts[attempt].prior,
                    attempt_id,
                };
                self.drive(host, |ledger, now| ledger.handle_request(request, now));
            }
            Packet::Peer { from, message, .. } => {
                self.drive(host, |ledger, now| {
                    ledger.handle_message(from, message, now)
                });
            }
            Packet::Done { key, outcome, .. } => {
                self.drive(host, |ledger, now| {
                    ledger.handle_outcome(&key, outcome, now)
                });
            }
            _ => unreachable!("not a packet for a host"),
        }
    }

    fn arrive_send(&mut self, from: u64, key: Key, call: usize) {
        let work = self.work;
        let (runs, outcome, after) = match self.calls[call].target {
            Target::Answers(more) => {
                let answer = self.calls[call].caller.to_le_bytes().as_slice().into();
                (1, Outcome::Answered(answer), work + more)
            }
            Target::Sheds => (0, Outcome::NotRun { retry_after: None }, Duration::ZERO),
            Target::CrashesAfterRun => (1, Outcome::Indeterminate, work),
            Target::CrashesBeforeRun => (0, Outcome::Indeterminate, Duration::ZERO),
        };
        self.calls[call].run(runs);
        let done = Packet::Done {
            to: from,
            key,
            outcome,
        };
        self.at(self.now + after, Event::Transmit(done));
    }

    pub(crate) fn act(&mut self, host: usize, from: u64, actions: Vec<Action>) {
        // All packets are built before a fault that one of them triggers affects the host.
        let packets: Vec<Packet> = actions
            .into_iter()
            .filter_map(|action| self.packet(host, from, action))
            .collect();
        for packet in packets {
            self.transmit(packet);
        }
    }

    fn packet(&self, host: usize, from: u64, action: Action) -> Option<Packet> {
        let reply_packet = |attempt_id, reply| {
            let (call, attempt) = self.hosts[host].attempt_of(attempt_id);
            Some(Packet::Reply {
                call,
                attempt,
                reply,
            })
        };
        match action {
            Action::SendMessage { to, message } => Some(Packet::Peer { from, to, message }),
            Action::Dispatch { key, attempt_id } => {
                let (call, _) = self.hosts[host].attempt_of(attempt_id);
                Some(Packet::Send { from, key, call })
            }
            Action::Cancel { .. } => None,
            Action::Answer { attempt_id, answer } => {
                reply_packet(attempt_id, Reply::Answer(answer))
            }
            Action::Refuse {
                attempt_id,
                run,
                reason,
                ..
            } => reply_packet(attempt_id, Reply::Refused(run, reason)),
        }
    }
}
