//! Begins and ends faults.

use std::sync::atomic::Ordering;

use dunlinrock_platform::standin::Down;
use nix::sys::signal::Signal;

use super::{
    callers::Calm,
    deployment::{DOMAINS, Fleet, sound},
    plan::Fault,
    proxy::Mode,
};

/// How much longer runs take at a slow target.
const SLOWER: u32 = 10;

/// Writes whose answers are lost.
const LOST_WRITES: u32 = 3;

/// Which host a fault disturbs: its callers' connections may end without an answer.
pub(super) fn disturbs(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Kill(host) | Fault::Pause(host) | Fault::ResetLink(host) | Fault::MuteLink(host) => {
            Some(host)
        }
        _ => None,
    }
}

/// Begins a fault.
pub(super) fn begin(fleet: &mut Fleet, calm: &[Calm], fault: Fault) -> anyhow::Result<()> {
    if let Some(host) = disturbs(fault) {
        calm[host].active.fetch_add(1, Ordering::SeqCst);
        calm[host].begun.fetch_add(1, Ordering::SeqCst);
    }
    match fault {
        Fault::Kill(host) => fleet.hosts[host].signal(Signal::SIGKILL)?,
        Fault::Pause(host) => fleet.hosts[host].signal(Signal::SIGSTOP)?,
        Fault::Stop(host) => fleet.hosts[host].signal(Signal::SIGTERM)?,
        Fault::Reload(host) => fleet.hosts[host].signal(Signal::SIGHUP)?,
        Fault::SlowLink(host) => fleet.hosts[host].callers.set(Mode::Slow),
        Fault::ResetLink(host) => fleet.hosts[host].callers.set(Mode::Reset),
        Fault::MuteLink(host) => fleet.hosts[host].callers.set(Mode::Mute),
        Fault::CutStore(host) => fleet.hosts[host].store.set(Mode::Mute),
        Fault::RefuseStore(host) => fleet.hosts[host].store.set(Mode::Reset),
        Fault::StoreBusy => fleet.store_down(Down::Busy),
        Fault::StoreAway => {
            fleet.store_down(Down::Busy);
            fleet.configure();
        }
        Fault::StoreClosed => fleet.store_down(Down::Closed),
        Fault::StoreForgets => fleet.store.forget(),
        Fault::StoreLoses => fleet.store.lose_answers(LOST_WRITES),
        Fault::TargetDown(n) => fleet.targets[n].target.set(|rules| rules.is_down = true),
        Fault::TargetLoses(n) => fleet.targets[n].target.set(|rules| rules.loses = true),
        Fault::TargetSheds(n) => fleet.targets[n].target.set(|rules| rules.sheds = true),
        Fault::TargetSlow(n) => fleet.targets[n].target.set(|rules| rules.work *= SLOWER),
        Fault::TargetMute(n) => fleet.targets[n].proxy.set(Mode::Mute),
        Fault::TargetLeaves(n) => fleet.announce(n, true),
        Fault::TargetReplaced(n) => fleet.renew(n),
        Fault::Configure => fleet.configure(),
        Fault::Evacuate(n) => fleet.store.evacuate(DOMAINS[n % DOMAINS.len()], true),
    }
    Ok(())
}

/// Ends a fault, as far as it does not end by itself.
pub(super) fn end(fleet: &mut Fleet, calm: &[Calm], fault: Fault) -> anyhow::Result<()> {
    match fault {
        Fault::Kill(host) => fleet.hosts[host].revive()?,
        Fault::Pause(host) => fleet.hosts[host].signal(Signal::SIGCONT)?,
        Fault::SlowLink(host) | Fault::ResetLink(host) | Fault::MuteLink(host) => {
            fleet.hosts[host].callers.set(Mode::Pass);
        }
        Fault::CutStore(host) | Fault::RefuseStore(host) => fleet.hosts[host].store.set(Mode::Pass),
        Fault::StoreBusy | Fault::StoreAway | Fault::StoreClosed => fleet.store_back(),
        Fault::StoreLoses => fleet.store.lose_answers(0),
        Fault::TargetDown(n) | Fault::TargetLoses(n) | Fault::TargetSheds(n) => {
            fleet.targets[n].target.set(sound);
        }
        Fault::TargetSlow(n) => fleet.targets[n].target.set(sound),
        Fault::TargetMute(n) => fleet.targets[n].proxy.set(Mode::Pass),
        Fault::TargetLeaves(n) => fleet.renew(n),
        Fault::Evacuate(n) => fleet.store.evacuate(DOMAINS[n % DOMAINS.len()], false),
        Fault::Stop(_)
        | Fault::Reload(_)
        | Fault::StoreForgets
        | Fault::TargetReplaced(_)
        | Fault::Configure => {}
    }
    if let Some(host) = disturbs(fault) {
        calm[host].active.fetch_sub(1, Ordering::SeqCst);
    }
    Ok(())
}
