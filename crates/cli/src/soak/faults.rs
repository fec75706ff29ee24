//! Starts and ends faults.

use std::{sync::atomic::Ordering, time::Duration};

use dunlinrock_platform::standin::{StoreFault, TargetOptions};
use nix::sys::signal::Signal;

use super::{
    callers::HostFaults,
    deployment::{DOMAINS, Deployment, clear_faults},
    plan::Fault,
    proxy::Mode,
};

/// Factor by which runs take longer at a slow target.
const SLOWDOWN: u32 = 10;

/// Time for which a target that backs off wants no requests.
const BACKOFF: Duration = Duration::from_secs(2);

/// Number of writes whose responses the store drops.
const LOST_RESPONSES: u32 = 3;

/// Returns the host whose caller connections may close without a response because of a fault.
pub(super) fn disturbs(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Kill(host) | Fault::Pause(host) | Fault::ResetLink(host) | Fault::MuteLink(host) => {
            Some(host)
        }
        _ => None,
    }
}

fn back_off(rules: &mut TargetOptions) {
    rules.backoff = Some(BACKOFF);
}

/// Starts a fault.
pub(super) fn begin(
    fleet: &mut Deployment,
    host_faults: &[HostFaults],
    fault: Fault,
) -> anyhow::Result<()> {
    if let Some(host) = disturbs(fault) {
        host_faults[host].active.fetch_add(1, Ordering::SeqCst);
        host_faults[host].started.fetch_add(1, Ordering::SeqCst);
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
        Fault::StoreBusy => fleet.store_down(StoreFault::Busy),
        Fault::StoreAway => {
            fleet.store_down(StoreFault::Busy);
            fleet.apply_next_config();
        }
        Fault::StoreClosed => fleet.store_down(StoreFault::Closed),
        Fault::StoreForgets => fleet.store.compact(),
        Fault::StoreLoses => fleet.store.drop_responses(LOST_RESPONSES),
        Fault::StoreReturns => fleet.copy_store(),
        Fault::StoreLacksWrites => fleet.return_store(),
        Fault::TargetDown(n) => fleet.targets[n].target.set(|rules| rules.is_down = true),
        Fault::TargetLoses(n) => fleet.targets[n]
            .target
            .set(|rules| rules.drops_responses = true),
        Fault::TargetSheds(n) => fleet.targets[n].target.set(|rules| rules.sheds_all = true),
        Fault::AllShed => fleet
            .targets
            .iter()
            .for_each(|proxied| proxied.target.set(|rules| rules.sheds_all = true)),
        Fault::TargetSlow(n) => fleet.targets[n].target.set(|rules| rules.work *= SLOWDOWN),
        Fault::TargetMute(n) => fleet.targets[n].proxy.set(Mode::Mute),
        Fault::TargetLeaves(n) => fleet.set_leaving(n),
        Fault::TargetSaysLeaving(n) => fleet.targets[n]
            .target
            .set(|rules| rules.says_leaving = true),
        Fault::TargetBacksOff(n) => fleet.targets[n].target.set(back_off),
        Fault::AllBackOff => {
            let targets = fleet.targets.iter();
            targets.for_each(|proxied| proxied.target.set(back_off));
        }
        Fault::TargetReplaced(n) => fleet.replace_target(n),
        Fault::Configure => fleet.apply_next_config(),
        Fault::Evacuate(n) => fleet.evacuate(DOMAINS[n % DOMAINS.len()], true),
    }
    Ok(())
}

/// Ends a fault. Faults that end by themselves need no action.
pub(super) fn end(
    fleet: &mut Deployment,
    host_faults: &[HostFaults],
    fault: Fault,
) -> anyhow::Result<()> {
    match fault {
        Fault::Kill(host) => fleet.hosts[host].ensure_running()?,
        Fault::Pause(host) => fleet.hosts[host].signal(Signal::SIGCONT)?,
        Fault::SlowLink(host) | Fault::ResetLink(host) | Fault::MuteLink(host) => {
            fleet.hosts[host].callers.set(Mode::Pass);
        }
        Fault::CutStore(host) | Fault::RefuseStore(host) => fleet.hosts[host].store.set(Mode::Pass),
        Fault::StoreBusy | Fault::StoreAway | Fault::StoreClosed => fleet.store_up(),
        Fault::StoreLoses => fleet.store.drop_responses(0),
        Fault::StoreLacksWrites => fleet.write_again(),
        Fault::TargetDown(n) | Fault::TargetLoses(n) | Fault::TargetSheds(n) => {
            fleet.targets[n].target.set(clear_faults);
        }
        Fault::AllShed => fleet
            .targets
            .iter()
            .for_each(|proxied| proxied.target.set(clear_faults)),
        Fault::TargetSlow(n) => fleet.targets[n].target.set(clear_faults),
        Fault::TargetMute(n) => fleet.targets[n].proxy.set(Mode::Pass),
        Fault::TargetLeaves(n) | Fault::TargetSaysLeaving(n) => fleet.replace_target(n),
        Fault::TargetBacksOff(n) => fleet.targets[n].target.set(|rules| rules.backoff = None),
        Fault::AllBackOff => {
            let targets = fleet.targets.iter();
            targets.for_each(|proxied| proxied.target.set(|rules| rules.backoff = None));
        }
        Fault::Evacuate(n) => fleet.evacuate(DOMAINS[n % DOMAINS.len()], false),
        Fault::Stop(_)
        | Fault::Reload(_)
        | Fault::StoreForgets
        | Fault::StoreReturns
        | Fault::TargetReplaced(_)
        | Fault::Configure => {}
    }
    if let Some(host) = disturbs(fault) {
        host_faults[host].active.fetch_sub(1, Ordering::SeqCst);
    }
    Ok(())
}
