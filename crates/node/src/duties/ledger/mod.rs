//! Worker for the request ledger, which records the requests with an idempotency key and ensures
//! that each runs at most once.
//!
//! The worker drives [`dunlinrock_coord::once::Ledger`]. The task that handles an attempt submits
//! it to the worker, which replies with an event: run the request now, the stored response, or a
//! refusal. Messages to other hosts are sent on the worker's own runtime; they may be lost, and the
//! ledger sends them again.

mod input;
mod post;

use std::{
    collections::BTreeMap,
    io,
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use arc_swap::ArcSwap;
use dunlinrock_coord::once::{Action, Ledger, Limits, Outcome};
use dunlinrock_schema::settings::TimingSettings;

pub use self::{
    input::{Event, EventSender, Input, LedgerReport},
    post::{LEDGER_PATH, read_message},
};
use super::spawn;
use crate::{
    clock::Clock,
    ring,
    view::{Member, View},
    wire::Client,
};

/// Capacity of the worker's channel; the same as for the pools worker, which has the same load.
pub const QUEUE_CAPACITY: usize = 4096;
/// Maximum size of a response to a ledger message, in bytes; it has no body.
const MAX_ANSWER_BYTES: usize = 1024;
/// Maximum interval between wake-ups, which limits how far the published epoch lags.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(250);

/// A running ledger worker.
#[derive(Debug)]
pub struct Handle {
    /// Channel to the worker.
    pub sender: ring::Sender<Input>,
    /// Current epoch of the ledger; lookups put it into the bindings of new idempotency keys.
    pub epoch: Arc<AtomicU64>,
    /// Thread of the worker.
    pub thread: JoinHandle<()>,
}

/// Returns the limits of the ledger from the host's settings.
pub fn limits(timing: &TimingSettings) -> Limits {
    Limits {
        claim_timeout: Duration::from_millis(timing.claim_ms.get()),
        epoch_length: Duration::from_millis(timing.epoch_ms),
        ..Limits::default()
    }
}

/// Spawns the worker. Its ledger belongs to this incarnation of the host, that is, to the time from
/// this start of its process to the next.
pub fn open(
    me: &Member,
    limits: Limits,
    clock: Clock,
    view: Arc<ArcSwap<View>>,
) -> io::Result<Handle> {
    let (sender, receiver) = ring::channel(QUEUE_CAPACITY);
    let epoch = Arc::new(AtomicU64::new(0));
    let worker = Worker {
        ledger: Ledger::open(me.incarnation, limits, clock.now()),
        local_addr: me.peers.ip(),
        tasks: BTreeMap::new(),
        view,
        clock,
        epoch: Arc::clone(&epoch),
    };
    let thread = spawn("ledger", move || worker.drive(receiver))?;
    Ok(Handle {
        sender,
        epoch,
        thread,
    })
}

struct Worker {
    ledger: Ledger,
    /// Event channels of attempts by ticket, the attempt's id on this host. Invariant: each attempt
    /// that waits in the ledger has an entry.
    tasks: BTreeMap<u64, EventSender>,
    view: Arc<ArcSwap<View>>,
    clock: Clock,
    epoch: Arc<AtomicU64>,
    /// Source address of messages to other hosts.
    local_addr: IpAddr,
}

impl Worker {
    async fn drive(mut self, mut inputs: ring::Receiver<Input>) {
        let client = Client::open_from(Some(self.local_addr), MAX_ANSWER_BYTES);
        loop {
            let now = self.clock.now();
            self.epoch.store(self.ledger.epoch(now), Ordering::Relaxed);
            let wake = self
                .ledger
                .next_wake()
                .unwrap_or(now + MAX_WAKE_INTERVAL)
                .min(now + MAX_WAKE_INTERVAL);
            let input = tokio::select! {
                biased;
                input = inputs.recv() => input,
                () = tokio::time::sleep_until(self.clock.instant(wake)) => Some(Input::Tick),
            };
            let Some(input) = input else { return };
            if matches!(input, Input::Stop) {
                return;
            }
            let actions = self.apply(input);
            self.execute(actions, &client);
        }
    }

    fn apply(&mut self, input: Input) -> Vec<Action> {
        let now = self.clock.now();
        match input {
            Input::Request { request, events } => {
                self.tasks.insert(request.attempt_id, events);
                self.ledger.handle_request(request, now)
            }
            Input::Cancel { ticket } => {
                self.tasks.remove(&ticket);
                self.ledger.cancel(ticket, now)
            }
            Input::Finished { key, outcome } => self.ledger.handle_outcome(&key, outcome, now),
            Input::Message { from, message } => self.ledger.handle_message(from, message, now),
            Input::Gone(incarnation) => self.ledger.peer_gone(incarnation, now),
            Input::HandOver { peers, time } => self.ledger.stop(&peers, now + time, now),
            Input::GetState(reply) => {
                let report = LedgerReport {
                    counts: self.ledger.stats(),
                    epoch: self.ledger.epoch(now),
                    stopped: self.ledger.is_stopped(),
                };
                // The requester may have stopped waiting.
                let _ = reply.send(report);
                Vec::new()
            }
            Input::Tick | Input::Stop => self.ledger.tick(now),
        }
    }

    fn execute(&mut self, actions: Vec<Action>, client: &Client) {
        for action in actions {
            match action {
                Action::SendMessage { to, message } => self.post(to, &message, client),
                Action::Dispatch { key, attempt_id } => {
                    let sent = self
                        .tasks
                        .get(&attempt_id)
                        .is_some_and(|task| task.send(Event::Run));
                    if !sent {
                        // The caller disconnected before the ledger allowed the run. Nothing was
                        // sent to a target.
                        let outcome = Outcome::NotRun { retry_after: None };
                        let follow_ups =
                            self.ledger.handle_outcome(&key, outcome, self.clock.now());
                        self.execute(follow_ups, client);
                    }
                }
                // The request keeps running, so that a retry with the same key gets its response.
                Action::Cancel { .. } => {}
                Action::Answer { attempt_id, answer } => {
                    self.finish(attempt_id, Event::Answer(answer));
                }
                Action::Refuse {
                    attempt_id,
                    run,
                    reason,
                    retry_after,
                } => {
                    self.finish(
                        attempt_id,
                        Event::Refused {
                            run,
                            reason,
                            retry_after,
                        },
                    );
                }
            }
        }
    }

    /// Sends an attempt its last event and removes its channel.
    fn finish(&mut self, ticket: u64, event: Event) {
        if let Some(task) = self.tasks.remove(&ticket) {
            task.send(event);
        }
    }

    fn post(&self, to: u64, message: &dunlinrock_coord::once::Message, client: &Client) {
        let view = self.view.load();
        let Some(member) = view.incarnations.get(&to) else {
            return;
        };
        post::send(client, member.peers, self.ledger.incarnation(), message);
    }
}
