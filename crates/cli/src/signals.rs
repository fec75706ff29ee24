//! The signals that commands handle themselves.

use anyhow::Context;
use nix::sys::signal::{SigSet, SigmaskHow, Signal as SystemSignal, sigprocmask};
use tokio::signal::unix::{self, SignalKind, signal};

/// A signal that the program handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// SIGINT or SIGTERM.
    Stop,
    /// SIGHUP.
    Hangup,
}

/// Signals that are blocked in this thread until their handlers are installed. Blocked signals
/// stay pending; they are delivered when this is dropped.
#[derive(Debug)]
pub(crate) struct HeldSignals {
    previous: SigSet,
}

/// Blocks the signals that [`Signals`] handles.
///
/// Called first thing in the program, while it has one thread: a signal that arrived before the
/// handlers are installed would otherwise end the process by the system's default.
pub(crate) fn hold() -> anyhow::Result<HeldSignals> {
    let handled = SigSet::from_iter([
        SystemSignal::SIGINT,
        SystemSignal::SIGTERM,
        SystemSignal::SIGHUP,
    ]);
    let mut previous = SigSet::empty();
    sigprocmask(SigmaskHow::SIG_BLOCK, Some(&handled), Some(&mut previous))
        .context("blocking signals")?;
    Ok(HeldSignals { previous })
}

impl Drop for HeldSignals {
    fn drop(&mut self) {
        // The call fails only for an invalid operation.
        let _ = sigprocmask(SigmaskHow::SIG_SETMASK, Some(&self.previous), None);
    }
}

/// Handlers of signals, which do not end the process by themselves from then on.
pub(crate) struct Signals {
    interrupt: unix::Signal,
    terminate: unix::Signal,
    hangup: unix::Signal,
    /// Whether the process was started with SIGHUP ignored, as by `nohup`.
    ignores_hangup: bool,
}

impl Signals {
    /// Installs the handlers and releases the held signals to them.
    pub(crate) fn open(held: HeldSignals) -> anyhow::Result<Self> {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let signals = Self {
            ignores_hangup: is_in_mask(&status, "SigIgn:", SystemSignal::SIGHUP),
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        };
        drop(held);
        Ok(signals)
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> Signal {
        tokio::select! {
            _ = self.interrupt.recv() => Signal::Stop,
            _ = self.terminate.recv() => Signal::Stop,
            _ = self.hangup.recv() => Signal::Hangup,
        }
    }

    /// Waits for the next signal to stop; ignores others.
    pub(crate) async fn stop(&mut self) {
        while self.next().await != Signal::Stop {}
    }

    /// Waits for a signal that ends a command without settings to reload: also SIGHUP, unless it
    /// was ignored at the start.
    pub(crate) async fn end(&mut self) {
        while self.next().await == Signal::Hangup && self.ignores_hangup {}
    }
}

/// Returns whether a signal is in a mask of the text of /proc/PID/status, such as `SigIgn:`.
pub(crate) fn is_in_mask(status: &str, name: &str, signal: SystemSignal) -> bool {
    let bit = 1 << (signal as u64 - 1);
    let mask = status.lines().find_map(|line| line.strip_prefix(name));
    mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok())
        .is_some_and(|mask| mask & bit != 0)
}
