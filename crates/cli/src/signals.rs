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
}

impl Signals {
    /// Installs the handlers and releases the held signals to them.
    pub(crate) fn open(held: HeldSignals) -> anyhow::Result<Self> {
        let signals = Self {
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
}
