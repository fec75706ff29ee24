//! Hosts: a process that can be killed, paused and restarted, with its ledger.

use std::time::Duration;

use dunlinrock_once::{Action, Ledger};

use super::{Event, GONE_DELAY, Packet, Sim};

pub(crate) struct Host {
    /// `None` while no process runs.
    pub(crate) ledger: Option<Ledger>,
    pub(crate) paused: bool,
    /// Packets that arrived while the process is paused.
    pub(crate) inbox: Vec<Packet>,
    /// Call and attempt by attempt id.
    tickets: Vec<(usize, usize)>,
}

impl Host {
    pub(crate) fn attempt_id(&mut self, call: usize, attempt: usize) -> u64 {
        self.tickets.push((call, attempt));
        u64::try_from(self.tickets.len() - 1).expect("few attempts")
    }

    pub(crate) fn attempt_of(&self, attempt_id: u64) -> (usize, usize) {
        self.tickets[usize::try_from(attempt_id).expect("few attempts")]
    }
}

impl Sim {
    pub(crate) fn new_host(&mut self) -> Host {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        Host {
            ledger: Some(Ledger::open(incarnation, self.limits, self.now)),
            paused: false,
            inbox: Vec::new(),
            tickets: Vec::new(),
        }
    }

    pub(crate) fn incarnation(&self, host: usize) -> Option<u64> {
        self.hosts[host].ledger.as_ref().map(Ledger::incarnation)
    }

    pub(crate) fn host_of(&self, incarnation: u64) -> Option<usize> {
        (0..self.hosts.len()).find(|host| self.incarnation(*host) == Some(incarnation))
    }

    /// Passes an input to a host's ledger, performs its actions, and sets its timer.
    pub(crate) fn drive(
        &mut self,
        host: usize,
        f: impl FnOnce(&mut Ledger, Duration) -> Vec<Action>,
    ) {
        if self.hosts[host].paused {
            return;
        }
        let now = self.now;
        let Some(ledger) = &mut self.hosts[host].ledger else {
            return;
        };
        let actions = f(ledger, now);
        let counts = ledger.stats();
        let incarnation = ledger.incarnation();
        if let Some(wake) = ledger.next_wake() {
            self.at(wake.max(now), Event::Wake(host));
        }
        self.peak.0 = self.peak.0.max(counts.records);
        self.peak.1 = self.peak.1.max(counts.answer_bytes);
        self.act(host, incarnation, actions);
    }

    /// Kills a host's process. Attempts that wait there fail immediately.
    pub(crate) fn kill(&mut self, host: usize) {
        let Some(ledger) = self.hosts[host].ledger.take() else {
            return;
        };
        self.at(self.now + GONE_DELAY, Event::Gone(ledger.incarnation()));
        self.hosts[host].paused = false;
        self.hosts[host].inbox.clear();
        for call in 0..self.calls.len() {
            let Some(latest) = self.calls[call].attempts.last() else {
                continue;
            };
            if latest.host == host {
                let attempt = self.calls[call].attempts.len() - 1;
                self.at(self.now + super::CALLER_HOP, Event::Retry { call, attempt });
            }
        }
    }

    /// Ends a host's process if its graceful shutdown is complete; checks again later otherwise.
    pub(crate) fn exit(&mut self, host: usize) {
        let Some(ledger) = &self.hosts[host].ledger else {
            return;
        };
        if ledger.is_stopped() {
            self.kill(host);
        } else if ledger.next_wake().is_some() {
            self.at(self.now + GONE_DELAY, Event::Exit(host));
        }
    }

    /// Kills a host's process and starts a new one in its place.
    pub(crate) fn restart(&mut self, host: usize) {
        self.kill(host);
        self.hosts[host] = self.new_host();
    }

    /// Pauses a host's process. After `GONE_DELAY` it is reported as gone to the other hosts.
    pub(crate) fn pause(&mut self, host: usize, time: Duration) {
        if self.hosts[host].ledger.is_none() || self.hosts[host].paused {
            return;
        }
        self.hosts[host].paused = true;
        self.at(self.now + time, Event::Resume(host));
        if let Some(incarnation) = self.incarnation(host).filter(|_| time > GONE_DELAY) {
            self.at(self.now + GONE_DELAY, Event::Gone(incarnation));
        }
    }

    pub(crate) fn resume(&mut self, host: usize) {
        if !self.hosts[host].paused {
            return;
        }
        self.hosts[host].paused = false;
        for packet in std::mem::take(&mut self.hosts[host].inbox) {
            self.at(self.now, Event::Arrive(packet));
        }
        self.at(self.now, Event::Wake(host));
    }

    /// Starts a graceful shutdown of a host.
    pub(crate) fn stop(&mut self, host: usize) {
        let peers: Vec<u64> = (0..self.hosts.len())
            .filter(|other| *other != host)
            .filter_map(|other| self.incarnation(other))
            .collect();
        let deadline = self.now + Duration::from_secs(5);
        self.drive(host, |ledger, now| ledger.stop(&peers, deadline, now));
    }
}
