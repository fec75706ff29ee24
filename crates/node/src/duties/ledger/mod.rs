//! The request ledger: what may run at most once, and what has.
//!
//! The worker drives [`dunlinrock_coord::once::Ledger`]. A task, the task that carries one attempt,
//! hands it in and is told to run the request, or gets the answer or the refusal. Messages to other
//! hosts go out on the duty's own runtime; they may be lost, and the ledger sends them again.

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

/// Inputs that may wait for the duty; see the pools duty, whose load it shares.
pub const QUEUE_CAPACITY: usize = 4096;
/// Largest answer to a ledger message, in bytes: there is none.
const MAX_ANSWER_BYTES: usize = 1024;
/// Time between two looks at the clock at the most, so that the epoch given out never lags by more.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(250);

/// A running duty.
#[derive(Debug)]
pub struct Handle {
    /// Its ring.
    pub sender: ring::Sender<Input>,
    /// Epoch to bind keys to now.
    pub epoch: Arc<AtomicU64>,
    /// Its thread.
    pub thread: JoinHandle<()>,
}

/// Limits of the ledger, from the host's settings.
pub fn limits(timing: &TimingSettings) -> Limits {
    Limits {
        claim_timeout: Duration::from_millis(timing.claim_ms.get()),
        epoch_length: Duration::from_millis(timing.epoch_ms),
        ..Limits::default()
    }
}

/// Spawns the duty for this incarnation.
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
        local: me.peers.ip(),
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
    /// Holders by ticket. Invariant: an attempt that waits in the ledger has one here.
    tasks: BTreeMap<u64, EventSender>,
    view: Arc<ArcSwap<View>>,
    clock: Clock,
    epoch: Arc<AtomicU64>,
    /// Address that messages go out from.
    local: IpAddr,
}

impl Worker {
    async fn drive(mut self, mut inputs: ring::Receiver<Input>) {
        let client = Client::open_from(Some(self.local), MAX_ANSWER_BYTES);
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
                // Whoever asked may have given up waiting.
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
                        // The caller went between its request and the claim. Nothing was sent.
                        let outcome = Outcome::NotRun { retry_after: None };
                        let more = self.ledger.handle_outcome(&key, outcome, self.clock.now());
                        self.execute(more, client);
                    }
                }
                // The run goes on: a retry with the same key then finds its answer.
                Action::Cancel { .. } => {}
                Action::Answer { attempt_id, answer } => {
                    self.end(attempt_id, Event::Answer(answer))
                }
                Action::Refuse {
                    attempt_id,
                    run,
                    reason,
                    retry_after,
                } => {
                    self.end(
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

    fn end(&mut self, ticket: u64, event: Event) {
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
