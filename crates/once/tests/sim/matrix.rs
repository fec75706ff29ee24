//! The fault matrix: each fault at each step of a keyed request, with the result for its caller.

use std::{fmt::Write, time::Duration};

use dunlinrock_once::{Limits, Message, RunStatus};

use super::{Delivery, Event, Packet, Sim, Target, call::Reply};

/// Step at which a fault is injected: the first message of this kind, or the end of an epoch.
///
/// The names of the variants are printed in the table of the notes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    Request,
    Claim,
    ClaimAnswer,
    Send,
    TargetAnswer,
    Answer,
    Close,
    CloseAnswer,
    AnswerAsk,
    AnswerGive,
    Handover,
    HandoverAnswer,
    EpochEnd,
}

/// Injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    MessageLost,
    MessageDuplicated,
    MessageDelayed,
    OwnerKilled,
    OwnerPaused,
    OwnerRestarted,
    WitnessKilled,
    WitnessPaused,
    WitnessRestarted,
    BothKilled,
    BothPaused,
    BothRestarted,
    TargetSheds,
    TargetCrashesBeforeRun,
    TargetCrashesAfterRun,
    CallerRetriesAtPeer,
}

/// Sequence of events that leads to the steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// A request to the owner is claimed, dispatched and answered.
    Plain,
    /// The caller's first attempt, at the witness, and the owner's claims are lost.
    Closing,
    /// The request takes longer than the caller's timeout; the caller retries at the witness.
    LongRun,
    /// The answer is lost, and the owner shuts down gracefully before the caller's retry.
    OwnerStops,
    /// Like `OwnerStops`, but the witness runs the request and shuts down.
    WitnessStops,
    /// The epoch ends while the request runs.
    EpochEnds,
}

pub(crate) const SCENARIOS: [(Scenario, &str, &[Step]); 6] = [
    (
        Scenario::Plain,
        "a claimed request",
        &[
            Step::Request,
            Step::Claim,
            Step::ClaimAnswer,
            Step::Send,
            Step::TargetAnswer,
            Step::Answer,
        ],
    ),
    (
        Scenario::Closing,
        "first attempt and claims lost",
        &[Step::Close, Step::CloseAnswer],
    ),
    (
        Scenario::LongRun,
        "a run longer than the caller waits",
        &[Step::AnswerAsk, Step::AnswerGive],
    ),
    (
        Scenario::OwnerStops,
        "planned stop of the owner",
        &[Step::Handover, Step::HandoverAnswer],
    ),
    (
        Scenario::WitnessStops,
        "planned stop of the witness",
        &[Step::Handover, Step::HandoverAnswer],
    ),
    (
        Scenario::EpochEnds,
        "epoch ends during the run",
        &[Step::EpochEnd],
    ),
];

pub(crate) const FAULTS: [(Fault, &str); 16] = [
    (Fault::MessageLost, "message lost"),
    (Fault::MessageDuplicated, "doubled"),
    (Fault::MessageDelayed, "late"),
    (Fault::OwnerKilled, "owner dead"),
    (Fault::OwnerPaused, "owner paused"),
    (Fault::OwnerRestarted, "owner restarted"),
    (Fault::WitnessKilled, "witness dead"),
    (Fault::WitnessPaused, "witness paused"),
    (Fault::WitnessRestarted, "witness restarted"),
    (Fault::BothKilled, "both dead"),
    (Fault::BothPaused, "both paused past the epoch"),
    (Fault::BothRestarted, "both restarted"),
    (Fault::TargetSheds, "targets refuse"),
    (Fault::TargetCrashesBeforeRun, "target dies before the run"),
    (Fault::TargetCrashesAfterRun, "request kills its target"),
    (Fault::CallerRetriesAtPeer, "caller turns to the other side"),
];

const OWNER: usize = 0;
const WITNESS: usize = 1;
const PAUSE: Duration = Duration::from_secs(5);
/// Longer than the retained epochs.
const LONG_PAUSE: Duration = Duration::from_secs(50);
const LATE: Duration = Duration::from_secs(4);
const LONG_WORK: Duration = Duration::from_secs(3);
const STOP: Duration = Duration::from_millis(500);
const EXIT: Duration = Duration::from_millis(1500);
const END: Duration = Duration::from_secs(200);

fn limits(scenario: Scenario) -> Limits {
    let length = match scenario {
        Scenario::EpochEnds => Duration::from_secs(1),
        _ => Duration::from_secs(20),
    };
    Limits {
        epoch_length: length,
        retained_epochs: 2,
        part_records: 1,
        ..Limits::default()
    }
}

/// Returns whether a fault can be injected at a step.
pub(crate) fn applies(step: Step, fault: Fault) -> bool {
    let connection = matches!(step, Step::Send | Step::TargetAnswer | Step::Answer);
    match fault {
        // A connection carries a request and its answer once.
        Fault::MessageDuplicated => !connection && step != Step::EpochEnd,
        Fault::MessageLost | Fault::MessageDelayed => step != Step::EpochEnd,
        // After the dispatch, a fault of the target comes too late.
        Fault::TargetSheds | Fault::TargetCrashesBeforeRun | Fault::TargetCrashesAfterRun => {
            step <= Step::Send
        }
        _ => true,
    }
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Cell {
    /// Final result for the caller.
    pub(crate) end: &'static str,
    pub(crate) runs: u32,
    pub(crate) attempts: usize,
    /// Violated invariants of this call and the second one.
    pub(crate) violations: Vec<&'static str>,
    /// Number of injected faults.
    pub(crate) fault_hits: usize,
}

/// Runs a scenario with faults.
pub(crate) fn run(scenario: Scenario, faults: &[(Step, Fault)]) -> Cell {
    let mut sim = Sim::open(2, limits(scenario), fault_injector(scenario, faults));
    let first = match scenario {
        Scenario::Closing | Scenario::WitnessStops => WITNESS,
        _ => OWNER,
    };
    if matches!(scenario, Scenario::LongRun | Scenario::EpochEnds) {
        sim.set_work(LONG_WORK);
    }
    let call = sim.bind(1, [OWNER, WITNESS]);
    let second_call = sim.bind(2, [OWNER, WITNESS]);
    sim.attempt(call, first);
    let stopping = match scenario {
        Scenario::OwnerStops => Some(OWNER),
        Scenario::WitnessStops => Some(WITNESS),
        _ => None,
    };
    if let Some(host) = stopping {
        // Another key of the same binding is used for the first time after the stop.
        let role = 1 - host;
        sim.at(STOP, Event::Stop(host));
        sim.at(EXIT, Event::Exit(host));
        sim.at(
            EXIT * 2,
            Event::Attempt {
                call: second_call,
                role,
            },
        );
    }
    if scenario == Scenario::EpochEnds {
        let end = sim.limits.epoch_length * 2;
        sim.at(end, Event::Transmit(Packet::EpochEnd));
    }
    sim.run_until(END);
    cell(&sim, call, second_call)
}

fn cell(sim: &Sim, call: usize, second_call: usize) -> Cell {
    let this = &sim.calls[call];
    let end = match &this.final_reply {
        Some(Reply::Answer(_)) => "answer",
        Some(Reply::Refused(RunStatus::No, _)) => "`no`",
        Some(Reply::Refused(RunStatus::Yes, _)) => "`yes`",
        Some(Reply::Refused(RunStatus::Unknown, _)) | None => "`unknown`",
    };
    let mut violations = this.violations.clone();
    violations.extend(&sim.calls[second_call].violations);
    Cell {
        end,
        runs: this.runs,
        attempts: this.attempts.len(),
        violations,
        fault_hits: sim.fault_hits,
    }
}

/// Injects each fault once, with the first message of its step.
fn fault_injector(scenario: Scenario, faults: &[(Step, Fault)]) -> super::Faults {
    let mut remaining = faults.to_vec();
    let mut lost_request = false;
    let mut lost_answer = false;
    Box::new(move |sim, packet| {
        let step = step_of(packet);
        let mut delivery = Delivery::Pass;
        match (scenario, step) {
            (Scenario::Closing, Some(Step::Request)) if !lost_request => {
                lost_request = true;
                delivery = Delivery::Drop;
            }
            (Scenario::Closing, Some(Step::Claim)) => delivery = Delivery::Drop,
            (Scenario::OwnerStops | Scenario::WitnessStops, Some(Step::Answer)) if !lost_answer => {
                lost_answer = true;
                delivery = Delivery::Drop;
            }
            _ => {}
        }
        let mut target = None;
        remaining.retain(|(at, fault)| {
            // A fault of a target applies to the first request sent to a target after its step.
            let hit = step == Some(*at);
            if hit {
                sim.fault_hits += 1;
                inject(sim, *fault, &mut delivery);
                target = target_of(*fault).or(target);
            }
            !hit
        });
        if let Some(target) = target {
            sim.next_target = Some(target);
        }
        let target = match packet {
            Packet::Send { .. } => sim.next_target.take(),
            _ => None,
        };
        (delivery, target)
    })
}

fn step_of(packet: &Packet) -> Option<Step> {
    Some(match packet {
        Packet::Request { call: 0, .. } => Step::Request,
        Packet::Send { call: 0, .. } => Step::Send,
        Packet::Reply { call: 0, .. } => Step::Answer,
        Packet::Done { key, .. } if key.nonce() == "n0" => Step::TargetAnswer,
        Packet::EpochEnd => Step::EpochEnd,
        Packet::Peer { message, .. } => match message {
            Message::Claim(_) => Step::Claim,
            Message::ClaimAnswer(_) => Step::ClaimAnswer,
            Message::Close(_) => Step::Close,
            Message::CloseAnswer(_) => Step::CloseAnswer,
            Message::AnswerAsk(_) => Step::AnswerAsk,
            Message::AnswerGive(_) => Step::AnswerGive,
            Message::Handover(_) => Step::Handover,
            Message::HandoverAnswer(_) => Step::HandoverAnswer,
        },
        _ => return None,
    })
}

fn target_of(fault: Fault) -> Option<Target> {
    match fault {
        Fault::TargetSheds => Some(Target::Sheds),
        Fault::TargetCrashesBeforeRun => Some(Target::CrashesBeforeRun),
        Fault::TargetCrashesAfterRun => Some(Target::CrashesAfterRun),
        _ => None,
    }
}

fn inject(sim: &mut Sim, fault: Fault, delivery: &mut Delivery) {
    match fault {
        Fault::MessageLost => *delivery = Delivery::Drop,
        Fault::MessageDuplicated => *delivery = Delivery::Duplicate(LATE),
        Fault::MessageDelayed => *delivery = Delivery::Delay(LATE),
        Fault::OwnerKilled => sim.kill(OWNER),
        Fault::OwnerPaused => sim.pause(OWNER, PAUSE),
        Fault::OwnerRestarted => sim.restart(OWNER),
        Fault::WitnessKilled => sim.kill(WITNESS),
        Fault::WitnessPaused => sim.pause(WITNESS, PAUSE),
        Fault::WitnessRestarted => sim.restart(WITNESS),
        Fault::BothKilled => [OWNER, WITNESS].into_iter().for_each(|host| sim.kill(host)),
        Fault::BothPaused => {
            sim.pause(OWNER, LONG_PAUSE);
            sim.pause(WITNESS, LONG_PAUSE);
        }
        Fault::BothRestarted => {
            sim.restart(OWNER);
            sim.restart(WITNESS);
        }
        Fault::TargetSheds | Fault::TargetCrashesBeforeRun | Fault::TargetCrashesAfterRun => {}
        Fault::CallerRetriesAtPeer => {
            let attempt = sim.calls[0].attempts.len() - 1;
            sim.at(sim.now, Event::Retry { call: 0, attempt });
        }
    }
}

/// Formats the matrix as Markdown tables, with a row for each step and a column for each fault.
pub(crate) fn markdown() -> String {
    let mut text = String::new();
    for faults in FAULTS.chunks(4) {
        let names: Vec<&str> = faults.iter().map(|(_, name)| *name).collect();
        let _ = writeln!(text, "| step | {} |", names.join(" | "));
        let _ = writeln!(text, "|---|{}", "---|".repeat(names.len()));
        for (scenario, name, steps) in SCENARIOS {
            for step in steps {
                let cells = faults
                    .iter()
                    .map(|(fault, _)| show(scenario, *step, *fault));
                let cells: Vec<String> = cells.collect();
                let _ = writeln!(text, "| {name}: {step:?} | {} |", cells.join(" | "));
            }
        }
        text.push('\n');
    }
    text
}

fn show(scenario: Scenario, step: Step, fault: Fault) -> String {
    if !applies(step, fault) {
        return "-".to_owned();
    }
    let cell = run(scenario, &[(step, fault)]);
    if !cell.violations.is_empty() {
        return format!("BROKEN: {}", cell.violations.join(", "));
    }
    format!(
        "{}, runs {}, attempts {}",
        cell.end, cell.runs, cell.attempts
    )
}
